//! Streams that can be resumed or cancelled by request id.
//!
//! A stream whose caller went away gives up its slot at once. Its order is
//! kept among the latest ones, so a caller that comes back gets the tokens after
//! the last one it has seen.

use super::completion::CompletionOrder;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Tells the batcher that a sequence was cancelled by its id.
#[derive(Clone, Debug, Default)]
pub(super) struct CancelFlag(Arc<AtomicBool>);

impl CancelFlag {
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A request as the engine answers it.
#[derive(Clone, Debug)]
pub(super) struct AcceptedRequest {
    pub(super) id: String,
    pub(super) order: CompletionOrder,
    pub(super) cancel: CancelFlag,
}

/// The latest streamed requests, oldest first out.
#[derive(Debug)]
pub(super) struct StreamStore {
    limit: usize,
    streams: Mutex<StoredStreams>,
}

#[derive(Debug, Default)]
struct StoredStreams {
    by_id: HashMap<String, AcceptedRequest>,
    order: VecDeque<String>,
}

impl StreamStore {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            streams: Mutex::default(),
        }
    }

    pub(super) fn insert(&self, request: &AcceptedRequest) {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let id = request.id.clone();
        if streams.by_id.insert(id.clone(), request.clone()).is_none() {
            streams.order.push_back(id);
        }
        if streams.order.len() > self.limit
            && let Some(oldest) = streams.order.pop_front()
        {
            streams.by_id.remove(&oldest);
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<AcceptedRequest> {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.by_id.get(id).cloned()
    }
}

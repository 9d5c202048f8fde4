//! Streams that can be resumed or cancelled by request id.
//!
//! A stream whose caller disconnects loses its slot at the next step. The store
//! keeps the most recent requests, so a caller that reconnects gets the tokens
//! after the last one it received.

use super::completion::CompletionParams;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Signals to the batcher that a sequence was cancelled by its id.
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

/// A completion request that the engine has accepted.
#[derive(Clone, Debug)]
pub(super) struct AcceptedRequest {
    pub(super) id: String,
    pub(super) params: CompletionParams,
    pub(super) cancel: CancelFlag,
}

/// The most recent streamed requests; the oldest is removed first.
#[derive(Debug)]
pub(super) struct StreamStore {
    limit: usize,
    streams: Mutex<StoredStreams>,
}

#[derive(Debug, Default)]
struct StoredStreams {
    by_id: HashMap<String, AcceptedRequest>,
    insertion_order: VecDeque<String>,
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
            streams.insertion_order.push_back(id);
        }
        if streams.insertion_order.len() > self.limit
            && let Some(oldest) = streams.insertion_order.pop_front()
        {
            streams.by_id.remove(&oldest);
        }
    }

    pub(super) fn get(&self, id: &str) -> Option<AcceptedRequest> {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.by_id.get(id).cloned()
    }
}

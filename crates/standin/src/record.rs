//! A record of the requests that a stand-in received, for checks after a run.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use std::sync::{Mutex, PoisonError};

/// One request as received by a stand-in.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Every header field.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// The value of a header field, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The path without its query.
    #[must_use]
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Records the first requests up to a limit, which bounds the memory of a long
/// run.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    limit: usize,
    received: Mutex<Vec<ReceivedRequest>>,
}

impl RequestRecord {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            received: Mutex::default(),
        }
    }

    pub(crate) fn push(&self, request: &ReceivedRequest) {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        if received.len() < self.limit {
            received.push(request.clone());
        }
    }

    pub(crate) fn snapshot(&self) -> Vec<ReceivedRequest> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        received.clone()
    }
}

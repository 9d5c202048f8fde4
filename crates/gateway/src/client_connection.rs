//! The state of one client's connection, as far as the bounds of the process need it.

use crate::arriving_body::ArrivingBody;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// The first byte of a request.
    Idle = 0,
    /// The rest of a head.
    Head = 1,
    /// The rest of a body.
    Body = 2,
    /// The answer, or the client that reads it.
    Answer = 3,
}

/// The state of one client's connection. Times are milliseconds since the start of the table.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    pub(crate) address: IpAddr,
    phase: AtomicU8,
    progress_ms: AtomicU64,
    /// The bytes of answers that the client has not read.
    unread: AtomicUsize,
    evicted: AtomicBool,
    /// The body while it arrives.
    body: Mutex<Option<ArrivingBody>>,
    /// Wakes the reader of the body.
    pub(crate) body_evicted: Notify,
    /// Ends the connection.
    pub(crate) closed: Notify,
}

impl ConnectionState {
    pub(crate) fn new(address: IpAddr, now_ms: u64) -> Self {
        Self {
            address,
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            progress_ms: AtomicU64::new(now_ms),
            unread: AtomicUsize::new(0),
            evicted: AtomicBool::new(false),
            body: Mutex::new(None),
            body_evicted: Notify::new(),
            closed: Notify::new(),
        }
    }

    pub(crate) fn phase(&self) -> ConnectionPhase {
        match self.phase.load(Ordering::Relaxed) {
            0 => ConnectionPhase::Idle,
            1 => ConnectionPhase::Head,
            2 => ConnectionPhase::Body,
            _ => ConnectionPhase::Answer,
        }
    }

    pub(crate) fn enter(&self, phase: ConnectionPhase, now_ms: u64) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.note_progress(now_ms);
    }

    pub(crate) fn note_progress(&self, now_ms: u64) {
        self.progress_ms.store(now_ms, Ordering::Relaxed);
    }

    /// The time since the client last sent or read something.
    pub(crate) fn stalled_for(&self, now_ms: u64) -> Duration {
        let progress = self.progress_ms.load(Ordering::Relaxed);
        Duration::from_millis(now_ms.saturating_sub(progress))
    }

    pub(crate) fn add_unread(&self, bytes: usize) {
        self.unread.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn remove_unread(&self, bytes: usize) {
        self.unread.fetch_sub(bytes, Ordering::Relaxed);
    }

    pub(crate) fn has_unread(&self) -> bool {
        self.unread.load(Ordering::Relaxed) > 0
    }

    pub(crate) fn body(&self) -> MutexGuard<'_, Option<ArrivingBody>> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives up the body that arrives, and releases its bytes; false if there is none.
    pub(crate) fn evict_body(&self) -> bool {
        let body = self.body().take();
        if body.is_some() {
            self.body_evicted.notify_one();
        }
        body.is_some()
    }

    /// Ends the connection; false if that was asked before.
    pub(crate) fn close(&self) -> bool {
        let is_first = !self.evicted.swap(true, Ordering::Relaxed);
        if is_first {
            self.evict_body();
            self.closed.notify_one();
        }
        is_first
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }
}

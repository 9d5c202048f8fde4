//! Running batch streams, which online requests can preempt.

use crate::routing::ServerKey;
use slotmap::{SlotMap, new_key_type};
use std::time::Instant;

new_key_type! {
    /// A running batch stream in a [`BatchStreams`].
    pub struct StreamKey;
}

/// A batch item running on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchStream {
    /// The server.
    pub server: ServerKey,
    /// The instant at which it started.
    pub started_at: Instant,
    /// Whether the item may be cancelled and run again.
    pub idempotent: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunningStream {
    stream: BatchStream,
    cancelled: bool,
}

/// The running batch streams of this host.
#[derive(Clone, Debug, Default)]
pub struct BatchStreams {
    streams: SlotMap<StreamKey, RunningStream>,
}

impl BatchStreams {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a stream that starts.
    pub fn start(&mut self, stream: BatchStream) -> StreamKey {
        self.streams.insert(RunningStream {
            stream,
            cancelled: false,
        })
    }

    /// Removes a stream that ended.
    pub fn finish(&mut self, key: StreamKey) {
        self.streams.remove(key);
    }

    /// Returns the number of running streams that were not cancelled.
    #[must_use]
    pub fn running(&self) -> usize {
        let streams = self.streams.values();
        streams.filter(|running| !running.cancelled).count()
    }

    /// Marks the youngest stream on a server for which `is_usable` holds as cancelled and
    /// returns its key, so that an online request can use its slot. Each stream is
    /// returned at most once.
    ///
    /// Only idempotent items are cancelled, because the outcome of any other item
    /// would remain unknown.
    pub fn cancel_youngest(&mut self, is_usable: impl Fn(ServerKey) -> bool) -> Option<StreamKey> {
        let preemptible = self.streams.iter_mut().filter(|(_, running)| {
            running.stream.idempotent && !running.cancelled && is_usable(running.stream.server)
        });
        let (key, running) = preemptible.max_by_key(|(_, running)| running.stream.started_at)?;
        running.cancelled = true;
        Some(key)
    }
}

//! Batch streams that online requests can take slots back from.

use crate::routing::ServerKey;
use slotmap::{SlotMap, new_key_type};
use std::time::Instant;

new_key_type! {
    /// A running batch stream in a [`BatchStreams`].
    pub struct StreamKey;
}

/// A batch item that runs on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchStream {
    /// The server.
    pub server: ServerKey,
    /// When it started.
    pub started_at: Instant,
    /// Whether it may be cancelled and run again.
    pub idempotent: bool,
}

#[derive(Clone, Copy, Debug)]
struct RunningStream {
    stream: BatchStream,
    cancelled: bool,
}

/// The batch streams that run through this host.
#[derive(Clone, Debug, Default)]
pub struct BatchStreams {
    streams: SlotMap<StreamKey, RunningStream>,
}

impl BatchStreams {
    /// No stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a stream that starts.
    pub fn start(&mut self, stream: BatchStream) -> StreamKey {
        self.streams.insert(RunningStream {
            stream,
            cancelled: false,
        })
    }

    /// Counts a stream that ended.
    pub fn finish(&mut self, key: StreamKey) {
        self.streams.remove(key);
    }

    /// The number of streams that run and were not cancelled.
    #[must_use]
    pub fn running(&self) -> usize {
        let streams = self.streams.values();
        streams.filter(|running| !running.cancelled).count()
    }

    /// Names the youngest stream to cancel on a server that `wanted` accepts,
    /// so that an online request finds room. Each stream is named once.
    ///
    /// Only idempotent items are named, since another one would end without a
    /// known outcome.
    pub fn cancel_youngest(&mut self, wanted: impl Fn(ServerKey) -> bool) -> Option<StreamKey> {
        let free = self.streams.iter_mut().filter(|(_, running)| {
            running.stream.idempotent && !running.cancelled && wanted(running.stream.server)
        });
        let (key, running) = free.max_by_key(|(_, running)| running.stream.started_at)?;
        running.cancelled = true;
        Some(key)
    }
}

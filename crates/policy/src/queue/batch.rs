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

    /// Names the youngest streams to cancel so that `slots` online requests
    /// find room on servers that `wanted` accepts.
    ///
    /// Cancellations under way count towards `slots`. Only idempotent items
    /// are named, since another one would end without a known outcome.
    pub fn reclaim(&mut self, slots: usize, wanted: impl Fn(ServerKey) -> bool) -> Vec<StreamKey> {
        let fitting = |running: &RunningStream| wanted(running.stream.server);
        let under_way = self.streams.values().filter(|running| running.cancelled);
        let under_way = under_way.filter(|running| fitting(running)).count();
        let free = self.streams.iter().filter(|(_, running)| {
            running.stream.idempotent && !running.cancelled && fitting(running)
        });
        let mut free: Vec<(Instant, StreamKey)> = free
            .map(|(key, running)| (running.stream.started_at, key))
            .collect();
        free.sort_unstable_by(|a, b| b.cmp(a));
        free.truncate(slots.saturating_sub(under_way));
        let named: Vec<StreamKey> = free.into_iter().map(|(_, key)| key).collect();
        for key in &named {
            if let Some(running) = self.streams.get_mut(*key) {
                running.cancelled = true;
            }
        }
        named
    }
}

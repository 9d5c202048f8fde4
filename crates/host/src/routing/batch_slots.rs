//! The slots that batch items of this host take up.

use chicoryladder_policy::queue::{BatchStream, BatchStreams, StreamKey};
use chicoryladder_policy::routing::ServerKey;
use chicoryladder_types::prelude::*;
use slotmap::SecondaryMap;
use std::time::Instant;
use tokio::sync::oneshot;

struct BatchSlot {
    /// Stops the item; absent once used.
    stop: Option<oneshot::Sender<()>>,
    /// The other host that wants the slot.
    requester: Option<HostName>,
}

/// The batch grants of this host.
#[derive(Default)]
pub(super) struct BatchSlots {
    streams: BatchStreams,
    slots: SecondaryMap<StreamKey, BatchSlot>,
}

impl BatchSlots {
    /// Notes a grant; the receiver resolves when its item has to stop.
    pub(super) fn add(
        &mut self,
        server: ServerKey,
        stoppable: bool,
        now: Instant,
    ) -> (StreamKey, oneshot::Receiver<()>) {
        let (stop, receiver) = oneshot::channel();
        let key = self.streams.start(BatchStream {
            server,
            started_at: now,
            idempotent: stoppable,
        });
        let slot = BatchSlot {
            stop: Some(stop),
            requester: None,
        };
        self.slots.insert(key, slot);
        (key, receiver)
    }

    /// Forgets a grant; names the other host that wanted its slot.
    pub(super) fn remove(&mut self, key: StreamKey) -> Option<HostName> {
        self.streams.finish(key);
        self.slots.remove(key)?.requester
    }

    pub(super) fn count(&self) -> usize {
        self.slots.len()
    }

    /// Stops the youngest item on one of the servers, for another host or this
    /// one; false if there is none.
    pub(super) fn stop_youngest(
        &mut self,
        requester: Option<HostName>,
        allowed: impl Fn(ServerKey) -> bool,
    ) -> bool {
        let youngest = self.streams.cancel_youngest(allowed);
        let Some(slot) = youngest.and_then(|key| self.slots.get_mut(key)) else {
            return false;
        };
        slot.requester = requester;
        if let Some(stop) = slot.stop.take() {
            // An item that has just ended gives its slot back anyway.
            let _ = stop.send(());
        }
        true
    }
}

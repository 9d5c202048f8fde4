//! The slots occupied by batch items of this host.

use chicoryladder_policy::queue::{BatchStream, BatchStreams, StreamKey};
use chicoryladder_policy::routing::ServerKey;
use chicoryladder_types::prelude::*;
use slotmap::SecondaryMap;
use std::time::Instant;
use tokio::sync::oneshot;

struct BatchSlot {
    /// Signals the item to stop; `None` once the signal is sent.
    stop: Option<oneshot::Sender<()>>,
    /// The other host for which the item was preempted, if any.
    requester: Option<HostName>,
}

/// The slots granted to batch items of this host.
#[derive(Default)]
pub(super) struct BatchSlots {
    streams: BatchStreams,
    slots: SecondaryMap<StreamKey, BatchSlot>,
}

impl BatchSlots {
    /// Records a slot granted to an item; the receiver resolves when the item is
    /// preempted.
    pub(super) fn add(
        &mut self,
        server: ServerKey,
        preemptible: bool,
        now: Instant,
    ) -> (StreamKey, oneshot::Receiver<()>) {
        let (stop, receiver) = oneshot::channel();
        let key = self.streams.start(BatchStream {
            server,
            started_at: now,
            idempotent: preemptible,
        });
        let slot = BatchSlot {
            stop: Some(stop),
            requester: None,
        };
        self.slots.insert(key, slot);
        (key, receiver)
    }

    /// Removes a granted slot and returns the other host that requested it, if any.
    pub(super) fn remove(&mut self, key: StreamKey) -> Option<HostName> {
        self.streams.finish(key);
        self.slots.remove(key)?.requester
    }

    pub(super) fn count(&self) -> usize {
        self.slots.len()
    }

    /// Preempts the most recently started preemptible item on an allowed server, in
    /// favour of `requester` or, if that is `None`, of this host. Returns false if
    /// there is no such item.
    pub(super) fn preempt_youngest(
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
            // The channel is closed if the item has just ended, which releases its slot
            // as well.
            let _ = stop.send(());
        }
        true
    }
}

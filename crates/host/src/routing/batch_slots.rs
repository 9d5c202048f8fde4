//! The slots that batch items of this host take up.

use super::table::ServerKey;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Identifies a batch grant; later grants have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GrantId(u64);

struct BatchSlot {
    server: ServerKey,
    /// Stops the item; absent once used, or if the item must not be stopped.
    stop: Option<oneshot::Sender<()>>,
}

/// The batch grants of this host, oldest first.
#[derive(Default)]
pub(super) struct BatchSlots {
    next: u64,
    slots: BTreeMap<GrantId, BatchSlot>,
}

impl BatchSlots {
    /// Notes a grant; the receiver resolves when its item has to stop.
    pub(super) fn add(
        &mut self,
        server: ServerKey,
        stoppable: bool,
    ) -> (GrantId, oneshot::Receiver<()>) {
        let (stop, receiver) = oneshot::channel();
        let id = GrantId(self.next);
        self.next += 1;
        let stop = stoppable.then_some(stop);
        self.slots.insert(id, BatchSlot { server, stop });
        (id, receiver)
    }

    pub(super) fn remove(&mut self, id: GrantId) {
        self.slots.remove(&id);
    }

    pub(super) fn count(&self) -> usize {
        self.slots.len()
    }

    /// Stops the youngest item on one of the servers; false if there is none.
    pub(super) fn stop_youngest(&mut self, allowed: impl Fn(ServerKey) -> bool) -> bool {
        let youngest = self
            .slots
            .values_mut()
            .rev()
            .find(|slot| slot.stop.is_some() && allowed(slot.server));
        let Some(stop) = youngest.and_then(|slot| slot.stop.take()) else {
            return false;
        };
        // An item that has just ended gives its slot back anyway.
        let _ = stop.send(());
        true
    }
}

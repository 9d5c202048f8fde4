//! Making room for online requests on servers that batch items take up.

use super::RoutingTask;
use crate::routing::handle::{BatchGrant, SlotEvent, WorkKind};
use chicoryladder_policy::routing::{ServerKey, WorkTarget};
use chicoryladder_types::prelude::*;
use std::time::Instant;

impl RoutingTask {
    /// Stops a batch item for each online request that found no slot, once.
    pub(super) fn ask_for_slots(&mut self, target: &WorkTarget, now: Instant) {
        let Some(queue) = self.online.get_mut(target) else {
            return;
        };
        for waiting in queue.waiting_mut().filter(|waiting| !waiting.asked) {
            waiting.asked = true;
            let (table, request) = (&self.table, &waiting.request);
            let suits = |key| table.suits(key, request, now);
            if self.batch_slots.stop_youngest(None, suits) {
                continue;
            }
            let wish = table.next_choice(request, now);
            if let Some(wish) = wish.and_then(|key| table.slot_notice(key, SlotEvent::Requested)) {
                let _ = self.channels.notices.send(wish);
            }
        }
    }

    /// Makes room on the server of an online request, if batch items fill it.
    ///
    /// Only the dispatching host knows how many do: reports of the load lag.
    fn relieve(&mut self, key: ServerKey) {
        if let Some(notice) = self.table.slot_notice(key, SlotEvent::OnlineDispatched) {
            // A closed channel means that the host is stopping.
            let _ = self.channels.notices.send(notice);
        } else if self.table.is_crowded(key) {
            self.batch_slots.stop_youngest(None, |other| other == key);
        }
    }

    pub(super) fn note_placed(&mut self, name: &ServerName) {
        let Some(key) = self.table.key_of(name) else {
            return;
        };
        self.table.note_placed(key);
        if self.table.is_crowded(key) {
            self.batch_slots.stop_youngest(None, |other| other == key);
        }
    }

    pub(super) fn yield_slot(&mut self, requester: HostName, name: &ServerName) {
        let requester = Some(requester).filter(|requester| *requester != self.host);
        if let Some(key) = self.table.key_of(name) {
            self.batch_slots
                .stop_youngest(requester, |other| other == key);
        }
    }

    pub(super) fn batch_grant(
        &mut self,
        key: ServerKey,
        kind: &WorkKind,
        now: Instant,
    ) -> Option<BatchGrant> {
        let WorkKind::Batch { stoppable } = *kind else {
            self.relieve(key);
            return None;
        };
        let (key, stop) = self.batch_slots.add(key, stoppable, now);
        Some(BatchGrant { key, stop })
    }
}

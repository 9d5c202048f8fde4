//! Preemption of batch items in favour of online requests.

use super::RoutingTask;
use crate::routing::handle::{BatchGrant, RoutingNotice, SlotEvent, WorkKind};
use chicoryladder_policy::routing::{ServerKey, WorkTarget};
use chicoryladder_types::prelude::*;
use std::time::Instant;

impl RoutingTask {
    /// Preempts a batch item for each online request that found no slot, once per
    /// request and sweep.
    pub(super) fn request_preemption(&mut self, target: &WorkTarget, now: Instant) {
        let Some(queue) = self.online.get_mut(target) else {
            return;
        };
        for waiting in queue
            .waiting_mut()
            .filter(|waiting| !waiting.preemption_requested)
        {
            waiting.preemption_requested = true;
            let (table, request) = (&self.table, &waiting.request);
            let is_eligible = |key| table.is_eligible(key, request, now);
            if self.batch_slots.preempt_youngest(None, is_eligible) {
                continue;
            }
            let server = table.least_loaded(request, now);
            if let Some(notice) =
                server.and_then(|key| table.slot_notice(key, SlotEvent::Requested))
            {
                let _ = self.channels.notices.send(RoutingNotice::Slot(notice));
            }
        }
    }

    /// Notifies the dispatch host of the server of an online request or, if that is
    /// this host, preempts a batch item if the server is overcommitted.
    ///
    /// Only the dispatch host knows the current number of batch items on the server;
    /// load reports arrive with a delay.
    fn make_room(&mut self, key: ServerKey) {
        if let Some(notice) = self.table.slot_notice(key, SlotEvent::OnlineDispatched) {
            // The channel is closed only while the host is stopping.
            let _ = self.channels.notices.send(RoutingNotice::Slot(notice));
        } else if self.table.is_overcommitted(key) {
            self.batch_slots
                .preempt_youngest(None, |other| other == key);
        }
    }

    pub(super) fn record_online_dispatch(&mut self, name: &ServerName) {
        let Some(key) = self.table.find(name) else {
            return;
        };
        self.table.record_online_dispatch(key);
        if self.table.is_overcommitted(key) {
            self.batch_slots
                .preempt_youngest(None, |other| other == key);
        }
    }

    pub(super) fn preempt(&mut self, requester: HostName, name: &ServerName) {
        let requester = Some(requester).filter(|requester| *requester != self.host);
        if let Some(key) = self.table.find(name) {
            self.batch_slots
                .preempt_youngest(requester, |other| other == key);
        }
    }

    pub(super) fn batch_grant(
        &mut self,
        key: ServerKey,
        kind: &WorkKind,
        now: Instant,
    ) -> Option<BatchGrant> {
        let WorkKind::Batch { preemptible } = *kind else {
            self.make_room(key);
            return None;
        };
        let (key, stop) = self.batch_slots.add(key, preemptible, now);
        Some(BatchGrant { key, stop })
    }
}

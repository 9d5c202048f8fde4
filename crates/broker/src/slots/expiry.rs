//! What happens by the passage of time: silent hosts and servers, and requests that waited
//! for too long.

use super::{ServerEntry, SlotBroker, jittered_delay};
use crate::grants::{ServerKey, SlotGrant};
use crate::pool::WaitingRequest;
use crate::request::{RequesterId, SlotRefusalReason, SlotRequest, WorkKind};
use std::time::{Duration, Instant};

/// The silence after which a host that runs batch items loses their slots to the next one
/// that asks for some: more than the interval of its syncs. Only the leader of the job
/// group runs items, and one that cannot reach the broker is about to lose its lead.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(600);

impl SlotBroker {
    /// Reclaims the slots of the requester that ran batch items before, once it is silent.
    pub(super) fn supersede_batch_requester(&mut self, requester: &RequesterId, now: Instant) {
        let Some(earlier) = self.batch_requester.clone() else {
            self.batch_requester = Some(requester.clone());
            return;
        };
        if earlier == *requester {
            return;
        }
        let heard_at = self.requesters.get(&earlier);
        let is_silent =
            heard_at.is_none_or(|at| now.saturating_duration_since(*at) >= SUPERSEDED_AFTER);
        if is_silent {
            self.batch_requester = Some(requester.clone());
            self.remove_batch_grants_of(&earlier);
        }
    }

    /// Lets the requester of a queued batch item supersede the one before.
    pub(super) fn supersede_for_waiting(&mut self, now: Instant) {
        let earlier = self.batch_requester.as_ref();
        let waiting = self.services.values().flat_map(|pool| pool.batch.values());
        let mut requesters = waiting.map(|waiting| &waiting.requester);
        let next = requesters.find(|requester| Some(*requester) != earlier);
        if let Some(next) = next.cloned() {
            self.supersede_batch_requester(&next, now);
        }
    }

    fn remove_batch_grants_of(&mut self, requester: &RequesterId) {
        let is_batch = |grant: &SlotGrant| grant.kind == WorkKind::Batch;
        let grants = self.grants.iter().filter(|(_, grant)| is_batch(grant));
        let tickets: Vec<u64> = grants
            .filter(|(_, grant)| grant.requester == *requester)
            .map(|(_, grant)| grant.ticket)
            .collect();
        for ticket in tickets {
            self.remove_grant(requester, ticket);
        }
    }

    pub(super) fn remove_lost_requesters(&mut self, now: Instant) {
        let limit = self.settings.requester_lost_after;
        let is_lost = |at: &Instant| now.saturating_duration_since(*at) > limit;
        let lost: Vec<RequesterId> = self
            .requesters
            .iter()
            .filter(|(_, at)| is_lost(at))
            .map(|(requester, _)| requester.clone())
            .collect();
        for requester in lost {
            self.requesters.remove(&requester);
            self.path_reports.forget_host(&requester);
            for (ticket, _) in self.grants.tickets_of(&requester) {
                self.remove_grant(&requester, ticket);
            }
            if self.settings.pressure {
                self.refuse_waiting_of(&requester, now);
            }
        }
    }

    /// Refuses the queued online requests of a lost requester. Under pressure they may be queued
    /// for longer than a requester is known, and would take slots that nobody uses.
    fn refuse_waiting_of(&mut self, requester: &RequesterId, now: Instant) {
        let mut refused = Vec::new();
        for pool in self.services.values_mut() {
            let of_requester = pool
                .online
                .iter()
                .filter(|(_, w)| w.requester == *requester);
            let positions: Vec<_> = of_requester.map(|(position, _)| *position).collect();
            refused.extend(pool.remove_all_unserved(WorkKind::Online, &positions));
        }
        for waiting in refused {
            self.refuse_expired(&waiting, now);
        }
    }

    pub(super) fn mark_lost_servers(&mut self, now: Instant) {
        let limit = self.settings.lost_after;
        for entry in self.servers.values_mut() {
            let age = now.saturating_duration_since(entry.record.checked_in_at);
            if age > limit && !entry.record.is_lost {
                entry.record.is_lost = true;
                self.directory_version += 1;
            }
        }
    }

    pub(super) fn remove_expired_servers(&mut self, now: Instant) {
        let limit = self.settings.remove_after;
        let is_expired =
            |entry: &ServerEntry| now.saturating_duration_since(entry.record.checked_in_at) > limit;
        let expired: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.remove_grants_of(key);
            self.path_reports.forget_server(key);
            if let Some(entry) = self.servers.remove(key) {
                self.by_name.remove(&entry.record.check_in.name);
                self.directory_version += 1;
            }
            for pool in self.services.values_mut() {
                pool.servers.retain(|known| *known != key);
            }
        }
    }

    /// Refuses the online requests that wait for a service, or for a version or homes of it,
    /// whose last server has left, was lost or is drained, as new ones are.
    pub(super) fn refuse_unservable(&mut self) {
        let mut unservable = Vec::new();
        for (name, pool) in self.services.iter().filter(|(_, p)| !p.online.is_empty()) {
            let has_servers = self.has_servers(name, None, None);
            let bound = |request: &SlotRequest| {
                request.required_version().is_some() || request.homes.is_some()
            };
            let waiting = pool.online.iter();
            let checked = waiting.filter(|(_, w)| !has_servers || bound(&w.request));
            unservable.extend(checked.filter_map(|(position, waiting)| {
                let (reason, retry_after) = self.unservable(&waiting.request)?;
                Some((name.clone(), *position, reason, retry_after))
            }));
        }
        for (service, position, reason, retry_after) in unservable {
            let pool = self.pool(&service);
            if let Some(waiting) = pool.remove_unserved(WorkKind::Online, position) {
                self.refuse_waiting(&waiting, reason, retry_after);
            }
        }
    }

    pub(super) fn expire_waiting(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for pool in self.services.values_mut() {
            for kind in [WorkKind::Online, WorkKind::Batch] {
                let due: Vec<_> = pool
                    .queue(kind)
                    .iter()
                    .filter(|(_, waiting)| waiting.until <= now)
                    .map(|(position, _)| *position)
                    .collect();
                expired.extend(pool.remove_all_unserved(kind, &due));
            }
        }
        for waiting in expired {
            self.refuse_expired(&waiting, now);
        }
    }

    pub(super) fn refuse_expired(&mut self, waiting: &WaitingRequest, now: Instant) {
        let ticket = waiting.request.ticket;
        let wait =
            Duration::from_secs_f64(self.pool(&waiting.request.service).averages.hold_seconds);
        let retry_after = jittered_delay(wait, ticket);
        let load = self.pool_load(&waiting.request.service, now);
        self.refuse_waiting(waiting, SlotRefusalReason::NoSlot(load), retry_after);
    }

    pub(super) fn refuse_waiting(
        &mut self,
        waiting: &WaitingRequest,
        reason: SlotRefusalReason,
        retry_after: Duration,
    ) {
        let request = &waiting.request;
        self.refund(request.charged_team.as_ref());
        self.refuse(&waiting.requester, request.ticket, reason, retry_after);
    }
}

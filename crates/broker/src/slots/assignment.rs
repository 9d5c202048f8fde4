//! The choice of a server for a request: a free slot, or that of a preempted batch item.

use super::SlotBroker;
use crate::grants::{GrantKey, ServerKey, SlotGrant};
use crate::placement::{PlacementQuery, prompt_prefixes, record_prompt, server_cost};
use crate::request::{BrokerEvent, RequesterId, SlotDecision, SlotRequest, WorkKind};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, Tail};
use std::time::Instant;

/// The number of slots per engine that batch items leave free, so that an online
/// request need not wait for a preemption.
const BATCH_HEADROOM: u32 = 1;

impl SlotBroker {
    /// Grants a slot if one is free or a batch item can be preempted.
    ///
    /// An online request preempts a batch item in its own zone rather than use a free
    /// slot in another one. The item can resume in the other zone, whereas the request
    /// would fail if the link between the zones went down.
    pub(super) fn try_grant(
        &mut self,
        requester: &RequesterId,
        request: &SlotRequest,
        now: Instant,
    ) -> bool {
        if self.is_undecided(request, now) {
            return false;
        }
        let free = self.free_server(request, now);
        let is_same_zone = free.is_some_and(|key| self.is_in_zone(key, &request.zone));
        let victim = match request.kind {
            WorkKind::Online if !is_same_zone => self.preemption_victim(request, now),
            WorkKind::Online | WorkKind::Batch => None,
        };
        let victim = victim.filter(|(_, in_zone)| *in_zone || free.is_none());
        let key = match victim {
            Some((victim, _)) => self.preempt(victim),
            None => free,
        };
        let Some(key) = key else {
            return false;
        };
        self.grant(requester, request, key, now);
        true
    }

    /// Whether a server may have a slot for queued work, whatever else the work needs.
    pub(super) fn has_room(&self, service: &ServiceName, kind: WorkKind, now: Instant) -> bool {
        let Some(pool) = self.services.get(service) else {
            return false;
        };
        let is_engine = pool.engine_tokens.is_some();
        let mut entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        entries.any(|entry| {
            let is_free = entry.running() < entry.capacity(is_engine, now);
            let is_preemptible = kind == WorkKind::Online && entry.running_batch > 0;
            (is_free || is_preemptible) && self.accepts_work(&entry.record, now)
        })
    }

    fn is_in_zone(&self, key: ServerKey, zone: &ZoneName) -> bool {
        let entry = self.servers.get(key);
        entry.is_some_and(|entry| entry.record.check_in.zone == *zone)
    }

    /// The server with a free slot and the lowest cost.
    fn free_server(&self, request: &SlotRequest, now: Instant) -> Option<ServerKey> {
        let pool = self.services.get(&request.service)?;
        let is_engine = pool.engine_tokens.is_some();
        let headroom = match request.kind {
            WorkKind::Batch if is_engine => BATCH_HEADROOM,
            WorkKind::Batch | WorkKind::Online => 0,
        };
        let overdue_after = self.settings.overdue_after();
        let prefixes = prompt_prefixes(&request.prompt);
        let query = PlacementQuery {
            zone: &request.zone,
            prefixes: &prefixes,
            overdue_after,
            now,
        };
        let weighs_servers = self.weighs_servers(pool);
        let mut best: Option<(f64, ServerKey)> = None;
        for key in &pool.servers {
            let Some(entry) = self.servers.get(*key) else {
                continue;
            };
            let capacity = entry.capacity(is_engine, now);
            let free = capacity.saturating_sub(entry.running());
            let fits = pool
                .engine_tokens
                .is_none_or(|max| entry.tokens.saturating_add(request.tokens) <= max);
            let usable = self.accepts_work(&entry.record, now)
                && self.admits_version(&entry.record, request)
                && self.is_allowed_home(&entry.record, request)
                && !request.avoid.contains(&entry.record.check_in.name);
            // Without online requests, only an item can end a server's probation.
            let headroom = if entry.is_on_probation() { 0 } else { headroom };
            let limit = entry.limit.get();
            let within_limit = entry.limit.admits(request.kind, now)
                && entry.cold.admits(request.kind, limit, now);
            if free <= headroom || !fits || !usable || !within_limit {
                continue;
            }
            let record = &entry.record;
            let used_slots = f64::from(entry.running()) / f64::from(capacity.max(1));
            let used_share = used_slots
                .max(entry.limit.used_share(now))
                .max(entry.cold.used_share(limit, now));
            let cost = if weighs_servers {
                pool.expected_cost(entry, used_share, &query)
            } else {
                server_cost(record, used_share, &query)
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// The batch item that an online request preempts, and whether it runs in the
    /// requester's zone. Items in that zone are preferred, then the most recently
    /// started.
    fn preemption_victim(&self, request: &SlotRequest, now: Instant) -> Option<(GrantKey, bool)> {
        let candidates = self.grants.iter().filter(|(_, grant)| {
            let entry = self.servers.get(grant.server);
            grant.kind == WorkKind::Batch
                && !grant.stopping
                && entry.is_some_and(|entry| {
                    entry.record.check_in.service == request.service
                        && self.accepts_work(&entry.record, now)
                        && self.admits_version(&entry.record, request)
                        && self.is_allowed_home(&entry.record, request)
                        && entry.limit.admits(request.kind, now)
                        && entry.cold.admits(request.kind, entry.limit.get(), now)
                        && !request.avoid.contains(&entry.record.check_in.name)
                })
        });
        let in_zone = |grant: &SlotGrant| self.is_in_zone(grant.server, &request.zone);
        let victim = candidates.max_by_key(|(_, grant)| (in_zone(grant), grant.granted_at));
        victim.map(|(key, grant)| (key, in_zone(grant)))
    }

    /// Preempts a run; its slot is available immediately.
    fn preempt(&mut self, key: GrantKey) -> Option<ServerKey> {
        let grant = self.grants.get_mut(key)?;
        let grant_before = grant.clone();
        grant.stopping = true;
        self.subtract_run(&grant_before);
        self.events.push(BrokerEvent::Stop {
            requester: grant_before.requester,
            ticket: grant_before.ticket,
        });
        Some(grant_before.server)
    }

    fn grant(
        &mut self,
        requester: &RequesterId,
        request: &SlotRequest,
        key: ServerKey,
        now: Instant,
    ) {
        let prefixes = prompt_prefixes(&request.prompt);
        let expected = self.charge_expectation(key, &request.service, &prefixes, now);
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        entry.limit.charge(now);
        entry.cold.charge(now);
        if expected.is_none() {
            record_prompt(&mut entry.record, &prefixes, now);
        }
        let check_in = &entry.record.check_in;
        if let Some(stream) = request.stream_id() {
            self.streams.bind(stream, &check_in.version, true, now);
        }
        let decision = SlotDecision::Granted {
            server: check_in.name.clone(),
            incarnation: check_in.incarnation,
            address: check_in.address,
            zone: check_in.zone.clone(),
            version: check_in.version.clone(),
            limit: entry.limit.get(),
            expected: Tail(expected.map(|expected| {
                let stated_age = entry.belief.pace.stated_age(now);
                expected.stated(stated_age)
            })),
        };
        self.events.push(BrokerEvent::Decided {
            requester: requester.clone(),
            ticket: request.ticket,
            decision,
        });
        self.insert_grant(SlotGrant {
            requester: requester.clone(),
            ticket: request.ticket,
            server: key,
            kind: request.kind,
            tokens: request.tokens,
            charged_team: request.charged_team.clone(),
            granted_at: now,
            traits: Some(request.traits()),
            stopping: false,
            expected,
        });
    }
}

//! The choice of a server for a request: a free slot, or that of a preempted batch item.
//!
//! The choice changes nothing, so that [`SlotBroker::explain_slot`] makes the same one.

use super::{ServerEntry, SlotBroker};
use crate::explanation::ServerObstacle;
use crate::grants::{GrantKey, ServerKey, SlotGrant};
use crate::placement::{PlacementQuery, PromptPrefix, prompt_prefixes, record_prompt, server_cost};
use crate::pool::ServicePool;
use crate::request::{BrokerEvent, RequesterId, SlotDecision, SlotRequest, WorkKind};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, Tail};
use std::time::Instant;

/// The number of slots per engine that batch items leave free, so that an online
/// request need not wait for a preemption. Items take the only slot of an engine.
const BATCH_HEADROOM: u32 = 1;

/// Where a request gets its slot.
#[derive(Clone, Copy, Debug)]
pub(super) enum SlotChoice {
    /// A free slot of a server.
    Free(ServerKey),
    /// The slot of a batch item, which is preempted.
    Preempted(GrantKey),
}

/// A server with a free slot.
#[derive(Clone, Copy, Debug)]
struct FreeServer {
    server: ServerKey,
    /// Whether no item of the requester's zone has to give up its slot, since the zone has a
    /// free one.
    needs_no_item: bool,
}

/// A server as a candidate for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotCandidate<'a> {
    pub(super) entry: &'a ServerEntry,
    /// The number of requests that the server may run.
    pub(super) capacity: u32,
    /// The number of slots that the request leaves free.
    headroom: u32,
    /// The tokens that fit in the memory of an engine.
    memory: Option<u64>,
}

impl SlotCandidate<'_> {
    /// The number of free slots.
    pub(super) fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.entry.running())
    }

    /// The used share of the slots, or of a burst within the limits of the server.
    #[inline]
    pub(super) fn used_share(&self, now: Instant) -> f64 {
        let entry = self.entry;
        let used_slots = f64::from(entry.running()) / f64::from(self.capacity.max(1));
        used_slots
            .max(entry.limit.used_share(now))
            .max(entry.cold.used_share(entry.limit.get(), now))
    }
}

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
        let key = match self.choose_slot(request, now) {
            Some(SlotChoice::Free(key)) => Some(key),
            Some(SlotChoice::Preempted(victim)) => self.preempt(victim),
            None => None,
        };
        let Some(key) = key else {
            return false;
        };
        self.grant(requester, request, key, now);
        true
    }

    /// Chooses the slot of a request, if there is one.
    pub(super) fn choose_slot(&self, request: &SlotRequest, now: Instant) -> Option<SlotChoice> {
        if self.is_undecided(request, now) {
            return None;
        }
        let free = self.free_server(request, now);
        let needs_no_item = free.is_some_and(|free| free.needs_no_item);
        let victim = match request.kind {
            WorkKind::Online if !needs_no_item => self.preemption_victim(request, now),
            WorkKind::Online | WorkKind::Batch => None,
        };
        let victim = victim.filter(|(_, in_zone)| *in_zone || free.is_none());
        let victim = victim.map(|(victim, _)| SlotChoice::Preempted(victim));
        victim.or(free.map(|free| SlotChoice::Free(free.server)))
    }

    /// The server on which a choice runs the request.
    pub(super) fn chosen_server(&self, choice: SlotChoice) -> Option<ServerKey> {
        match choice {
            SlotChoice::Free(key) => Some(key),
            SlotChoice::Preempted(victim) => Some(self.grants.by_key(victim)?.server),
        }
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

    /// Whether a server has a slot for queued work of a kind, but not the memory for a request.
    pub(super) fn waits_for_memory(&self, request: &SlotRequest, now: Instant) -> bool {
        let Some(pool) = self.services.get(&request.service) else {
            return false;
        };
        let mut entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        entries.any(|entry| {
            let candidate = Self::candidate(pool, entry, request.kind, now);
            !self.is_hindered(ServerObstacle::NoFreeSlot, &candidate, request, now)
                && self.is_hindered(ServerObstacle::NoMemory, &candidate, request, now)
                && self.accepts_work(&entry.record, now)
        })
    }

    fn is_in_zone(&self, key: ServerKey, zone: &ZoneName) -> bool {
        let entry = self.servers.get(key);
        entry.is_some_and(|entry| entry.record.check_in.zone == *zone)
    }

    /// The server with a free slot and the lowest cost.
    fn free_server(&self, request: &SlotRequest, now: Instant) -> Option<FreeServer> {
        let pool = self.services.get(&request.service)?;
        let prefixes = prompt_prefixes(&request.prompt);
        let query = self.placement_query(request, &prefixes, now);
        let mut best: Option<(f64, ServerKey)> = None;
        let mut zone_has_slot = false;
        for key in &pool.servers {
            let Some(entry) = self.servers.get(*key) else {
                continue;
            };
            let candidate = Self::candidate(pool, entry, request.kind, now);
            if self.has_obstacle(&candidate, request, now) {
                continue;
            }
            zone_has_slot |= entry.record.check_in.zone == request.zone;
            let cost = self.placement_cost(pool, &candidate, &query);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        let (_, server) = best?;
        // A server of another zone may be the cheapest one by its speed and its cache although
        // the zone has free slots.
        let needs_no_item = if self.weighs_servers(pool) {
            zone_has_slot
        } else {
            self.is_in_zone(server, &request.zone)
        };
        Some(FreeServer {
            server,
            needs_no_item,
        })
    }

    pub(super) fn placement_query<'a>(
        &self,
        request: &'a SlotRequest,
        prefixes: &'a [PromptPrefix],
        now: Instant,
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            zone: &request.zone,
            prefixes,
            overdue_after: self.settings.overdue_after(),
            now,
        }
    }

    #[inline]
    pub(super) fn candidate<'a>(
        pool: &ServicePool,
        entry: &'a ServerEntry,
        kind: WorkKind,
        now: Instant,
    ) -> SlotCandidate<'a> {
        let is_engine = pool.engine_tokens.is_some();
        let headroom = match kind {
            // Without online requests, only an item can end a server's probation.
            WorkKind::Batch if is_engine && !entry.is_on_probation() => {
                BATCH_HEADROOM.min(entry.record.check_in.slots.saturating_sub(1))
            }
            WorkKind::Batch | WorkKind::Online => 0,
        };
        SlotCandidate {
            entry,
            capacity: entry.capacity(is_engine, now),
            headroom,
            memory: pool.engine_tokens,
        }
    }

    /// Why a server has no slot for a request at present; none if it has.
    pub(super) fn obstacles<'a>(
        &'a self,
        candidate: &'a SlotCandidate<'a>,
        request: &'a SlotRequest,
        now: Instant,
    ) -> impl Iterator<Item = ServerObstacle> + 'a {
        let closed = self.closed_by(&candidate.entry.record, now);
        let others = ServerObstacle::OF_REQUESTS.into_iter();
        let others =
            others.filter(move |obstacle| self.is_hindered(*obstacle, candidate, request, now));
        closed.into_iter().chain(others)
    }

    /// Whether a server has no slot for a request. The same checks as [`Self::obstacles`], with
    /// the most frequent obstacle first: this is done for each server in each decision, and a loop
    /// over the obstacles takes a third longer.
    fn has_obstacle(
        &self,
        candidate: &SlotCandidate<'_>,
        request: &SlotRequest,
        now: Instant,
    ) -> bool {
        let is_hindered = |obstacle| self.is_hindered(obstacle, candidate, request, now);
        is_hindered(ServerObstacle::NoFreeSlot)
            || self.closed_by(&candidate.entry.record, now).is_some()
            || is_hindered(ServerObstacle::NoMemory)
            || is_hindered(ServerObstacle::Version)
            || is_hindered(ServerObstacle::OutsideHomes)
            || is_hindered(ServerObstacle::Avoided)
            || is_hindered(ServerObstacle::Limited)
            || is_hindered(ServerObstacle::Cold)
    }

    #[inline]
    fn is_hindered(
        &self,
        obstacle: ServerObstacle,
        candidate: &SlotCandidate<'_>,
        request: &SlotRequest,
        now: Instant,
    ) -> bool {
        let entry = candidate.entry;
        let record = &entry.record;
        match obstacle {
            ServerObstacle::NoFreeSlot => candidate.free() <= candidate.headroom,
            ServerObstacle::NoMemory => candidate
                .memory
                .is_some_and(|max| entry.tokens.saturating_add(request.tokens) > max),
            ServerObstacle::Version => !self.admits_version(record, request),
            ServerObstacle::OutsideHomes => !self.is_allowed_home(record, request),
            ServerObstacle::Avoided => request.avoid.contains(&record.check_in.name),
            ServerObstacle::Limited => !entry.limit.admits(request.kind, now),
            ServerObstacle::Cold => !entry.cold.admits(request.kind, entry.limit.get(), now),
            ServerObstacle::Leaving
            | ServerObstacle::Lost
            | ServerObstacle::Suspended
            | ServerObstacle::Silent
            | ServerObstacle::Drained => self.closed_by(record, now) == Some(obstacle),
        }
    }

    /// The cost of a request on a server.
    #[inline]
    pub(super) fn placement_cost(
        &self,
        pool: &ServicePool,
        candidate: &SlotCandidate<'_>,
        query: &PlacementQuery<'_>,
    ) -> f64 {
        let used_share = candidate.used_share(query.now);
        if self.weighs_servers(pool) {
            pool.expected_cost(candidate.entry, used_share, query)
        } else {
            server_cost(&candidate.entry.record, used_share, query)
        }
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

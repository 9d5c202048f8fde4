//! The broker itself.

use crate::ask::{BrokerEvent, RefuseReason, RequesterId, SlotDecision, SlotRequest, WorkKind};
use crate::directory::{CheckInOutcome, ServerCheckIn, ServerPhase, ServerRecord};
use crate::grants::{ActiveRun, GrantBook, GrantKey, RunOutcome, RunReport, ServerKey, SlotGrant};
use crate::placement::{note_prompt, server_cost};
use crate::pool::{ServicePool, WaitingRequest};
use crate::rate::{RateLedger, RateTolerance};
use chicoryladder_plan::{PlanTeam, ServicePlan};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Requests that a plain service is given for each of its slots; the second one
/// waits there for the time of a short answer.
const PLAIN_SLOT_FACTOR: u32 = 2;

/// Slots of an engine that batch items leave free, so that an online request need
/// not wait until one has stopped.
const BATCH_HEADROOM: u32 = 1;

/// The first suspension of a server that failed; it doubles with each failure.
const SUSPENSION: Duration = Duration::from_millis(250);

/// The longest suspension.
const SUSPENSION_MAX: Duration = Duration::from_secs(4);

/// The suspension of a server that is full of requests of others.
const SHED_PAUSE: Duration = Duration::from_millis(100);

/// The age up to which a grant may be missing in what its requester lists, since the
/// list may have been made before the grant arrived.
const GRANT_SETTLING: Duration = Duration::from_secs(1);

/// The least time after which a refused request should come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The longest time that a refused request is told to stay away.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(3);

/// The time after which a service without servers is likely to have one.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// The timers of a broker.
#[derive(Clone, Copy, Debug)]
pub struct BrokerSettings {
    /// The time between two check-ins of a server.
    pub check_in_interval: Duration,
    /// The silence after which a server gets no work.
    pub lost_after: Duration,
    /// The silence after which a server is forgotten.
    pub remove_after: Duration,
    /// The silence after which the slots of a requester are taken back.
    pub requester_lost_after: Duration,
    /// By how much the admitted requests may exceed rates and bursts.
    pub tolerance: RateTolerance,
}

#[derive(Debug)]
struct ServerEntry {
    record: ServerRecord,
    running_online: u32,
    running_batch: u32,
    tokens: u64,
}

impl ServerEntry {
    fn running(&self) -> u32 {
        self.running_online + self.running_batch
    }

    /// The requests that it may run, fewer while it is slow after its start.
    fn capacity(&self, is_engine: bool, now: Instant) -> u32 {
        let check_in = &self.record.check_in;
        let slots = if is_engine {
            check_in.slots
        } else {
            check_in.slots * PLAIN_SLOT_FACTOR
        };
        let is_cold = now < self.record.checked_in_at + check_in.warmup_remaining;
        if is_cold { slots.div_ceil(2) } else { slots }
    }
}

/// Decides which server runs which request.
#[derive(Debug)]
pub struct SlotBroker {
    settings: BrokerSettings,
    services: BTreeMap<ServiceName, ServicePool>,
    servers: SlotMap<ServerKey, ServerEntry>,
    by_name: HashMap<ServerName, ServerKey>,
    grants: GrantBook,
    rates: RateLedger,
    requesters: HashMap<RequesterId, Instant>,
    events: Vec<BrokerEvent>,
    arrivals: u64,
    directory_version: u64,
}

impl SlotBroker {
    /// A broker that knows no server and has given out no slot.
    #[must_use]
    pub fn new(settings: BrokerSettings) -> Self {
        Self {
            rates: RateLedger::new(settings.tolerance),
            settings,
            services: BTreeMap::new(),
            servers: SlotMap::with_key(),
            by_name: HashMap::new(),
            grants: GrantBook::default(),
            requesters: HashMap::new(),
            events: Vec::new(),
            arrivals: 0,
            directory_version: 0,
        }
    }

    /// Takes over the services and teams of a plan.
    pub fn set_plan(&mut self, plan: &ServicePlan, now: Instant) {
        for service in &plan.raw().services {
            let pool = self.pool(&service.name);
            pool.engine_tokens = service.engine.map(|engine| engine.memory_tokens);
        }
        self.rates.set_plan(plan, now);
    }

    /// What teams may spend.
    pub fn rates(&mut self) -> &mut RateLedger {
        &mut self.rates
    }

    /// Changes whenever a server is added, leaves or is lost.
    #[must_use]
    pub fn directory_version(&self) -> u64 {
        self.directory_version
    }

    /// The servers that are not lost, for hosts that have to choose without the
    /// broker, and for the next broker.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerCheckIn> {
        let alive = self.servers.values().filter(|entry| !entry.record.is_lost);
        alive.map(|entry| entry.record.check_in.clone()).collect()
    }

    /// Takes over a server that an earlier broker knew. It counts as heard from now:
    /// nobody has taken check-ins since the earlier broker did.
    pub fn restore_server(&mut self, check_in: ServerCheckIn, now: Instant) {
        if !self.by_name.contains_key(&check_in.name) {
            self.add_server(check_in, now);
        }
    }

    /// Takes a check-in of a server.
    pub fn check_in(&mut self, check_in: ServerCheckIn, now: Instant) -> CheckInOutcome {
        let Some(key) = self.by_name.get(&check_in.name).copied() else {
            let service = check_in.service.clone();
            self.add_server(check_in, now);
            self.dispatch(&service, now);
            return CheckInOutcome::Added;
        };
        let service = check_in.service.clone();
        let Some(entry) = self.servers.get_mut(key) else {
            return CheckInOutcome::Stale;
        };
        let moved = entry.record.check_in.service != service;
        let is_restarted = check_in.incarnation > entry.record.check_in.incarnation;
        let outcome = entry.record.renew(check_in, now);
        if is_restarted {
            self.forget_grants_of(key);
            if moved {
                for pool in self.services.values_mut() {
                    pool.servers.retain(|known| *known != key);
                }
                self.pool(&service).servers.push(key);
            }
        }
        if matches!(outcome, CheckInOutcome::Added | CheckInOutcome::Leaving) {
            self.directory_version += 1;
        }
        self.dispatch(&service, now);
        outcome
    }

    /// Notes that an incarnation of a server leaves, or has left.
    pub fn mark_leaving(&mut self, name: &ServerName, incarnation: Option<u64>) {
        let Some(entry) = self
            .by_name
            .get(name)
            .and_then(|key| self.servers.get_mut(*key))
        else {
            return;
        };
        if incarnation.is_none_or(|incarnation| incarnation == entry.record.check_in.incarnation) {
            entry.record.check_in.phase = ServerPhase::Leaving;
            self.directory_version += 1;
        }
    }

    /// The incarnation of a server that is known.
    #[must_use]
    pub fn incarnation(&self, name: &ServerName) -> Option<u64> {
        let key = self.by_name.get(name)?;
        Some(self.servers.get(*key)?.record.check_in.incarnation)
    }

    /// Asks for a slot; the answer is among the events, now or later.
    pub fn request_slot(&mut self, requester: &RequesterId, ask: SlotRequest, now: Instant) {
        self.requesters.insert(requester.clone(), now);
        if let Some(team) = &ask.charged_team
            && let Err(retry_after) = self.rates.take(team, now)
        {
            let retry_after = retry_after.max(RETRY_AFTER_MIN).min(RETRY_AFTER_MAX);
            self.refuse(
                requester,
                ask.ticket,
                RefuseReason::RateExceeded,
                retry_after,
            );
            return;
        }
        if !self.has_servers(&ask.service) {
            self.refund(ask.charged_team.as_ref());
            self.refuse(
                requester,
                ask.ticket,
                RefuseReason::NoServer,
                NO_SERVER_RETRY,
            );
            return;
        }
        if self.place(requester, &ask, now) {
            return;
        }
        self.wait_or_refuse(requester, ask, now);
    }

    fn wait_or_refuse(&mut self, requester: &RequesterId, ask: SlotRequest, now: Instant) {
        let slots = self.open_slots(&ask.service, now);
        let pool = self.pool(&ask.service);
        let mut wait_max = ask.wait_max;
        if ask.kind == WorkKind::Online {
            let wait = pool.predicted_wait(pool.ahead_of(ask.rank), slots);
            let first_answer = Duration::from_secs_f64(pool.pace.first_answer);
            wait_max = wait_max.min(ask.first_answer_within.saturating_sub(first_answer));
            if wait > wait_max {
                let retry_after = spread(wait, ask.ticket);
                self.refund(ask.charged_team.as_ref());
                self.refuse(requester, ask.ticket, RefuseReason::NoSlot, retry_after);
                return;
            }
        }
        self.arrivals += 1;
        let place = (ask.rank, self.arrivals);
        let waiting = WaitingRequest {
            requester: requester.clone(),
            until: now + wait_max,
            ask,
        };
        let pool = self.pool(&waiting.ask.service);
        pool.waiting(waiting.ask.kind).insert(place, waiting);
    }

    /// Withdraws a question that has no answer yet.
    pub fn withdraw(&mut self, requester: &RequesterId, ticket: u64) {
        let is_it = |waiting: &WaitingRequest| {
            waiting.requester == *requester && waiting.ask.ticket == ticket
        };
        let mut found = None;
        for pool in self.services.values_mut() {
            for queue in [&mut pool.online, &mut pool.batch] {
                let place = queue
                    .iter()
                    .find(|(_, w)| is_it(w))
                    .map(|(place, _)| *place);
                if let Some(place) = place {
                    found = queue.remove(&place);
                }
            }
        }
        if let Some(waiting) = found {
            self.refund(waiting.ask.charged_team.as_ref());
        }
    }

    /// Takes a slot back.
    pub fn release(&mut self, requester: &RequesterId, report: &RunReport, now: Instant) {
        self.requesters.insert(requester.clone(), now);
        let Some(grant) = self.grants.remove(requester, report.ticket) else {
            self.withdraw(requester, report.ticket);
            return;
        };
        if report.refund {
            self.refund(grant.charged_team.as_ref());
        }
        self.discount(&grant);
        let Some(entry) = self.servers.get_mut(grant.server) else {
            return;
        };
        note_outcome(&mut entry.record, report, now);
        let service = entry.record.check_in.service.clone();
        let pool = self.pool(&service);
        if let Some(first_answer) = report.first_answer {
            pool.pace.note_first_answer(first_answer);
        }
        if grant.kind == WorkKind::Online && report.outcome == RunOutcome::Served {
            let hold = now.saturating_duration_since(grant.granted_at);
            pool.pace.note_hold(hold);
        }
        self.dispatch(&service, now);
    }

    /// The server of a slot and its incarnation.
    #[must_use]
    pub fn server_of(&self, requester: &RequesterId, ticket: u64) -> Option<(ServerName, u64)> {
        let grant = self.grants.find(requester, ticket)?;
        let check_in = &self.servers.get(grant.server)?.record.check_in;
        Some((check_in.name.clone(), check_in.incarnation))
    }

    /// Matches the slots of a requester with what it has under way.
    pub fn reconcile(&mut self, requester: &RequesterId, active: &[ActiveRun], now: Instant) {
        self.requesters.insert(requester.clone(), now);
        let listed: HashSet<u64> = active.iter().map(|run| run.ticket).collect();
        for (ticket, granted_at) in self.grants.tickets_of(requester) {
            let settled = now.saturating_duration_since(granted_at) > GRANT_SETTLING;
            if settled && !listed.contains(&ticket) {
                self.drop_grant(requester, ticket);
            }
        }
        for run in active {
            if self.grants.holds(requester, run.ticket) {
                continue;
            }
            if let Some(key) = self.by_name.get(&run.server).copied() {
                self.insert_grant(SlotGrant {
                    requester: requester.clone(),
                    ticket: run.ticket,
                    server: key,
                    kind: run.kind,
                    tokens: run.tokens,
                    charged_team: None,
                    granted_at: now,
                    stopping: false,
                });
            }
        }
        self.dispatch_all(now);
    }

    /// Acts on timers.
    pub fn tick(&mut self, now: Instant) {
        self.drop_lost_requesters(now);
        self.note_lost_servers(now);
        self.forget_servers(now);
        self.expire_waiting(now);
        self.dispatch_all(now);
    }

    /// What has to be sent since the last call.
    pub fn take_events(&mut self) -> Vec<BrokerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Slots in use and in all, online and batch requests that wait.
    #[must_use]
    pub fn load_of(&self, service: &ServiceName, now: Instant) -> (u32, u32, usize, usize) {
        let Some(pool) = self.services.get(service) else {
            return (0, 0, 0, 0);
        };
        let entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        let running = entries.map(ServerEntry::running).sum();
        let slots = self.open_slots(service, now);
        (running, slots, pool.online.len(), pool.batch.len())
    }

    /// Tops up the reserve of a host for one team.
    pub fn top_up(&mut self, team: &PlanTeam, held: u32, now: Instant) -> u32 {
        self.rates.top_up(team, held, now)
    }

    fn pool(&mut self, service: &ServiceName) -> &mut ServicePool {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServicePool::new());
        }
        self.services
            .entry(service.clone())
            .or_insert_with(ServicePool::new)
    }

    fn add_server(&mut self, check_in: ServerCheckIn, now: Instant) {
        let name = check_in.name.clone();
        let service = check_in.service.clone();
        let key = self.servers.insert(ServerEntry {
            record: ServerRecord::new(check_in, now),
            running_online: 0,
            running_batch: 0,
            tokens: 0,
        });
        self.by_name.insert(name, key);
        self.pool(&service).servers.push(key);
        self.directory_version += 1;
    }

    fn has_servers(&self, service: &ServiceName) -> bool {
        let Some(pool) = self.services.get(service) else {
            return false;
        };
        let mut entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        entries
            .any(|entry| entry.record.check_in.phase == ServerPhase::Ready && !entry.record.is_lost)
    }

    fn open_slots(&self, service: &ServiceName, now: Instant) -> u32 {
        let Some(pool) = self.services.get(service) else {
            return 0;
        };
        let is_engine = pool.engine_tokens.is_some();
        let entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        let open = entries.filter(|entry| entry.record.is_open(now));
        open.map(|entry| entry.capacity(is_engine, now)).sum()
    }

    /// Grants a slot if one is free, or can be taken from a batch item.
    ///
    /// An online request takes the slot of a batch item in its own zone rather than
    /// a free one elsewhere: the item goes on there as well, whereas the request
    /// would be lost with the link between the zones.
    fn place(&mut self, requester: &RequesterId, ask: &SlotRequest, now: Instant) -> bool {
        let free = self.free_server(ask, now);
        let is_near = free.is_some_and(|key| self.is_in_zone(key, &ask.zone));
        let victim = match ask.kind {
            WorkKind::Online if !is_near => self.batch_victim(ask, now),
            WorkKind::Online | WorkKind::Batch => None,
        };
        let victim = victim.filter(|(_, near)| *near || free.is_none());
        let key = match victim {
            Some((victim, _)) => self.stop(victim),
            None => free,
        };
        let Some(key) = key else {
            return false;
        };
        self.grant(requester, ask, key, now);
        true
    }

    fn is_in_zone(&self, key: ServerKey, zone: &ZoneName) -> bool {
        let entry = self.servers.get(key);
        entry.is_some_and(|entry| entry.record.check_in.zone == *zone)
    }

    /// The cheapest server with a free slot.
    fn free_server(&self, ask: &SlotRequest, now: Instant) -> Option<ServerKey> {
        let pool = self.services.get(&ask.service)?;
        let is_engine = pool.engine_tokens.is_some();
        let headroom = match ask.kind {
            WorkKind::Batch if is_engine => BATCH_HEADROOM,
            WorkKind::Batch | WorkKind::Online => 0,
        };
        let overdue_after = self.settings.check_in_interval * 2;
        let mut best: Option<(f64, ServerKey)> = None;
        for key in &pool.servers {
            let Some(entry) = self.servers.get(*key) else {
                continue;
            };
            let capacity = entry.capacity(is_engine, now);
            let free = capacity.saturating_sub(entry.running());
            let fits = pool
                .engine_tokens
                .is_none_or(|max| entry.tokens + ask.tokens <= max);
            let usable =
                entry.record.is_open(now) && !ask.avoid.contains(&entry.record.check_in.name);
            if free <= headroom || !fits || !usable {
                continue;
            }
            let record = &entry.record;
            let cost = server_cost(record, entry.running(), capacity, ask, overdue_after, now);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// The batch item whose slot an online request takes, and whether it runs in the
    /// requester's zone: one there if there is one, and of these the one that began last.
    fn batch_victim(&self, ask: &SlotRequest, now: Instant) -> Option<(GrantKey, bool)> {
        let pool = self.services.get(&ask.service)?;
        let candidates = self.grants.iter().filter(|(_, grant)| {
            let entry = self.servers.get(grant.server);
            grant.kind == WorkKind::Batch
                && !grant.stopping
                && pool.servers.contains(&grant.server)
                && entry.is_some_and(|entry| {
                    entry.record.is_open(now) && !ask.avoid.contains(&entry.record.check_in.name)
                })
        });
        let near = |grant: &SlotGrant| self.is_in_zone(grant.server, &ask.zone);
        let victim = candidates.max_by_key(|(_, grant)| (near(grant), grant.granted_at));
        victim.map(|(key, grant)| (key, near(grant)))
    }

    /// Has a run stopped; its slot is free for another from now on.
    fn stop(&mut self, key: GrantKey) -> Option<ServerKey> {
        let grant = self.grants.get_mut(key)?;
        let grant_before = grant.clone();
        grant.stopping = true;
        self.discount(&grant_before);
        self.events.push(BrokerEvent::Stop {
            requester: grant_before.requester,
            ticket: grant_before.ticket,
        });
        Some(grant_before.server)
    }

    fn grant(&mut self, requester: &RequesterId, ask: &SlotRequest, key: ServerKey, now: Instant) {
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        note_prompt(&mut entry.record, &ask.prompt, now);
        let check_in = &entry.record.check_in;
        let decision = SlotDecision::Granted {
            server: check_in.name.clone(),
            address: check_in.address,
            zone: check_in.zone.clone(),
        };
        self.events.push(BrokerEvent::Decided {
            requester: requester.clone(),
            ticket: ask.ticket,
            decision,
        });
        self.insert_grant(SlotGrant {
            requester: requester.clone(),
            ticket: ask.ticket,
            server: key,
            kind: ask.kind,
            tokens: ask.tokens,
            charged_team: ask.charged_team.clone(),
            granted_at: now,
            stopping: false,
        });
    }

    fn insert_grant(&mut self, grant: SlotGrant) {
        let server = grant.server;
        let kind = grant.kind;
        let tokens = grant.tokens;
        self.grants.insert(grant);
        if let Some(entry) = self.servers.get_mut(server) {
            entry.tokens += tokens;
            match kind {
                WorkKind::Online => entry.running_online += 1,
                WorkKind::Batch => entry.running_batch += 1,
            }
        }
    }

    fn drop_grant(&mut self, requester: &RequesterId, ticket: u64) {
        if let Some(grant) = self.grants.remove(requester, ticket) {
            self.discount(&grant);
        }
    }

    /// Takes an ended run out of the counts of its server.
    fn discount(&mut self, grant: &SlotGrant) {
        if grant.stopping {
            return;
        }
        if let Some(entry) = self.servers.get_mut(grant.server) {
            entry.tokens = entry.tokens.saturating_sub(grant.tokens);
            let running = match grant.kind {
                WorkKind::Online => &mut entry.running_online,
                WorkKind::Batch => &mut entry.running_batch,
            };
            *running = running.saturating_sub(1);
        }
    }

    /// A restarted server runs nothing of before.
    fn forget_grants_of(&mut self, key: ServerKey) {
        let of_server: Vec<(RequesterId, u64)> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.server == key)
            .map(|(_, grant)| (grant.requester.clone(), grant.ticket))
            .collect();
        for (requester, ticket) in of_server {
            self.drop_grant(&requester, ticket);
        }
    }

    fn drop_lost_requesters(&mut self, now: Instant) {
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
            for (ticket, _) in self.grants.tickets_of(&requester) {
                self.drop_grant(&requester, ticket);
            }
        }
    }

    fn note_lost_servers(&mut self, now: Instant) {
        let limit = self.settings.lost_after;
        for entry in self.servers.values_mut() {
            let silent = now.saturating_duration_since(entry.record.checked_in_at);
            if silent > limit && !entry.record.is_lost {
                entry.record.is_lost = true;
                self.directory_version += 1;
            }
        }
    }

    fn forget_servers(&mut self, now: Instant) {
        let limit = self.settings.remove_after;
        let is_gone =
            |entry: &ServerEntry| now.saturating_duration_since(entry.record.checked_in_at) > limit;
        let gone: Vec<ServerKey> = self
            .servers
            .iter()
            .filter(|(_, entry)| is_gone(entry))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.forget_grants_of(key);
            if let Some(entry) = self.servers.remove(key) {
                self.by_name.remove(&entry.record.check_in.name);
                self.directory_version += 1;
            }
            for pool in self.services.values_mut() {
                pool.servers.retain(|known| *known != key);
            }
        }
    }

    fn expire_waiting(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for pool in self.services.values_mut() {
            for queue in [&mut pool.online, &mut pool.batch] {
                let due: Vec<_> = queue
                    .iter()
                    .filter(|(_, waiting)| waiting.until <= now)
                    .map(|(place, _)| *place)
                    .collect();
                expired.extend(due.iter().filter_map(|place| queue.remove(place)));
            }
        }
        for waiting in expired {
            let ticket = waiting.ask.ticket;
            let wait = Duration::from_secs_f64(self.pool(&waiting.ask.service).pace.hold);
            self.refund(waiting.ask.charged_team.as_ref());
            let retry_after = spread(wait, ticket);
            self.refuse(
                &waiting.requester,
                ticket,
                RefuseReason::NoSlot,
                retry_after,
            );
        }
    }

    fn dispatch_all(&mut self, now: Instant) {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, now);
        }
    }

    /// Gives free slots to those that wait, online requests first.
    fn dispatch(&mut self, service: &ServiceName, now: Instant) {
        for kind in [WorkKind::Online, WorkKind::Batch] {
            loop {
                let first = self.pool(service).waiting(kind).pop_first();
                let Some((place, waiting)) = first else {
                    break;
                };
                if !self.place(&waiting.requester, &waiting.ask, now) {
                    self.pool(service).waiting(kind).insert(place, waiting);
                    break;
                }
            }
        }
    }

    fn refund(&mut self, charged_team: Option<&TeamName>) {
        if let Some(team) = charged_team {
            self.rates.refund(team);
        }
    }

    fn refuse(
        &mut self,
        requester: &RequesterId,
        ticket: u64,
        reason: RefuseReason,
        retry_after: Duration,
    ) {
        let decision = SlotDecision::Refused {
            reason,
            retry_after,
        };
        self.events.push(BrokerEvent::Decided {
            requester: requester.clone(),
            ticket,
            decision,
        });
    }
}

/// Takes over what a run showed of its server.
fn note_outcome(record: &mut ServerRecord, report: &RunReport, now: Instant) {
    match report.outcome {
        RunOutcome::Served => {
            record.failures = 0;
            record.suspended_until = None;
        }
        RunOutcome::Stopped => {}
        RunOutcome::Shed => record.suspended_until = Some(now + SHED_PAUSE),
        RunOutcome::Unreachable | RunOutcome::WrongServer | RunOutcome::Failed => {
            let doublings = record.failures.min(8);
            let pause = SUSPENSION * 2u32.pow(doublings);
            record.failures += 1;
            record.suspended_until = Some(now + pause.min(SUSPENSION_MAX));
        }
    }
}

/// Spreads the return of refused requests over one more such wait, so that they
/// do not come back together.
fn spread(wait: Duration, ticket: u64) -> Duration {
    /// A multiplier that mixes the bits of consecutive tickets.
    const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = ticket.wrapping_mul(MIX) >> 40;
    let share = f64::from(u32::try_from(mixed).unwrap_or(u32::MAX)) / f64::from(1u32 << 24);
    let wait = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    wait.mul_f64(1.0 + share).min(RETRY_AFTER_MAX)
}

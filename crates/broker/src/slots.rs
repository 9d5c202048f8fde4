//! The slot broker, which grants, queues, refuses and preempts.
//!
//! [`assignment`] chooses the server of a request or the item that it preempts,
//! [`expectations`] estimates how long each server takes to answer, [`eligibility`] tells
//! which servers may run a request at all, [`expiry`] reclaims what
//! hosts and servers leave behind that are lost, [`failures`] suspends servers by the reports
//! of hosts, [`path_reports`] tells these from the reports of hosts without a path,
//! [`pressure`] admits and orders requests under overload,
//! [`version_steps`] tells at which versions streams may begin, [`crashes`] refuses the
//! requests under which servers crash, [`zone_drains`] holds the zones whose servers get no
//! work, [`coldness`] tells which servers are cold, and [`explain`] tells what would be decided
//! on a request.

mod assignment;
mod coldness;
mod crashes;
mod eligibility;
mod expectations;
mod expiry;
mod explain;
mod failures;
mod path_reports;
mod pressure;
mod version_steps;
mod zone_drains;

use crate::admission::{CallerTerms, QueuePosition};
use crate::cold_servers::{ColdState, ColdTolerance};
use crate::directory::{CheckInOutcome, ReceivedCheckIn, ServerCheckIn, ServerPhase, ServerRecord};
use crate::explanation::ServerObstacle;
use crate::grants::{ActiveRun, GrantTable, RunOutcome, RunReport, ServerKey, SlotGrant};
use crate::homes::ZoneAreas;
use crate::pool::{RunAverages, ServicePool, WaitingRequest, predicted_wait};
use crate::rate::{RateLedger, RateTolerance};
use crate::request::{
    BrokerEvent, PoolLoad, RequesterId, SlotDecision, SlotRefusalReason, SlotRequest, WorkKind,
};
use crate::server_limits::{BelievedLimit, EarlyReports};
use crate::server_pace::WorkPercent;
use crate::streams::StreamVersions;
use chicoryladder_plan::{PlanTeam, ServicePlan};
use chicoryladder_policy::quarantine::CrashLedger;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, ServiceName, SoftwareVersion};
pub use expectations::PromptTokenCount;
use expectations::ServerBelief;
use failures::ContactHistory;
use path_reports::PathReports;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

/// The number of requests sent per slot of a service without engines. The second
/// one queues at the server for the duration of a short response.
const PLAIN_SLOT_FACTOR: u32 = 2;

/// The first suspension of a failed server; it doubles with each further failure.
const SUSPENSION: Duration = Duration::from_millis(250);

/// The longest suspension.
const SUSPENSION_MAX: Duration = Duration::from_secs(4);

/// The number of consecutive failures from which a server is on probation: it runs one
/// request at a time until it serves one. A server that answers each request with an error
/// at once has more free slots than the others, and would otherwise get most requests.
const PROBATION_FAILURES: u32 = 3;

/// The suspension of a server that shed a request because it is at capacity.
const SHED_SUSPENSION: Duration = Duration::from_millis(100);

/// The age up to which a grant may be missing from its requester's list of active runs,
/// since the list may have been compiled before the grant arrived.
const GRANT_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// The shortest delay after which a refused request should be retried.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The longest delay after which a refused request should be retried.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(3);

/// The retry delay for a service that has no servers.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// The timeouts and tolerances of a broker.
#[derive(Clone, Debug)]
pub struct BrokerSettings {
    /// The interval between check-ins of a server.
    pub check_in_interval: Duration,
    /// The time without check-ins after which a server gets no work.
    pub lost_after: Duration,
    /// The time without check-ins after which a server is removed.
    pub remove_after: Duration,
    /// The time without calls after which the slots of a requester are reclaimed.
    pub requester_lost_after: Duration,
    /// The excess over rates and bursts that may be admitted.
    pub tolerance: RateTolerance,
    /// The excess over the rate of cold servers that may arrive.
    pub cold_tolerance: ColdTolerance,
    /// Whether requests compete for slots by their targets and teams (feature `pressure`), also
    /// for services whose servers do not state how long work takes on them.
    pub pressure: bool,
    /// Whether the speed of servers and what they hold of a prompt are weighed (feature
    /// `weighed-placement`), for services whose servers state how long work takes on them, and
    /// for all under `pressure`.
    pub weighs_placement: bool,
    /// The areas of zones, for requests with homes.
    pub areas: ZoneAreas,
}

impl BrokerSettings {
    /// The time without check-ins after which a server is probably partitioned.
    fn overdue_after(&self) -> Duration {
        self.check_in_interval * 2
    }
}

#[derive(Debug)]
struct ServerEntry {
    record: ServerRecord,
    running_online: u32,
    running_batch: u32,
    tokens: u64,
    limit: BelievedLimit,
    cold: ColdState,
    belief: ServerBelief,
    contacts: ContactHistory,
    /// The host that did not reach the server, if the suspension is due to that.
    suspended_by: Option<RequesterId>,
}

impl ServerEntry {
    fn incarnation(&self) -> u64 {
        self.record.check_in.incarnation
    }

    fn running(&self) -> u32 {
        self.running_online + self.running_batch
    }

    fn is_on_probation(&self) -> bool {
        self.record.failures >= PROBATION_FAILURES
    }

    /// The number of requests that the server may run; one on probation, and halved during
    /// warm-up unless the service has terms on cold servers, by which they are paced.
    fn capacity(&self, is_engine: bool, now: Instant) -> u32 {
        if self.is_on_probation() {
            return 1;
        }
        let check_in = &self.record.check_in;
        let slots = if is_engine {
            check_in.slots
        } else {
            check_in.slots.saturating_mul(PLAIN_SLOT_FACTOR)
        };
        let checked_in_for = now.saturating_duration_since(self.record.checked_in_at);
        let is_cold = checked_in_for < check_in.warmup_remaining && !self.cold.has_terms();
        if is_cold { slots.div_ceil(2) } else { slots }
    }
}

/// Assigns requests to servers.
#[derive(Debug)]
pub struct SlotBroker {
    settings: BrokerSettings,
    services: BTreeMap<ServiceName, ServicePool>,
    servers: SlotMap<ServerKey, ServerEntry>,
    by_name: HashMap<ServerName, ServerKey>,
    grants: GrantTable,
    rates: RateLedger,
    crashes: CrashLedger,
    streams: StreamVersions,
    path_reports: PathReports,
    early_limits: EarlyReports,
    /// When the drains of zones were withdrawn whose servers may be cold since.
    cold_zones: HashMap<ZoneName, Instant>,
    requesters: HashMap<RequesterId, Instant>,
    /// The requester that runs batch items.
    batch_requester: Option<RequesterId>,
    events: Vec<BrokerEvent>,
    arrivals: u64,
    directory_version: u64,
    versions_number: u64,
    /// From when on no stream can be of a version that this broker does not know; `None` if
    /// it has known them all from the start.
    versions_complete_at: Option<Instant>,
    /// The zones whose servers get no work, by order of operators.
    drained_zones: BTreeSet<ZoneName>,
    drains_number: u64,
    prompt_tokens: PromptTokenCount,
}

impl SlotBroker {
    /// Creates a broker without servers and grants.
    #[must_use]
    pub fn new(settings: BrokerSettings) -> Self {
        Self {
            rates: RateLedger::new(settings.tolerance),
            crashes: CrashLedger::default(),
            streams: StreamVersions::default(),
            path_reports: PathReports::default(),
            early_limits: EarlyReports::default(),
            cold_zones: HashMap::new(),
            settings,
            services: BTreeMap::new(),
            servers: SlotMap::with_key(),
            by_name: HashMap::new(),
            grants: GrantTable::default(),
            requesters: HashMap::new(),
            batch_requester: None,
            events: Vec::new(),
            arrivals: 0,
            directory_version: 0,
            versions_number: 0,
            versions_complete_at: None,
            drained_zones: BTreeSet::new(),
            drains_number: 0,
            prompt_tokens: PromptTokenCount::default(),
        }
    }

    /// Applies the services and teams of a plan.
    pub fn set_plan(&mut self, plan: &ServicePlan, now: Instant) {
        for service in &plan.raw().services {
            let pool = self.pool(&service.name);
            pool.engine_tokens = service.engine.map(|engine| engine.memory_tokens);
        }
        self.rates.set_plan(plan, now);
        self.set_cold_terms(plan, now);
    }

    /// The rate limits of the teams.
    pub fn rates(&mut self) -> &mut RateLedger {
        &mut self.rates
    }

    /// The version of the server directory, which changes whenever a server is added,
    /// leaves or is lost.
    #[must_use]
    pub fn directory_version(&self) -> u64 {
        self.directory_version
    }

    /// The servers that are not lost, for hosts that cannot reach the broker and for
    /// the next broker; those of drained zones included.
    #[must_use]
    pub fn servers(&self) -> Vec<ServerCheckIn> {
        let listed = self.servers.values().filter(|entry| !entry.record.is_lost);
        listed.map(|entry| entry.record.check_in.clone()).collect()
    }

    /// Adds a server from the directory of an earlier broker. Its check-in counts as
    /// received now, since no broker has accepted check-ins in the meantime.
    pub fn restore_server(&mut self, check_in: ServerCheckIn, now: Instant) {
        if !self.by_name.contains_key(&check_in.name) {
            self.add_server(check_in.into(), now);
        }
    }

    /// Processes a check-in of a server. A new incarnation that does not say how long it stays
    /// cold counts as cold for the duration in the terms of its service.
    pub fn check_in(
        &mut self,
        received: impl Into<ReceivedCheckIn>,
        now: Instant,
    ) -> CheckInOutcome {
        let received = received.into();
        let stated = received.stated_warmup();
        let check_in = &received.check_in;
        let Some(key) = self.by_name.get(&check_in.name).copied() else {
            let service = check_in.service.clone();
            self.add_server(received, now);
            self.dispatch(&service, now);
            return CheckInOutcome::Added;
        };
        let check_in = received.check_in;
        let service = check_in.service.clone();
        let version = check_in.version.clone();
        let Some(entry) = self.servers.get_mut(key) else {
            return CheckInOutcome::Stale;
        };
        let service_changed = entry.record.check_in.service != service;
        let is_restarted = check_in.incarnation > entry.record.check_in.incarnation;
        let overdue_after = self.settings.overdue_after();
        let was_open = entry.record.is_open(now);
        let was_overdue = entry.record.is_overdue(overdue_after, now);
        let outcome = entry.record.renew(check_in, now);
        if was_overdue && outcome != CheckInOutcome::Stale {
            // The silence and the failures meanwhile had the same cause.
            entry.record.lift_suspension();
        }
        let opens = (!was_open || was_overdue) && entry.record.is_open(now);
        if is_restarted {
            entry.limit = BelievedLimit::default();
            entry.belief = ServerBelief::default();
            entry.contacts = ContactHistory::default();
            self.path_reports.forget_server(key);
            self.apply_early_limit(key, now);
            if service_changed {
                for pool in self.services.values_mut() {
                    pool.servers.retain(|known| *known != key);
                }
                self.pool(&service).servers.push(key);
            }
        }
        if outcome != CheckInOutcome::Stale {
            self.record_cold_check_in(key, stated, is_restarted, now);
            self.observe_version(&service, &version, now);
        }
        if is_restarted {
            // The requests of the latest grants may still reach the new incarnation, so they
            // are counted above if that is cold.
            self.remove_grants_of(key);
        }
        if matches!(outcome, CheckInOutcome::Added | CheckInOutcome::Leaving) {
            self.directory_version += 1;
        }
        if opens || is_restarted {
            self.dispatch(&service, now);
        }
        outcome
    }

    /// Records that an incarnation of a server leaves or has left; `None` refers to the
    /// known incarnation. Returns whether this was not known before.
    pub fn mark_leaving(&mut self, name: &ServerName, incarnation: Option<u64>) -> bool {
        let Some(entry) = self
            .by_name
            .get(name)
            .and_then(|key| self.servers.get_mut(*key))
        else {
            return false;
        };
        let check_in = &mut entry.record.check_in;
        let is_known_incarnation = incarnation.is_none_or(|known| known == check_in.incarnation);
        if !is_known_incarnation || check_in.phase == ServerPhase::Leaving {
            return false;
        }
        check_in.phase = ServerPhase::Leaving;
        self.directory_version += 1;
        true
    }

    /// The known incarnation of a server.
    #[must_use]
    pub fn incarnation(&self, name: &ServerName) -> Option<u64> {
        let key = self.by_name.get(name)?;
        Some(self.servers.get(*key)?.record.check_in.incarnation)
    }

    /// Requests a slot for a caller of which nothing more is known.
    pub fn request_slot(&mut self, requester: &RequesterId, request: SlotRequest, now: Instant) {
        self.request_slot_for(requester, request, None, now);
    }

    /// Requests a slot. The decision is emitted as an event, at once or later. The terms of the
    /// caller only count where [`Self::uses_targets`] holds.
    pub fn request_slot_for(
        &mut self,
        requester: &RequesterId,
        mut request: SlotRequest,
        terms: Option<CallerTerms>,
        now: Instant,
    ) {
        let uses_targets = self.uses_targets(&request.service);
        let terms = terms.filter(|_| uses_targets && request.kind == WorkKind::Online);
        self.requesters.insert(requester.clone(), now);
        if request.kind == WorkKind::Batch {
            self.supersede_batch_requester(requester, now);
        }
        let refusal = self.early_refusal(&mut request, now);
        if !matches!(refusal, Some((SlotRefusalReason::Quarantined(_), _))) {
            self.begin_trials(&request, now);
        }
        if let Some((reason, retry_after)) = refusal {
            self.refuse(requester, request.ticket, reason, retry_after);
            return;
        }
        if let Some(team) = &request.charged_team {
            let taken = self.rates.take(team, now);
            debug_assert!(taken.is_ok(), "the rate was checked before");
        }
        if uses_targets {
            self.prepare_under_pressure(&request, terms.as_ref(), now);
        }
        if self.try_grant(requester, &request, now) {
            return;
        }
        match terms {
            Some(terms) => self.enqueue_by_target(requester, request, terms, now),
            None => self.enqueue_or_refuse(requester, request, now),
        }
    }

    /// Why a request is refused before a server is looked for, whatever it waits for. Binds the
    /// rest of a stream to its version.
    fn early_refusal(
        &self,
        request: &mut SlotRequest,
        now: Instant,
    ) -> Option<(SlotRefusalReason, Duration)> {
        if let Some((cause, retry_after)) = self.quarantine_of(request, now) {
            return Some((SlotRefusalReason::Quarantined(cause), retry_after));
        }
        if !self.bind_version(request, now) {
            return Some((SlotRefusalReason::VersionUnknown, NO_SERVER_RETRY));
        }
        let charged_team = request.charged_team.as_ref();
        let standing = charged_team.and_then(|team| self.rates.standing(team, now));
        if let Some(wait) = standing.and_then(|standing| standing.wait) {
            let retry_after = wait.max(RETRY_AFTER_MIN).min(RETRY_AFTER_MAX);
            return Some((SlotRefusalReason::RateExceeded, retry_after));
        }
        self.unservable(request)
    }

    /// How long a request has to wait that is queued by its order of arrival.
    fn ordered_wait(&self, request: &SlotRequest, now: Instant) -> OrderedWait {
        let pool = self.services.get(&request.service);
        let Some(pool) = pool.filter(|_| request.kind == WorkKind::Online) else {
            return OrderedWait {
                predicted: None,
                longest: request.wait_max,
            };
        };
        let all_rate = self.request_rate(&request.service, None, None, now);
        let own_rate = self.own_rate(request, all_rate, now);
        let mut wait = predicted_wait(pool.queued_ahead(request.rank), all_rate, own_rate);
        if request.homes.is_some() {
            // The requests of the same homes share fewer servers than all those ahead.
            let ahead = pool.homed_ahead(request);
            wait = wait.max(predicted_wait(ahead, own_rate, own_rate));
        }
        let first_answer = Duration::from_secs_f64(pool.averages.first_answer_seconds);
        let in_time = request.first_answer_within.saturating_sub(first_answer);
        OrderedWait {
            predicted: Some(wait),
            longest: request.wait_max.min(in_time),
        }
    }

    fn enqueue_or_refuse(&mut self, requester: &RequesterId, request: SlotRequest, now: Instant) {
        let wait = self.ordered_wait(&request, now);
        if let Some(retry_after) = wait.refused_until(request.ticket) {
            let load = self.pool_load(&request.service, now);
            self.refund(request.charged_team.as_ref());
            self.refuse(
                requester,
                request.ticket,
                SlotRefusalReason::NoSlot(load),
                retry_after,
            );
            return;
        }
        let wait_max = wait.longest;
        let position = self.next_position(&request);
        let waiting = WaitingRequest {
            requester: requester.clone(),
            until: now + wait_max,
            in_time_until: now + wait_max,
            terms: None,
            was_undecided: self.is_undecided(&request, now),
            request,
        };
        let pool = self.pool(&waiting.request.service);
        pool.queue(waiting.request.kind).insert(position, waiting);
    }

    fn next_position(&mut self, request: &SlotRequest) -> QueuePosition {
        self.arrivals += 1;
        let position = QueuePosition::by_arrival(request.rank, self.arrivals);
        if self.uses_targets(&request.service) && request.kind == WorkKind::Online {
            self.take_share(&request.service, position, request.charged_team.as_ref())
        } else {
            position
        }
    }

    /// Cancels a request that is still queued.
    pub fn withdraw(&mut self, requester: &RequesterId, ticket: u64) {
        let is_match = |waiting: &WaitingRequest| {
            waiting.requester == *requester && waiting.request.ticket == ticket
        };
        let mut withdrawn = None;
        for pool in self.services.values_mut() {
            for kind in [WorkKind::Online, WorkKind::Batch] {
                let queue = pool.queue(kind);
                let position = queue
                    .iter()
                    .find(|(_, w)| is_match(w))
                    .map(|(position, _)| *position);
                if let Some(position) = position {
                    withdrawn = pool.remove_unserved(kind, position);
                }
            }
        }
        if let Some(waiting) = withdrawn {
            self.refund(waiting.request.charged_team.as_ref());
        }
    }

    /// Releases a slot, or cancels the request if no slot has been granted.
    pub fn release(&mut self, requester: &RequesterId, report: &RunReport, now: Instant) {
        self.release_stated(requester, report, None, now);
    }

    /// Like [`Self::release`], with the time that work takes on the server as its answer
    /// stated it.
    pub fn release_stated(
        &mut self,
        requester: &RequesterId,
        report: &RunReport,
        work: Option<WorkPercent>,
        now: Instant,
    ) {
        self.requesters.insert(requester.clone(), now);
        let Some(mut grant) = self.grants.remove(requester, report.ticket) else {
            self.withdraw(requester, report.ticket);
            return;
        };
        if report.refund {
            self.refund(grant.charged_team.as_ref());
        }
        self.subtract_run(&grant);
        self.learn_from_end(&mut grant, report, work, now);
        self.record_completion(&grant, &report.completed, now);
        let Some(entry) = self.servers.get(grant.server) else {
            return;
        };
        let service = entry.record.check_in.service.clone();
        let name = entry.record.check_in.name.clone();
        self.record_outcome(&grant, report, now);
        if report.outcome == RunOutcome::Leaving {
            self.mark_leaving(&name, None);
        }
        let pool = self.pool(&service);
        if let Some(first_answer) = report.first_answer {
            pool.averages.record_first_answer(first_answer);
        }
        if grant.kind == WorkKind::Online && report.outcome == RunOutcome::Served {
            let hold = now.saturating_duration_since(grant.granted_at);
            pool.averages.record_hold(hold);
        }
        self.dispatch(&service, now);
    }

    /// Reconciles the grants of a requester with its list of active runs: removes grants
    /// that are not listed, and adds listed runs that are unknown to the broker.
    pub fn reconcile(&mut self, requester: &RequesterId, active: &[ActiveRun], now: Instant) {
        self.requesters.insert(requester.clone(), now);
        let listed: HashSet<u64> = active.iter().map(|run| run.ticket).collect();
        let mut has_freed_slots = false;
        for (ticket, granted_at) in self.grants.tickets_of(requester) {
            let must_be_listed = now.saturating_duration_since(granted_at) > GRANT_GRACE_PERIOD;
            if must_be_listed && !listed.contains(&ticket) {
                self.remove_grant(requester, ticket);
                has_freed_slots = true;
            }
        }
        for run in active {
            if self.grants.contains(requester, run.ticket) {
                self.record_progress(requester, run, now);
                continue;
            }
            if let Some(key) = self.by_name.get(&run.server).copied() {
                if run.brokerless
                    && let Some(entry) = self.servers.get_mut(key)
                {
                    entry.limit.charge(now);
                    entry.cold.charge(now);
                }
                self.insert_grant(SlotGrant {
                    requester: requester.clone(),
                    ticket: run.ticket,
                    server: key,
                    kind: run.kind,
                    tokens: run.tokens,
                    charged_team: None,
                    granted_at: now,
                    traits: None,
                    stopping: false,
                    expected: None,
                });
            }
        }
        // Without free slots there is nothing to dispatch, and each of hundreds of hosts
        // syncs several times a second.
        if has_freed_slots {
            self.dispatch_all(now);
        }
    }

    /// Processes timeouts.
    pub fn tick(&mut self, now: Instant) {
        self.remove_lost_requesters(now);
        self.mark_lost_servers(now);
        self.remove_expired_servers(now);
        let remove_after = self.settings.remove_after;
        self.early_limits.remove_expired(remove_after, now);
        self.refresh_all_cold(now);
        self.refuse_unservable();
        self.decide_on_crashes(now);
        self.expire_waiting(now);
        self.demote_waiting(now);
        self.supersede_for_waiting(now);
        self.report_version_steps(now);
        self.dispatch_all(now);
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<BrokerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Active runs, available slots, queued online requests, and queued batch requests
    /// of a service.
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

    fn pool_load(&self, service: &ServiceName, now: Instant) -> PoolLoad {
        let (running, slots, waiting, _) = self.load_of(service, now);
        let averages = self.services.get(service).map(|pool| pool.averages);
        let hold = averages.map_or(0.0, |averages| averages.hold_seconds);
        PoolLoad {
            running,
            slots,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            hold_ms: u32::try_from(Duration::from_secs_f64(hold).as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Tops up the reserve of a host for a team and returns the number of tokens
    /// granted.
    pub fn top_up(&mut self, team: &PlanTeam, held: u32, now: Instant) -> u32 {
        self.rates.top_up(team, held, now)
    }

    /// The averages over the runs of a service.
    fn averages(&self, service: &ServiceName) -> RunAverages {
        let pool = self.services.get(service);
        pool.map_or_else(RunAverages::default, |pool| pool.averages)
    }

    fn pool(&mut self, service: &ServiceName) -> &mut ServicePool {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServicePool::new());
        }
        self.services
            .entry(service.clone())
            .or_insert_with(ServicePool::new)
    }

    fn add_server(&mut self, received: ReceivedCheckIn, now: Instant) {
        let stated = received.stated_warmup();
        let check_in = received.check_in;
        let name = check_in.name.clone();
        let service = check_in.service.clone();
        let version = check_in.version.clone();
        let key = self.servers.insert(ServerEntry {
            record: ServerRecord::new(check_in, now),
            running_online: 0,
            running_batch: 0,
            tokens: 0,
            limit: BelievedLimit::default(),
            cold: ColdState::default(),
            belief: ServerBelief::default(),
            contacts: ContactHistory::default(),
            suspended_by: None,
        });
        self.by_name.insert(name, key);
        self.apply_early_limit(key, now);
        self.pool(&service).servers.push(key);
        self.record_cold_check_in(key, stated, true, now);
        self.observe_version(&service, &version, now);
        self.directory_version += 1;
    }

    /// Whether a server may be given new work. One that is silent and could not be reached
    /// gets none until it checks in again, and one in a drained zone gets none.
    fn accepts_work(&self, record: &ServerRecord, now: Instant) -> bool {
        self.closed_by(record, now).is_none()
    }

    /// Why a server may not be given new work, if it may not.
    fn closed_by(&self, record: &ServerRecord, now: Instant) -> Option<ServerObstacle> {
        if let Some(obstacle) = record.closed_by(now) {
            return Some(obstacle);
        }
        if record.failures > 0 && record.is_overdue(self.settings.overdue_after(), now) {
            return Some(ServerObstacle::Silent);
        }
        self.is_drained(&record.check_in)
            .then_some(ServerObstacle::Drained)
    }

    fn open_slots(&self, service: &ServiceName, now: Instant) -> u32 {
        let Some(pool) = self.services.get(service) else {
            return 0;
        };
        let is_engine = pool.engine_tokens.is_some();
        let entries = pool.servers.iter().filter_map(|key| self.servers.get(*key));
        let open = entries.filter(|entry| self.accepts_work(&entry.record, now));
        let capacities = open.map(|entry| entry.capacity(is_engine, now));
        capacities.fold(0, u32::saturating_add)
    }

    fn insert_grant(&mut self, grant: SlotGrant) {
        let server = grant.server;
        let kind = grant.kind;
        let tokens = grant.tokens;
        // A request may be queued for longer than its silent requester is known, and only the
        // slots of known requesters are reclaimed.
        let requester = grant.requester.clone();
        self.requesters.entry(requester).or_insert(grant.granted_at);
        self.grants.insert(grant);
        if let Some(entry) = self.servers.get_mut(server) {
            entry.tokens = entry.tokens.saturating_add(tokens);
            match kind {
                WorkKind::Online => entry.running_online += 1,
                WorkKind::Batch => entry.running_batch += 1,
            }
        }
        self.shrink_cache(server);
    }

    fn remove_grant(&mut self, requester: &RequesterId, ticket: u64) {
        if let Some(grant) = self.grants.remove(requester, ticket) {
            self.subtract_run(&grant);
        }
    }

    /// Subtracts a run from the counters of its server, unless its preemption did so.
    fn subtract_run(&mut self, grant: &SlotGrant) {
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

    /// Removes the grants on a server that restarted or was removed; their runs have
    /// ended.
    fn remove_grants_of(&mut self, key: ServerKey) {
        let of_server: Vec<(RequesterId, u64)> = self
            .grants
            .iter()
            .filter(|(_, grant)| grant.server == key)
            .map(|(_, grant)| (grant.requester.clone(), grant.ticket))
            .collect();
        for (requester, ticket) in of_server {
            self.remove_grant(&requester, ticket);
        }
    }

    fn dispatch_all(&mut self, now: Instant) {
        let services: Vec<ServiceName> = self.services.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, now);
        }
    }

    /// Grants free slots to queued requests, online requests first.
    fn dispatch(&mut self, service: &ServiceName, now: Instant) {
        for kind in [WorkKind::Online, WorkKind::Batch] {
            let mut not_granted = Vec::new();
            let mut unmet = UnmetNeeds::default();
            loop {
                let first = self.pool(service).queue(kind).pop_first();
                let Some((position, waiting)) = first else {
                    break;
                };
                let Some(waiting) = self.recheck_waiting(position, waiting, now) else {
                    continue;
                };
                let is_unmet = unmet.include(&waiting.request);
                if !is_unmet && self.try_grant(&waiting.requester, &waiting.request, now) {
                    self.pool(service).admission.record_granted(position);
                    // A preemption may have left room in the memory of a server.
                    unmet = UnmetNeeds::default();
                    continue;
                }
                // Servers of other versions or areas, or that it avoids, may have slots for those
                // behind it, and a slot is free for them if it only waits for a decision. One
                // that waits for memory lets others pass for half of its wait, so that the
                // memory that it needs becomes free in the end.
                let request = &waiting.request;
                let is_undecided = self.is_undecided(request, now);
                let is_passable = request.required_version().is_some()
                    || request.homes.is_some()
                    || !request.avoid.is_empty()
                    || self.waits_for_version(request)
                    || is_undecided
                    || (waiting.is_patient(now) && self.waits_for_memory(request, now));
                if !is_undecided && !is_unmet {
                    unmet.add(request);
                }
                not_granted.push((position, waiting));
                if !is_passable || (!is_unmet && !self.has_room(service, kind, now)) {
                    break;
                }
            }
            self.pool(service).queue(kind).extend(not_granted);
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
        reason: SlotRefusalReason,
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

/// What queued requests need of servers that have no slot for it, in one pass over a queue. Until
/// the next grant, others with the same needs get none either. Without this, each pass would
/// search all servers for each of the streams that are queued.
#[derive(Debug, Default)]
struct UnmetNeeds(Vec<UnmetNeed>);

#[derive(Debug)]
struct UnmetNeed {
    version: Option<SoftwareVersion>,
    is_beginning: bool,
    homes: Option<BTreeSet<AreaName>>,
    /// The least tokens for which there was no slot.
    tokens: u64,
}

impl UnmetNeed {
    fn is_of(&self, request: &SlotRequest) -> bool {
        self.version.as_ref() == request.required_version()
            && self.is_beginning == request.begins_stream()
            && self.homes == request.homes
    }
}

impl UnmetNeeds {
    /// Adds the needs of a request that got no slot, unless it avoids servers that others may
    /// use.
    fn add(&mut self, request: &SlotRequest) {
        if !request.avoid.is_empty() {
            return;
        }
        match self.0.iter_mut().find(|need| need.is_of(request)) {
            Some(need) => need.tokens = need.tokens.min(request.tokens),
            None => self.0.push(UnmetNeed {
                version: request.required_version().cloned(),
                is_beginning: request.begins_stream(),
                homes: request.homes.clone(),
                tokens: request.tokens,
            }),
        }
    }

    /// Whether a request needs at least what another one did not get.
    fn include(&self, request: &SlotRequest) -> bool {
        let mut needs = self.0.iter();
        needs.any(|need| need.is_of(request) && need.tokens <= request.tokens)
    }
}

/// The wait of a request that is queued by its order of arrival.
#[derive(Clone, Copy, Debug)]
struct OrderedWait {
    /// The expected wait; `None` for items, which wait for as long as it takes.
    predicted: Option<Duration>,
    /// The longest wait after which the request is still worth serving.
    longest: Duration,
}

impl OrderedWait {
    /// The delay after which a request should be retried that would wait for too long; `None` if
    /// it is queued.
    fn refused_until(&self, ticket: u64) -> Option<Duration> {
        let wait = self.predicted.filter(|wait| *wait > self.longest)?;
        Some(jittered_delay(wait, ticket))
    }
}

/// Adds a jitter of up to the same delay, derived from the ticket, so that refused requests
/// do not retry simultaneously.
fn jittered_delay(wait: Duration, ticket: u64) -> Duration {
    let wait = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    wait.mul_f64(1.0 + jitter_of(ticket)).min(RETRY_AFTER_MAX)
}

/// A number from 0 to 1 that differs between successive tickets.
fn jitter_of(ticket: u64) -> f64 {
    /// The multiplier of Fibonacci hashing, which disperses consecutive tickets.
    const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = ticket.wrapping_mul(HASH_MULTIPLIER) >> 40;
    f64::from(u32::try_from(mixed).unwrap_or(u32::MAX)) / f64::from(1u32 << 24)
}

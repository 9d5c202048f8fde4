//! Acquisition of slots from the broker, or by a local choice while it is unreachable.

#[cfg(test)]
mod tests;

use crate::fleet_view::{FleetView, key_lease};
use crate::leader_client::{LeaderClient, LeaderError};
use crate::message::{
    Call, ControlAnswer, ControlCall, Notice, ReserveAnswer, ReserveCall, SlotCall, encode,
};
use crate::process::ProcessBase;
use crate::server_marks::{PendingReports, ServerIdentity, ServerMarks};
use crate::tunnels::HomeTunnels;
use chicoryladder_batch::JobSpec;
use chicoryladder_broker::{
    ActiveRun, AnswerReport, BrokerlessView, CallerTerms, ColdPace, ColdServerView, ColdTolerance,
    CrashedRun, EngineMemory, ExpectedAnswer, PoolLoad, ProvenWork, RunOutcome, RunReport,
    ServerLimit, ServerPhase, SlotDecision, SlotRefusalReason, SlotRequest, StreamId, StreamPart,
    WorkKind, WorkPercent, ZoneAreas, shared_segments,
};
use chicoryladder_dialer::HostFilter;
use chicoryladder_plan::{PlanVersion, ServicePlan};
use chicoryladder_policy::quarantine::{OpenCrash, RequestTraits, ServerCrash};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{
    AreaName, ServerGeneration, ServerLoad, ServiceName, SoftwareVersion, Tail,
};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The time that the broker's reply may take in addition to the wait for a slot: a few
/// round trips between zones and the delay of a busy leader.
const BROKER_REPLY_MARGIN: Duration = Duration::from_millis(150);

/// How long the broker may leave a probe unanswered before this host goes on without it.
/// Several round trips between zones; a request that waits longer misses its latency target.
const BROKER_SILENCE_MAX: Duration = Duration::from_millis(110);

/// The most answers reported with one slot request: more than a host receives between two
/// requests under load.
const BEGUN_ANSWERS_MAX: usize = 64;

/// The suggested retry delay when no slot was found while the broker is unreachable.
const BROKERLESS_RETRY: Duration = Duration::from_millis(700);

/// The timeout of a call to the holder of a reserve, which is in the same zone.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);

/// The time for which a response has to arrive until its run counts as one that does not
/// crash its server.
const PROVEN_AFTER: Duration = Duration::from_secs(2);

/// The time for which a server that could not be reached is excluded from local
/// choices.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(2);

/// Why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// The request must be refused.
    Refused {
        reason: SlotRefusalReason,
        retry_after: Duration,
    },
    /// The plan that the slot request was made under is no longer in force.
    StalePlan,
}

struct RunHandle {
    run: ActiveRun,
    incarnation: u64,
    stop: Arc<Notify>,
    /// The version that the server turned out to run, once it is known to have started again.
    successor: Arc<OnceLock<SoftwareVersion>>,
}

struct SlotShared {
    base: ProcessBase,
    client: LeaderClient,
    view: FleetView,
    marks: ServerMarks,
    /// Answers to report with the next slot request.
    answers: BegunAnswers,
    /// Whether a server has stated how long work takes on it.
    knows_work: AtomicBool,
    runs: Mutex<HashMap<u64, RunHandle>>,
    next_ticket: AtomicU64,
    /// When each server was last found unreachable.
    unreachable_at: Mutex<HashMap<ServerName, Instant>>,
    /// When the broker last failed to reply. It counts as unreachable until a later sync
    /// succeeds.
    broker_lost_at: Mutex<Option<Instant>>,
    /// The areas of zones, for requests with homes.
    areas: ZoneAreas,
}

/// Where a server is.
struct ServerPlace {
    address: SocketAddr,
    zone: ZoneName,
}

/// The answers that have begun since the last slot request.
#[derive(Debug, Default)]
struct BegunAnswers(Mutex<Vec<AnswerReport>>);

impl BegunAnswers {
    /// Adds a report. It is left out if there are too many, as without slot requests; the end
    /// of the run is reported anyway.
    fn add(&self, report: AnswerReport) {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.len() < BEGUN_ANSWERS_MAX {
            reports.push(report);
        }
    }

    fn take(&self) -> Vec<AnswerReport> {
        let mut reports = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut reports)
    }
}

/// Acquires slots. Clones share the active runs.
#[derive(Clone)]
pub(crate) struct SlotClient {
    shared: Arc<SlotShared>,
}

impl SlotClient {
    pub(crate) fn new(
        base: ProcessBase,
        client: LeaderClient,
        view: FleetView,
        marks: ServerMarks,
    ) -> Self {
        let areas = ZoneAreas::new(&base.settings.areas);
        let shared = SlotShared {
            areas,
            base,
            client,
            view,
            marks,
            answers: BegunAnswers::default(),
            runs: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            knows_work: AtomicBool::new(false),
            unreachable_at: Mutex::default(),
            broker_lost_at: Mutex::new(None),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<u64, RunHandle>> {
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner)
    }

    /// The active runs, to report in the next sync.
    pub(crate) fn active(&self) -> Vec<ActiveRun> {
        self.runs()
            .values()
            .map(|handle| handle.run.clone())
            .collect()
    }

    /// The number of active runs, for metrics.
    pub(crate) fn active_count(&self) -> f64 {
        let count = u32::try_from(self.runs().len()).unwrap_or(u32::MAX);
        f64::from(count)
    }

    /// Notes for the active runs which of their servers have started again since their slots
    /// were granted.
    pub(crate) fn note_restarts(&self) {
        let servers = self.shared.view.servers();
        let runs = self.runs();
        let mut by_server: HashMap<&ServerName, Vec<&RunHandle>> = HashMap::new();
        for handle in runs.values() {
            by_server
                .entry(&handle.run.server)
                .or_default()
                .push(handle);
        }
        for server in servers.iter() {
            let handles = by_server.get(&server.name).into_iter().flatten();
            for handle in handles.filter(|handle| handle.incarnation < server.incarnation) {
                // An incarnation that is noted already stays: the run's connection is of it.
                let _ = handle.successor.set(server.version.clone());
            }
        }
    }

    /// Whether a server has stated how long work takes on it, so that the broker weighs what
    /// callers need.
    pub(crate) fn knows_work(&self) -> bool {
        self.shared.knows_work.load(Ordering::Relaxed)
    }

    /// Signals a run to stop.
    pub(crate) fn stop(&self, ticket: u64) {
        if let Some(handle) = self.runs().get(&ticket) {
            handle.stop.notify_one();
        }
    }

    /// Whether the broker counts as unreachable: there was no sync yet, or none since the
    /// broker last failed to reply.
    pub(crate) fn is_brokerless(&self) -> bool {
        let broker_lost_at = self.shared.broker_lost_at.lock();
        let broker_lost_at = *broker_lost_at.unwrap_or_else(PoisonError::into_inner);
        let fresh_at = self.shared.view.fresh_at();
        fresh_at.is_none() || broker_lost_at.is_some_and(|lost| fresh_at <= Some(lost))
    }

    fn mark_broker_lost(&self) {
        let now = self.shared.base.clock.now();
        let mut broker_lost_at = self
            .shared
            .broker_lost_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *broker_lost_at = Some(now);
        drop(broker_lost_at);
        self.shared.marks.forget_broker();
        self.shared.view.request_sync();
    }

    /// Acquires a slot and sets the ticket of `slot_request`. The terms of the caller go to the
    /// broker under the feature `pressure`.
    pub(crate) async fn request_slot(
        &self,
        plan: PlanVersion,
        mut slot_request: SlotRequest,
        terms: Option<CallerTerms>,
    ) -> Result<SlotLease, SlotError> {
        slot_request.ticket = self.shared.next_ticket.fetch_add(1, Ordering::Relaxed);
        self.bind_known_stream(&mut slot_request);
        if !self.is_brokerless()
            && let Some(leader) = self.shared.client.leader()
        {
            match self.call_broker(leader, plan, &slot_request, terms).await {
                Ok(result) => return result,
                Err(LeaderError::NoLeader | LeaderError::OutcomeUnknown) => self.mark_broker_lost(),
            }
        }
        if slot_request.kind == WorkKind::Batch {
            // Without the broker, nothing is known of the servers.
            return Err(SlotError::Refused {
                reason: SlotRefusalReason::NoSlot(PoolLoad::default()),
                retry_after: BROKERLESS_RETRY,
            });
        }
        self.choose(slot_request).await
    }

    /// Binds the rest of a stream to its version if this host knows it.
    fn bind_known_stream(&self, slot_request: &mut SlotRequest) {
        let Some(StreamPart::Rest {
            stream: Some(stream),
            version: version @ None,
        }) = &mut slot_request.stream
        else {
            return;
        };
        let now = self.shared.base.clock.now();
        *version = self.shared.marks.streams().version(*stream, now).cloned();
    }

    /// Binds the rest of a stream that this host does not know to the only version that can
    /// have begun it, if there is one. Returns whether the version is known.
    fn bind_sole_version(&self, slot_request: &mut SlotRequest, now: Instant) -> bool {
        let Some(StreamPart::Rest { version, .. }) = &mut slot_request.stream else {
            return true;
        };
        if version.is_none() {
            *version = self.shared.view.sole_version(&slot_request.service, now);
        }
        version.is_some()
    }

    async fn call_broker(
        &self,
        leader: SocketAddr,
        plan: PlanVersion,
        slot_request: &SlotRequest,
        terms: Option<CallerTerms>,
    ) -> Result<Result<SlotLease, SlotError>, LeaderError> {
        let pending = PendingRequest {
            client: self.clone(),
            leader,
            ticket: slot_request.ticket,
            answered: false,
            reports: self.shared.marks.take_reports(Some(leader)),
        };
        let time_left = terms.as_ref().map(|terms| terms.time_left);
        let wait_max = time_left.unwrap_or_default().max(slot_request.wait_max);
        let call = SlotCall {
            requester: self.shared.base.requester(),
            plan,
            slot_request: slot_request.clone(),
            reports: pending.reports.reports().clone(),
            answers: Tail(self.shared.answers.take()),
            terms: Tail(terms),
            homes: Tail(slot_request.homes.clone()),
        };
        let call = Call::Control(ControlCall::RequestSlot(Box::new(call)));
        let timeout = wait_max + BROKER_REPLY_MARGIN;
        let calling = self
            .shared
            .client
            .call_once(&call, timeout, BROKER_SILENCE_MAX);
        let answer = calling.await?;
        let result = match answer {
            ControlAnswer::Slot(SlotDecision::Granted {
                server,
                incarnation,
                address,
                zone,
                version,
                limit,
                expected,
            }) => {
                if !self.is_allowed(slot_request, &zone) {
                    pending.mark_answered();
                    return Ok(Err(self.give_back(leader, slot_request, &server, &zone)));
                }
                let server = ServerIdentity {
                    name: server,
                    incarnation,
                };
                let now = self.shared.base.clock.now();
                let mut limits = self.shared.marks.limits();
                limits.adopt(&server.name, incarnation, limit, now);
                limits.record_sent(&server.name, now);
                drop(limits);
                self.record_sent(&slot_request.service, &server.name, now);
                let place = ServerPlace { address, zone };
                let mut lease = self.lease(slot_request, server, version, place, false);
                lease.expected = expected.0;
                Ok(lease)
            }
            ControlAnswer::Slot(SlotDecision::Refused {
                reason,
                retry_after,
            }) => {
                if reason == SlotRefusalReason::NoHomeServer {
                    let marks = &self.shared.marks;
                    marks.record_home_refusal(slot_request, "none_known", None);
                }
                Err(SlotError::Refused {
                    reason,
                    retry_after,
                })
            }
            ControlAnswer::StalePlan => Err(SlotError::StalePlan),
            _ => return Err(LeaderError::OutcomeUnknown),
        };
        pending.mark_answered();
        Ok(result)
    }

    /// Whether the servers of a zone may run a request.
    fn is_allowed(&self, slot_request: &SlotRequest, zone: &ZoneName) -> bool {
        let homes = slot_request.homes.as_ref();
        self.shared.areas.allows_server(homes, zone)
    }

    /// Releases a slot outside of the homes of a request, which a leader of an earlier build
    /// grants, as it does not know of homes.
    fn give_back(
        &self,
        leader: SocketAddr,
        slot_request: &SlotRequest,
        server: &ServerName,
        zone: &ZoneName,
    ) -> SlotError {
        let ticket = slot_request.ticket;
        self.shared.marks.record_home_refusal(
            slot_request,
            "granted_elsewhere",
            Some((server, zone)),
        );
        self.release(Some(leader), stopped_report(ticket), None, None);
        SlotError::Refused {
            reason: SlotRefusalReason::NoHomeServer,
            retry_after: BROKERLESS_RETRY,
        }
    }

    /// The hosts through whose tunnels the body of a request with homes may pass.
    pub(crate) fn tunnel_filter(
        &self,
        homes: Option<BTreeSet<AreaName>>,
    ) -> Option<Arc<dyn HostFilter>> {
        let filter = HomeTunnels {
            homes: homes?,
            areas: self.shared.areas.clone(),
            own_zone: self.shared.base.settings.host.zone.clone(),
            view: self.shared.view.clone(),
        };
        Some(Arc::new(filter))
    }

    /// The areas to which the items of a job are confined, by the plan in force; `None` if it
    /// has no homes.
    pub(crate) fn job_homes(&self, job: &JobSpec) -> Option<BTreeSet<AreaName>> {
        let plan = self.shared.view.plan();
        plan.homes(&job.route, job.team.as_ref())
    }

    fn lease(
        &self,
        slot_request: &SlotRequest,
        server: ServerIdentity,
        version: SoftwareVersion,
        place: ServerPlace,
        brokerless: bool,
    ) -> SlotLease {
        let ServerIdentity {
            name: server,
            incarnation,
        } = server;
        self.shared.marks.leaving().observe(&server, incarnation);
        if let Some(stream) = slot_request.stream_id() {
            let now = self.shared.base.clock.now();
            let mut streams = self.shared.marks.streams();
            streams.bind(stream, &version, !brokerless, now);
        }
        let stop = Arc::new(Notify::new());
        let successor = Arc::default();
        let run = ActiveRun {
            ticket: slot_request.ticket,
            server: server.clone(),
            kind: slot_request.kind,
            tokens: slot_request.tokens,
            brokerless,
            proven: ProvenWork::None,
        };
        let handle = RunHandle {
            run,
            incarnation,
            stop: stop.clone(),
            successor: Arc::clone(&successor),
        };
        self.runs().insert(slot_request.ticket, handle);
        SlotLease {
            server,
            incarnation,
            version,
            address: place.address,
            zone: place.zone,
            brokerless,
            expected: None,
            stop,
            successor,
            stream: slot_request.stream_id(),
            ticket: slot_request.ticket,
            service: slot_request.service.clone(),
            traits: slot_request.traits(),
            other_work: None,
            leased_at: self.shared.base.clock.now(),
            first_data_at: None,
            is_proven: false,
            client: self.clone(),
            report: None,
            work: None,
            crashed: None,
            is_released: Arc::default(),
        }
    }

    /// Chooses a server from this host's view, without the broker.
    async fn choose(&self, mut slot_request: SlotRequest) -> Result<SlotLease, SlotError> {
        let shared = &self.shared;
        let now = shared.base.clock.now();
        let refused = |reason| SlotError::Refused {
            reason,
            retry_after: BROKERLESS_RETRY,
        };
        let segments = shared_segments(&slot_request.prompt);
        let quarantine = shared
            .view
            .quarantine_of(&slot_request.service, &segments, now);
        if let Some(quarantine) = quarantine {
            return Err(SlotError::Refused {
                reason: SlotRefusalReason::Quarantined(quarantine.cause()),
                retry_after: quarantine.left,
            });
        }
        if !self.bind_sole_version(&mut slot_request, now) {
            return Err(refused(SlotRefusalReason::VersionUnknown));
        }
        if self.lacks_home_server(&slot_request) {
            let marks = &shared.marks;
            marks.record_home_refusal(&slot_request, "none_known_without_broker", None);
            return Err(refused(SlotRefusalReason::NoHomeServer));
        }
        if let Some(team) = &slot_request.charged_team
            && let ReserveAnswer::Spent { retry_after } = self.take_reserve(team).await
        {
            return Err(SlotError::Refused {
                reason: SlotRefusalReason::NoReserve,
                retry_after: retry_after.unwrap_or(BROKERLESS_RETRY),
            });
        }
        let servers = shared.view.servers();
        let versions = shared.view.versions();
        let roster = shared.view.zone_roster();
        let pace = self.cold_pace(&slot_request.service);
        let leaving = shared.marks.leaving();
        let mut sent = shared.marks.sent();
        let mut limits = shared.marks.limits();
        let view = BrokerlessView {
            servers: &servers,
            own_runs: &self.count_own_runs(),
            memory: &self.engine_memory(&slot_request.service),
            unreachable: &self.recently_unreachable(now),
            versions: versions.as_deref(),
            leaving: &leaving,
            limits: &limits,
            cold: ColdServerView {
                pace,
                directory_at: shared.view.directory_at(),
                first_directory_at: shared.view.first_directory_at(),
                host: Some(shared.base.rpc.identity().address),
                sent: Some(&sent),
            },
            areas: &shared.areas,
            roster: &roster,
            now,
        };
        let Some(check_in) = view.choose(&slot_request).cloned() else {
            return Err(refused(SlotRefusalReason::NoSlot(PoolLoad::default())));
        };
        limits.record_sent(&check_in.name, now);
        if pace.is_some() {
            sent.record(&check_in.name, now);
        }
        drop(limits);
        drop(sent);
        drop(leaving);
        let server = ServerIdentity {
            name: check_in.name,
            incarnation: check_in.incarnation,
        };
        Ok(self.lease(
            &slot_request,
            server,
            check_in.version,
            ServerPlace {
                address: check_in.address,
                zone: check_in.zone,
            },
            true,
        ))
    }

    /// Whether this host knows no ready server of the service in the homes of a request.
    fn lacks_home_server(&self, slot_request: &SlotRequest) -> bool {
        if slot_request.homes.is_none() {
            return false;
        }
        let servers = self.shared.view.servers();
        !servers.iter().any(|server| {
            server.service == slot_request.service
                && server.phase == ServerPhase::Ready
                && self.is_allowed(slot_request, &server.zone)
        })
    }

    /// The pace of the cold servers of a service; `None` if its servers are never cold.
    fn cold_pace(&self, service: &ServiceName) -> Option<ColdPace> {
        let bounds = &self.shared.base.settings.bounds;
        let tolerance = ColdTolerance {
            overshoot: bounds.cold_overshoot,
            slack: bounds.cold_slack,
        };
        let terms = self.shared.view.plan().cold_terms(service)?;
        ColdPace::new(terms, tolerance)
    }

    /// Records that this host sends to a server that may be cold.
    fn record_sent(&self, service: &ServiceName, server: &ServerName, now: Instant) {
        if self.shared.view.plan().cold_terms(service).is_some() {
            self.shared.marks.sent().record(server, now);
        }
    }

    /// Takes one request from the zone's reserve of a team, at the host that holds it.
    async fn take_reserve(&self, team: &TeamName) -> ReserveAnswer {
        let spent = ReserveAnswer::Spent { retry_after: None };
        let Some(holder) = self.shared.view.reserve_holder(team) else {
            return spent;
        };
        if holder == self.shared.base.rpc.identity().address {
            return self.take_held_reserve(team);
        }
        let call = Call::Reserve(ReserveCall::Take { team: team.clone() });
        let Some(payload) = encode("slot client", &call) else {
            return spent;
        };
        let reply = self.shared.base.rpc.call(holder, payload, RESERVE_TIMEOUT);
        match reply.await.map(|reply| postcard::from_bytes(&reply)) {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                log::warn!("slot client: failed to decode the reply of {holder}: {error}.");
                spent
            }
            Err(_) => spent,
        }
    }

    /// Takes one request from a reserve that this host holds.
    pub(crate) fn take_held_reserve(&self, team: &TeamName) -> ReserveAnswer {
        let base = &self.shared.base;
        let lease = key_lease(base.settings.bounds.key_withdrawal);
        let own_address = base.rpc.identity().address;
        let view = &self.shared.view;
        view.take_reserve(team, own_address, lease, base.clock.now())
    }

    /// The servers that could not be reached within [`UNREACHABLE_PERIOD`].
    fn recently_unreachable(&self, now: Instant) -> HashSet<ServerName> {
        let unreachable = self.shared.unreachable_at.lock();
        let mut unreachable = unreachable.unwrap_or_else(PoisonError::into_inner);
        unreachable.retain(|_, at| now.saturating_duration_since(*at) < UNREACHABLE_PERIOD);
        unreachable.keys().cloned().collect()
    }

    fn record_outcome(&self, server: &ServerName, outcome: RunOutcome) {
        let unreachable = self.shared.unreachable_at.lock();
        let mut unreachable = unreachable.unwrap_or_else(PoisonError::into_inner);
        match outcome {
            RunOutcome::Unreachable => {
                unreachable.insert(server.clone(), self.shared.base.clock.now());
            }
            RunOutcome::Served => {
                unreachable.remove(server);
            }
            _ => {}
        }
    }

    /// The number of this host's active runs on each server.
    fn count_own_runs(&self) -> HashMap<ServerName, u32> {
        let mut loads = HashMap::new();
        for handle in self.runs().values() {
            *loads.entry(handle.run.server.clone()).or_insert(0) += 1;
        }
        loads
    }

    /// The memory of the servers of a service, which counts under the feature `pressure`.
    fn engine_memory(&self, service: &ServiceName) -> EngineMemory {
        if !self.shared.base.settings.features.pressure() {
            return EngineMemory::default();
        }
        let plan = self.shared.view.plan();
        let mut services = plan.raw().services.iter();
        let terms = services.find(|terms| terms.name == *service);
        let engine = terms.and_then(|terms| terms.engine.as_ref());
        let mut memory = EngineMemory {
            tokens_max: engine.map(|engine| engine.memory_tokens),
            own_tokens: HashMap::new(),
        };
        for handle in self.runs().values() {
            let tokens = memory.own_tokens.entry(handle.run.server.clone());
            let tokens = tokens.or_default();
            *tokens = tokens.saturating_add(handle.run.tokens);
        }
        memory
    }

    fn release(
        &self,
        leader: Option<SocketAddr>,
        report: RunReport,
        work: Option<WorkPercent>,
        crashed: Option<(Box<CrashedRun>, Duration)>,
    ) {
        self.runs().remove(&report.ticket);
        if let Some((run, _)) = &crashed {
            let now = self.shared.base.clock.now();
            let view = &self.shared.view;
            view.record_crash(OpenCrash::from(run.as_ref()), leader.is_some(), now);
        }
        let Some(leader) = leader else {
            // The next sync no longer lists the run, from which the broker learns of its
            // end.
            return;
        };
        let (crashed, took) = crashed.unzip();
        let notice = Notice::Release {
            requester: self.shared.base.requester(),
            report,
            crashed,
            work: Tail(work),
            took: Tail(took),
        };
        self.shared.base.notify(leader, &notice);
    }
}

/// A slot request that is cancelled if it is dropped before the broker has replied.
struct PendingRequest {
    client: SlotClient,
    leader: SocketAddr,
    ticket: u64,
    answered: bool,
    reports: PendingReports,
}

impl PendingRequest {
    fn mark_answered(mut self) {
        self.answered = true;
        self.reports.mark_arrived();
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.answered {
            let report = stopped_report(self.ticket);
            self.client.release(Some(self.leader), report, None, None);
        }
    }
}

fn stopped_report(ticket: u64) -> RunReport {
    RunReport {
        ticket,
        outcome: RunOutcome::Stopped,
        load: None,
        first_answer: None,
        refund: true,
        completed: ProvenWork::None,
    }
}

/// What the decision on a slot expected, for the event log.
pub(crate) fn expected_fields(expected: &ExpectedAnswer) -> serde_json::Value {
    serde_json::json!({
        "first_answer_ms": expected.first_answer.as_millis(),
        "tokens": expected.tokens,
        "cached_tokens": expected.cached,
        "pace_percent": expected.pace_percent,
        "stated_age_ms": expected.stated_age.map(|age| age.as_millis()),
    })
}

/// A slot on a server, released when it is dropped.
pub(crate) struct SlotLease {
    pub(crate) server: ServerName,
    incarnation: u64,
    /// The version of the server's software.
    pub(crate) version: SoftwareVersion,
    pub(crate) address: SocketAddr,
    /// The zone of the server.
    pub(crate) zone: ZoneName,
    /// Whether this host chose the server without the broker.
    pub(crate) brokerless: bool,
    /// What the decision expected of the server, if it weighed that.
    pub(crate) expected: Option<ExpectedAnswer>,
    stop: Arc<Notify>,
    successor: Arc<OnceLock<SoftwareVersion>>,
    stream: Option<StreamId>,
    ticket: u64,
    pub(crate) service: ServiceName,
    /// The work for which the slot was requested.
    traits: RequestTraits,
    /// The work that runs instead.
    other_work: Option<RequestTraits>,
    /// When the slot was granted.
    leased_at: Instant,
    first_data_at: Option<Instant>,
    /// Whether the response has arrived for [`PROVEN_AFTER`].
    is_proven: bool,
    client: SlotClient,
    report: Option<RunReport>,
    /// How long work takes on the server, as its answer stated it.
    work: Option<WorkPercent>,
    crashed: Option<Box<CrashedRun>>,
    /// Whether the slot has been released.
    is_released: Arc<AtomicBool>,
}

/// Releases the slot of a run that its server has completed, while the caller still reads what
/// is buffered of the response. The lease then ends without effect.
pub(crate) struct EarlyRelease {
    client: SlotClient,
    report: RunReport,
    work: Option<WorkPercent>,
    successor: Arc<OnceLock<SoftwareVersion>>,
    is_released: Arc<AtomicBool>,
}

impl EarlyRelease {
    /// Whether the server is known to have started again since the slot was granted.
    pub(crate) fn knows_restart(&self) -> bool {
        self.successor.get().is_some()
    }

    /// Releases the slot, unless the lease has ended.
    pub(crate) fn release(self) {
        if !self.is_released.swap(true, Ordering::Relaxed) {
            let leader = self.client.shared.client.leader();
            self.client.release(leader, self.report, self.work, None);
        }
    }
}

impl SlotLease {
    /// The server as requests are addressed to it.
    pub(crate) fn identity(&self) -> ServerIdentity {
        ServerIdentity {
            name: self.server.clone(),
            incarnation: self.incarnation,
        }
    }

    /// The rate of the server while it is cold; `None` if it never is.
    pub(crate) fn cold_limit(&self) -> Option<ServerLimit> {
        self.client.cold_pace(&self.service).map(ColdPace::limit)
    }

    /// The hosts through whose tunnels the body of an item may pass; `None` for all.
    pub(crate) fn tunnel_filter(&self, job: &JobSpec) -> Option<Arc<dyn HostFilter>> {
        self.client.tunnel_filter(self.client.job_homes(job))
    }

    /// Whether the items of a job may run on the server of the slot under a plan.
    pub(crate) fn allows_job(&self, plan: &ServicePlan, job: &JobSpec) -> bool {
        let homes = plan.homes(&job.route, job.team.as_ref());
        let areas = &self.client.shared.areas;
        areas.allows_server(homes.as_ref(), &self.zone)
    }

    /// Returns the signal that is notified when the slot is needed for other work.
    pub(crate) fn stop_signal(&self) -> Arc<Notify> {
        self.stop.clone()
    }

    /// Records the time until the response began.
    pub(crate) fn record_first_answer(&mut self, elapsed: Duration) {
        self.report_mut().first_answer = Some(elapsed);
    }

    /// Records how long work takes on the server, if its answer stated that. The figure soon
    /// means little, so one of a successful answer goes to the broker with the next call rather
    /// than at the end of the run.
    pub(crate) fn record_work(&mut self, work: Option<WorkPercent>, is_success: bool) {
        self.work = work.or(self.work);
        if work.is_some() {
            self.client.shared.knows_work.store(true, Ordering::Relaxed);
        }
        let first_answer = self.report.as_ref().and_then(|report| report.first_answer);
        if let (Some(_), Some(first_answer), true) = (work, first_answer, is_success)
            && !self.brokerless
        {
            self.client.shared.answers.add(AnswerReport {
                ticket: self.ticket,
                first_answer,
                work,
            });
        }
    }

    /// Records the load that the server reported, if it did.
    pub(crate) fn record_load(&mut self, load: Option<ServerLoad>) {
        let report = self.report_mut();
        report.load = load.or(report.load);
    }

    /// Records that the connection to the server was lost while it ran a request.
    pub(crate) fn record_crash(&mut self) {
        let mut traits = self.other_work.as_ref().unwrap_or(&self.traits).clone();
        if self.is_proven {
            // No segment of the prompt crashes servers as their response begins.
            traits.segments.clear();
        }
        self.crashed = Some(Box::new(CrashedRun {
            service: self.service.clone(),
            crash: ServerCrash {
                server: self.server.clone(),
                generation: ServerGeneration(self.incarnation),
            },
            traits,
        }));
    }

    /// Keeps the completed run, for a leader that does not know its slot.
    fn keep_proven(&self) {
        let shared = &self.client.shared;
        let traits = self.other_work.as_ref().unwrap_or(&self.traits);
        let now = shared.base.clock.now();
        shared.view.record_proven(&self.service, traits, now);
    }

    /// Records that the server ran the request to its end and responded with success.
    pub(crate) fn record_completion(&mut self) {
        self.keep_proven();
        self.report_mut().completed = self.work();
    }

    /// The release of the slot once the response is read to its end.
    pub(crate) fn early_release(&mut self) -> EarlyRelease {
        let report = RunReport {
            outcome: RunOutcome::Served,
            refund: false,
            completed: self.work(),
            ..self.report_mut().clone()
        };
        EarlyRelease {
            client: self.client.clone(),
            report,
            work: self.work,
            successor: Arc::clone(&self.successor),
            is_released: Arc::clone(&self.is_released),
        }
    }

    fn work(&self) -> ProvenWork {
        let other = self.other_work.as_ref();
        other.map_or(ProvenWork::Requested, |traits| {
            ProvenWork::Other(traits.clone())
        })
    }

    /// Records that a part of the response has arrived. `follows_restart` tells whether it was
    /// read once a restart of the server was known, if one is.
    pub(crate) fn record_data(&mut self, follows_restart: bool, now: Instant) {
        if follows_restart {
            self.follow_restart(now);
        }
        let first_data_at = *self.first_data_at.get_or_insert(now);
        let is_proven = now.saturating_duration_since(first_data_at) >= PROVEN_AFTER;
        if is_proven && !self.is_proven {
            self.is_proven = true;
            let work = self.work();
            if let Some(handle) = self.client.runs().get_mut(&self.ticket) {
                handle.run.proven = work;
            }
        }
    }

    /// Binds the stream to the version of the server's next incarnation, if that is known by
    /// now: connections end with the incarnation, so the one that still brings data is of the
    /// next.
    fn follow_restart(&mut self, now: Instant) {
        let Some(version) = self.successor.get() else {
            return;
        };
        if *version != self.version {
            self.version = version.clone();
            if let Some(stream) = self.stream {
                let mut streams = self.client.shared.marks.streams();
                streams.bind(stream, version, false, now);
                drop(streams);
                // The broker has the earlier version, and callers may take the stream up.
                self.client.shared.view.request_sync();
            }
        }
    }

    /// Uses the slot for other work than it was requested for.
    pub(crate) fn run_instead(&mut self, traits: RequestTraits) {
        if traits != self.traits {
            self.other_work = Some(traits);
        }
    }

    /// Releases the slot with the outcome of the run.
    pub(crate) fn end(mut self, outcome: RunOutcome) {
        let report = self.report_mut();
        report.outcome = outcome;
        report.refund = false;
    }

    /// The report of the run. Until an outcome is recorded, it says that the run was
    /// stopped, as when the lease is dropped because the caller disconnected. It claims no
    /// refund, since the request may have run.
    fn report_mut(&mut self) -> &mut RunReport {
        let ticket = self.ticket;
        self.report.get_or_insert_with(|| RunReport {
            refund: false,
            ..stopped_report(ticket)
        })
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let report = self.report_mut().clone();
        self.client.record_outcome(&self.server, report.outcome);
        let leader = self.client.shared.client.leader();
        let now = self.client.shared.base.clock.now();
        let took = now.saturating_duration_since(self.leased_at);
        let crashed = self.crashed.take().map(|crashed| (crashed, took));
        if !self.is_released.swap(true, Ordering::Relaxed) {
            self.client.release(leader, report, self.work, crashed);
        }
    }
}

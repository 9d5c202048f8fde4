//! The control host: RPC handler, leader task and membership repair of the control
//! group.

mod explain;
mod zone_drains;

use super::leader::{BrokerAction, EarlierView, LeaderState};
use super::machine::{ControlCommand, ControlMachine};
use super::order_numbers::OrderSubject;
use super::port::{ControlFailure, ControlService};
use super::relay::{ControlRelay, LocalSeat, RELAY_LIMITS, RELAY_TIMEOUT, drain_relay};
use crate::bootstrap::decide_bootstrap_members;
use crate::entry::serve;
use crate::event_log::EventLog;
use crate::fleet_view::FleetView;
use crate::leader_client::LeaderClient;
use crate::membership_change::apply_change;
use crate::message::{
    BootstrapAnswer, BootstrapCall, Call, ControlAnswer, ControlCall, GroupReply, HostRole, Notice,
    OrderStage, SlotCall, encode,
};
use crate::metrics::{MetricsService, RoleMetrics};
use crate::process::{ProcessBase, ProcessError};
use crate::seat_handover::SeatHandover;
use crate::seat_manager::{SeatCell, SeatManager, SeatSource};
use crate::seat_opener::SeatOpener;
use crate::server_marks::ServerReports;
use bytes::Bytes;
use chicoryladder_broker::{
    BrokerSettings, CheckInOutcome, ColdChange, ColdSource, ColdTolerance, CrashedRun,
    DepartureReport, DepartureSource, RateTolerance, ReceivedCheckIn, RequesterId, RosterSettings,
    ServerLimit, ServerPhase, ServerSuspension, SlotRequest, VersionRecord, ZoneAreas,
};
use chicoryladder_consensus::MemberRole;
use chicoryladder_gateway::HttpListener;
use chicoryladder_group::{
    BootstrapMembers, GroupHandle, GroupStatus, JoinAnswer, JoinRequest, ProposeFailure,
};
use chicoryladder_plan::PlanVersion;
use chicoryladder_policy::quarantine::{CrashCounts, QuarantineChange, SegmentCrashCount};
use chicoryladder_rpc::{PeerIdentity, RpcHandler};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{GroupId, SeatId, TermNumber};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde_json::json;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{AbortHandle, JoinSet};

/// The id of the control group.
pub(crate) const CONTROL_GROUP: GroupId = GroupId(0);

/// The interval at which the leader checks its timers.
const LEADER_TICK: Duration = Duration::from_millis(25);

/// The time for which a new leader waits for a full group before it accepts the first
/// plan of a fleet. A silent bootstrap member is replaced within this time.
const FULL_GROUP_WAIT: Duration = Duration::from_secs(5);

/// The number of check-ins that a server may miss before it gets no more work. Check-ins
/// can be seconds late.
const MISSED_CHECK_INS: u32 = 5;

/// The silence after which a server is removed from the directory.
const SERVER_REMOVED_AFTER: Duration = Duration::from_secs(40);

/// The silence after which the slots of a host are reclaimed: several syncs.
const REQUESTER_LOST_AFTER: Duration = Duration::from_millis(2_500);

/// The part of the time within which plans apply, for which slot requests under the plan
/// before are still granted: one in this number.
const PLAN_GRACE_DIVISOR: u32 = 4;

/// The silence after which an entry host may admit requests on its own: more than the
/// interval of its syncs.
const DETACHED_AFTER: Duration = Duration::from_millis(400);

/// A running control host.
pub struct ControlHost {
    shared: Arc<ControlShared>,
    listener: HttpListener,
    opener: SeatOpener,
    /// The task that obtains a seat.
    seat_task: AbortHandle,
    tasks: JoinSet<()>,
}

/// The state that the tasks and handlers of a control host share.
struct ControlShared {
    base: ProcessBase,
    client: LeaderClient,
    log: EventLog,
    metrics: Arc<RoleMetrics>,
    view: FleetView,
    seat: SeatCell<ControlMachine>,
    state: Mutex<LeaderState>,
}

impl ControlHost {
    /// Starts a control host.
    ///
    /// # Errors
    ///
    /// Fails if an address or the data folder cannot be used.
    pub async fn start(
        settings: ProcessSettings,
        service: Arc<dyn ControlService>,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, ProcessError> {
        let address = settings
            .listen
            .control
            .ok_or(ProcessError::MissingSetting("listen", "control"))?;
        let folder = settings
            .data_folder
            .clone()
            .ok_or(ProcessError::MissingSetting("data", "folder"))?;
        let base = ProcessBase::new(settings, clock)?;
        let log = EventLog::start("control")?;
        let metrics = Arc::new(RoleMetrics::new()?);
        let now = base.clock.now();
        let shared = Arc::new(ControlShared {
            client: base.control_client(),
            view: FleetView::new(),
            seat: SeatCell::default(),
            state: Mutex::new(LeaderState::new(
                broker_settings(&base.settings),
                roster_settings(&base.settings),
                now,
            )),
            log,
            metrics,
            base,
        });
        shared
            .base
            .serve(Arc::new(ControlHandler(shared.clone())))
            .await?;
        let opener = SeatOpener {
            group: CONTROL_GROUP,
            folder,
            rpc: shared.base.rpc.clone(),
            clock: shared.base.clock.clone(),
        };
        let mut tasks = JoinSet::new();
        let seat_task = tasks.spawn(manage_seat(shared.clone(), opener.clone()));
        tasks.spawn(lead(shared.clone()));
        tasks.spawn(crate::fleet_view::run_sync(
            shared.base.clone(),
            shared.client.clone(),
            shared.view.clone(),
            crate::fleet_view::SyncReporter::control(),
        ));
        serve_metrics(&shared, &mut tasks).await?;
        let relay = ControlRelay {
            base: shared.base.clone(),
            client: shared.client.clone(),
            log: shared.log.clone(),
            port: address.port(),
            seat: Some(shared.clone()),
        };
        let listener = relay.listen(address, &*service).await?;
        shared.log.note(
            "started",
            &json!({
                "host": shared.base.settings.host.name,
                "seeds": shared.base.settings.control.seeds,
            }),
        );
        Ok(Self {
            shared,
            listener,
            opener,
            seat_task,
            tasks,
        })
    }

    /// Transfers the leadership and the seat, drains the calls in flight and stops.
    pub async fn shutdown(mut self) {
        self.shared.log.note("stopping", &json!({}));
        self.seat_task.abort();
        let handover = SeatHandover {
            cell: &self.shared.seat,
            source: &ControlSeatSource {
                shared: self.shared.clone(),
                bootstrap_members: Arc::default(),
            },
            opener: &self.opener,
            log: &self.shared.log,
            timeout: self.shared.base.settings.bounds.drain_timeout / 2,
        };
        tokio::join!(handover.run(), drain_relay(self.listener));
        self.tasks.shutdown().await;
    }
}

async fn serve_metrics(
    shared: &Arc<ControlShared>,
    tasks: &mut JoinSet<()>,
) -> Result<(), ProcessError> {
    let Some(address) = shared.base.settings.listen.metrics else {
        return Ok(());
    };
    let gauge_source = shared.clone();
    let service = MetricsService {
        metrics: shared.metrics.clone(),
        gauges: Box::new(move || {
            let mut gauges = gauge_source.status().gauges(gauge_source.now());
            gauges.extend(gauge_source.state().gauges(gauge_source.now()));
            gauges.extend(gauge_source.base.machine.levels());
            gauges
        }),
    };
    let machine = shared.base.machine.reserved();
    serve(
        tasks,
        "metrics",
        address,
        RELAY_LIMITS,
        machine,
        Arc::new(service),
    )
    .await
}

fn broker_settings(settings: &ProcessSettings) -> BrokerSettings {
    let interval = settings.bounds.check_in_interval;
    BrokerSettings {
        check_in_interval: interval,
        lost_after: interval * MISSED_CHECK_INS,
        remove_after: SERVER_REMOVED_AFTER,
        requester_lost_after: REQUESTER_LOST_AFTER,
        tolerance: RateTolerance {
            requests: settings.bounds.rate_slack,
            share: settings.bounds.rate_overshoot,
            window: settings.bounds.rate_window,
        },
        cold_tolerance: ColdTolerance {
            overshoot: settings.bounds.cold_overshoot,
            slack: settings.bounds.cold_slack,
        },
        pressure: settings.features.pressure(),
        weighs_placement: settings.features.weighed_placement(),
        areas: ZoneAreas::new(&settings.areas),
    }
}

fn roster_settings(settings: &ProcessSettings) -> RosterSettings {
    RosterSettings {
        detached_after: DETACHED_AFTER,
        remove_after: settings.bounds.key_withdrawal,
    }
}

impl ControlShared {
    fn group(&self) -> Option<GroupHandle<ControlMachine>> {
        self.seat.group()
    }

    fn state(&self) -> MutexGuard<'_, LeaderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        self.base.clock.now()
    }

    fn status(&self) -> GroupStatus {
        self.seat.status()
    }

    /// Whether this host holds the leader lease and has set up its state for the term.
    fn leads(&self) -> bool {
        let term = self.seat.leading_term();
        term.is_some() && self.state().term == term
    }

    fn not_leader<T>(&self) -> GroupReply<T> {
        GroupReply::not_leader(&self.status(), self.base.rpc.identity().address)
    }

    /// Processes the pending events of the broker, and sends and logs what they ask for.
    fn process_broker_events(self: &Arc<Self>, state: &mut LeaderState) {
        for action in state.process_broker_events(self.now()) {
            match action {
                BrokerAction::Stop { address, ticket } => {
                    self.base.notify(address, &Notice::Stop { ticket });
                }
                BrokerAction::LogQuarantine(change) => self.log_quarantine(&change),
                BrokerAction::LogSuspension(suspension) => self.log_suspension(&suspension),
                BrokerAction::LogCold(change) => self.log_cold(&change),
                BrokerAction::LogCutOff { host, restored } => {
                    let fields = json!({ "host": host, "restored": restored });
                    self.log.note("host_cut_off", &fields);
                }
                BrokerAction::RecordVersion(record) => self.record_version(state.term, record),
            }
        }
    }

    /// Records a step in the use of a version durably, and applies it once that is done.
    fn record_version(self: &Arc<Self>, term: Option<TermNumber>, record: VersionRecord) {
        let shared = self.clone();
        tokio::spawn(async move {
            let command = ControlCommand::RecordVersion(record.clone());
            let result = shared.propose(&command).await;
            let now = shared.now();
            let mut state = shared.state();
            if state.term != term {
                return;
            }
            let failure = match result {
                Ok(()) => {
                    state.broker.confirm_version(&record, now);
                    shared.process_broker_events(&mut state);
                    None
                }
                Err(failure) => {
                    state.broker.retry_version(&record);
                    Some(failure.to_string())
                }
            };
            drop(state);
            let fields = json!({
                "service": record.service,
                "version": record.version,
                "step": format!("{:?}", record.step),
                "failure": failure,
            });
            shared.log.note("server_version", &fields);
        });
    }

    /// Logs a reported crash with what counts against the request and its segments so far.
    fn log_crash(
        &self,
        requester: &RequesterId,
        run: &CrashedRun,
        took: Option<Duration>,
        counts: &CrashCounts,
    ) {
        let segment = |segment: &SegmentCrashCount| {
            json!({
                "id": segment.segment.to_string(),
                "crashes": segment.crashes,
                "required": segment.required,
            })
        };
        let segments: Vec<_> = counts.segments.iter().map(segment).collect();
        let fields = json!({
            "reported_by": requester.host,
            "service": run.service,
            "server": run.crash.server,
            "born": run.crash.generation.0,
            "request_hash": run.traits.request.to_string(),
            "held_ms": took.map(|took| took.as_millis()),
            "crashes": counts.request,
            "segments": segments,
        });
        self.log.note("crash_reported", &fields);
    }

    fn log_quarantine(&self, change: &QuarantineChange) {
        let segments = change.segments.iter().map(ToString::to_string);
        let fields = json!({
            "service": change.service,
            "segments": segments.collect::<Vec<_>>(),
            "step": change.step.as_str(),
            "crashes": change.crashes,
            "required": change.required,
            "oldest_crash_ms": change.oldest_crash.as_millis(),
        });
        self.log.note("segment_quarantine", &fields);
    }

    /// Logs a suspension with how long ago another host was served, which tells a failed
    /// server from a host that has no path to it.
    fn log_suspension(&self, suspension: &ServerSuspension) {
        let age = suspension.other_contact_age;
        let fields = json!({
            "server": suspension.server,
            "reported_by": suspension.reported_by.host,
            "outcome": format!("{:?}", suspension.outcome),
            "failures": suspension.failures,
            "pause_ms": suspension.pause.as_millis(),
            "other_contact_age_ms": age.map(|age| age.as_millis()),
        });
        self.log.routine("server_suspended", &fields);
    }

    fn log_cold(&self, change: &ColdChange) {
        let fields = json!({
            "server": change.server,
            "born": change.incarnation,
            "cold": change.source.is_some(),
            "source": change.source.map(ColdSource::as_str),
            "remaining_ms": change.remaining.as_millis(),
        });
        self.log.note("server_cold", &fields);
    }

    async fn propose(&self, command: &ControlCommand) -> Result<(), ProposeFailure> {
        let group = self.group().ok_or(ProposeFailure::NotLeader)?;
        let command = postcard::to_stdvec(command)
            .map_err(|error| ProposeFailure::Refused(error.to_string()))?;
        group.propose(command).await.map(|_| ())
    }

    /// Applies changes of the replicated state to the leader's state. Returns whether that
    /// could be read.
    async fn refresh(&self) -> bool {
        let Some(group) = self.group() else {
            return false;
        };
        let Ok(machine) = group.read(ControlMachine::clone).await else {
            return false;
        };
        let now = self.now();
        let mut state = self.state();
        if state.term.is_some() && state.refresh(&machine, now) {
            let version = state.plan.version();
            drop(state);
            self.log
                .note("plan_in_force", &json!({ "version": version.0 }));
        }
        true
    }

    async fn handle_call(self: Arc<Self>, call: ControlCall) -> GroupReply<ControlAnswer> {
        if !self.leads() {
            return self.not_leader();
        }
        match call {
            ControlCall::RequestSlot(call) => self.request_slot(*call).await,
            ControlCall::Sync(mut request) => {
                let reports = std::mem::take(&mut request.reports);
                self.accept_reports(&request.requester, reports);
                let now = self.now();
                let status = self.status();
                let members: Vec<SocketAddr> = status.members.iter().map(|m| m.address).collect();
                let mut state = self.state();
                let answer = state.sync(&request, &members, now);
                self.process_broker_events(&mut state);
                drop(state);
                // A leader that lost its lease meanwhile may have replied with stale state.
                if self.leads() {
                    GroupReply::Answer(ControlAnswer::Synced(Box::new(answer)))
                } else {
                    self.not_leader()
                }
            }
            ControlCall::ReplacePlan { document, plan } => {
                self.replace_plan(document, plan.version, plan).await
            }
            ControlCall::ReadPlan => {
                let Some(group) = self.group() else {
                    return self.not_leader();
                };
                let document = group.read(|machine| {
                    let stored = machine.plan();
                    stored.map(|stored| stored.document.clone())
                });
                match document.await {
                    Ok(document) => GroupReply::Answer(ControlAnswer::Document(document)),
                    Err(_) => self.not_leader(),
                }
            }
            ControlCall::CheckIn(check_in) => self.check_in(*check_in).await,
            ControlCall::Leave {
                name,
                incarnation,
                is_query,
            } => {
                let incarnation = incarnation.or_else(|| self.state().broker.incarnation(&name));
                match incarnation {
                    _ if is_query.0 => GroupReply::Answer(ControlAnswer::Incarnation(incarnation)),
                    Some(incarnation) => {
                        self.record_departure(name, incarnation, DepartureSource::Notice)
                            .await
                    }
                    None => GroupReply::Answer(ControlAnswer::Done),
                }
            }
            ControlCall::BeginRetire { host, stage } => {
                match self.screen_order(&OrderSubject::Host(host.clone()), stage.0) {
                    Some(answer) => GroupReply::Answer(answer),
                    None => self.begin_retire(host).await,
                }
            }
            ControlCall::RetireState { host } => {
                let state = self.state();
                GroupReply::Answer(match state.retiring.get(&host) {
                    Some((_, is_drained)) => ControlAnswer::Retired(*is_drained),
                    None => ControlAnswer::UnknownHost,
                })
            }
            ControlCall::Join(request) => {
                GroupReply::Answer(ControlAnswer::Seat(self.join(&request)))
            }
            ControlCall::LeaveSeat(request) => {
                GroupReply::Answer(ControlAnswer::Seat(self.leave_seat(&request)))
            }
            ControlCall::SetZoneDrain {
                zone,
                step,
                asked_by,
                stage,
            } => match self.screen_order(&OrderSubject::Zone(zone.clone()), stage.0) {
                Some(answer) => GroupReply::Answer(answer),
                None => self.set_zone_drain(zone, step, asked_by).await,
            },
            ControlCall::ZoneDrains => self.zone_drains().await,
            ControlCall::Explain(question) => self.explain(&question).await,
        }
    }

    /// Requests a slot from the broker before the future is first polled, so that calls
    /// and notices of one requester take effect in the order of their arrival.
    fn request_slot(
        self: &Arc<Self>,
        call: SlotCall,
    ) -> BoxFuture<'static, GroupReply<ControlAnswer>> {
        self.accept_reports(&call.requester, call.reports);
        let now = self.now();
        let mut state = self.state();
        let grace = self.base.settings.bounds.plan_applies / PLAN_GRACE_DIVISOR;
        if !state.accepts_plan(call.plan, grace, now) {
            return std::future::ready(GroupReply::Answer(ControlAnswer::StalePlan)).boxed();
        }
        for report in &call.answers.0 {
            state.broker.record_answer(&call.requester, report, now);
        }
        let slot_request = SlotRequest {
            homes: call.homes.0,
            ..call.slot_request
        };
        let decision = state.request_slot(&call.requester, slot_request, call.terms.0, now);
        self.process_broker_events(&mut state);
        drop(state);
        let shared = self.clone();
        async move {
            match decision.await {
                Ok(decision) => GroupReply::Answer(ControlAnswer::Slot(decision)),
                Err(_) => shared.not_leader(),
            }
        }
        .boxed()
    }

    async fn replace_plan(
        &self,
        document: Vec<u8>,
        version: PlanVersion,
        plan: Box<chicoryladder_plan::RawPlan>,
    ) -> GroupReply<ControlAnswer> {
        if !self.accepts_first_plan() {
            let members = self.status().members.len();
            let fields = json!({ "version": version.0, "members": members });
            self.log.note("plan_waits_for_members", &fields);
            return GroupReply::Answer(ControlAnswer::TooFewMembers);
        }
        let command = ControlCommand::ReplacePlan { document, plan };
        match self.propose(&command).await {
            Ok(()) => {
                self.refresh().await;
                self.log
                    .note("plan_accepted", &json!({ "version": version.0 }));
                GroupReply::Answer(ControlAnswer::Done)
            }
            Err(ProposeFailure::NotLeader) => self.not_leader(),
            Err(failure) => {
                self.log.note(
                    "plan_undecided",
                    &json!({ "version": version.0, "cause": failure.to_string() }),
                );
                GroupReply::OutcomeUnknown
            }
        }
    }

    /// Whether the configured number of voters responds, or the group stored a plan
    /// before. After [`FULL_GROUP_WAIT`], fewer control hosts are accepted.
    fn accepts_first_plan(&self) -> bool {
        let voters = self.base.settings.control.voters();
        let status = self.status();
        let responsive = status.members.iter().filter(|member| {
            let has_contact = member.seat == status.seat || member.last_contact_at.is_some();
            member.role == MemberRole::Voter && has_contact
        });
        if responsive.count() >= voters {
            return true;
        }
        let state = self.state();
        let led_for = self.now().saturating_duration_since(state.leads_since);
        state.stored.is_some() || led_for >= FULL_GROUP_WAIT
    }

    async fn check_in(self: &Arc<Self>, received: ReceivedCheckIn) -> GroupReply<ControlAnswer> {
        let now = self.now();
        let check_in = &received.check_in;
        let (name, incarnation) = (check_in.name.clone(), check_in.incarnation);
        let is_leaving = check_in.phase == ServerPhase::Leaving;
        let (address, version) = (check_in.address, check_in.version.clone());
        let outcome = {
            let mut state = self.state();
            let outcome = state.broker.check_in(received, now);
            if state.departed.contains(&(name.clone(), incarnation)) {
                state.broker.mark_leaving(&name, Some(incarnation));
            }
            self.process_broker_events(&mut state);
            outcome
        };
        if outcome == CheckInOutcome::Added {
            self.log.note(
                "server_added",
                &json!({
                    "server": name,
                    "address": address,
                    "born": incarnation,
                    "version": version,
                }),
            );
        }
        if is_leaving && outcome != CheckInOutcome::Stale {
            let source = DepartureSource::CheckIn;
            return self.record_departure(name, incarnation, source).await;
        }
        GroupReply::Answer(ControlAnswer::Done)
    }

    /// Applies what a host reports of servers and streams, before the call that brought the
    /// reports is processed.
    fn accept_reports(self: &Arc<Self>, requester: &RequesterId, reports: ServerReports) {
        self.accept_departures(requester, reports.departures);
        if !reports.streams.is_empty() {
            let now = self.now();
            let mut state = self.state();
            for report in &reports.streams {
                state.broker.record_stream(report, now);
            }
        }
        for report in reports.limits {
            let now = self.now();
            if !self.state().broker.record_limit(&report, now) {
                continue;
            }
            let fields = json!({
                "server": report.server,
                "born": report.incarnation,
                "per_second": report.limit.map(ServerLimit::per_second),
                "age_ms": report.age.as_millis(),
                "reported_by": requester.host,
                "source": "report",
            });
            self.log.note("server_limit", &fields);
        }
    }

    /// Takes the servers out of use that a host reports as leaving. They are recorded
    /// durably afterwards.
    fn accept_departures(self: &Arc<Self>, requester: &RequesterId, reports: Vec<DepartureReport>) {
        for DepartureReport {
            server,
            incarnation,
        } in reports
        {
            if !self.state().accept_report(&server, incarnation) {
                continue;
            }
            let fields = json!({
                "server": server,
                "born": incarnation,
                "reported_by": requester.host,
                "source": DepartureSource::Answer.as_str(),
            });
            self.log.note("server_leaving", &fields);
            let shared = self.clone();
            tokio::spawn(async move {
                let departure = (server.clone(), incarnation);
                let source = DepartureSource::Answer;
                let reply = shared.record_departure(server, incarnation, source).await;
                shared.state().departing.remove(&departure);
                if !matches!(reply, GroupReply::Answer(_)) {
                    // The next leader learns it from the server or from another report.
                    let (server, incarnation) = departure;
                    let fields = json!({ "server": server, "born": incarnation });
                    shared.log.note("departure_not_recorded", &fields);
                }
            });
        }
    }

    /// Records durably that a server is leaving, so that later leaders give it no work
    /// either.
    async fn record_departure(
        &self,
        name: ServerName,
        incarnation: u64,
        source: DepartureSource,
    ) -> GroupReply<ControlAnswer> {
        let departure = (name.clone(), incarnation);
        let known = {
            let mut state = self.state();
            state.broker.mark_leaving(&name, Some(incarnation));
            state.departed.contains(&departure)
        };
        if known {
            return GroupReply::Answer(ControlAnswer::Done);
        }
        let command = ControlCommand::ServerLeaves {
            name: name.clone(),
            born: incarnation,
        };
        match self.propose(&command).await {
            Ok(()) => {
                let is_new = self.state().departed.insert(departure);
                if is_new {
                    self.metrics.count_departure(source);
                }
                let source = source.as_str();
                let fields = json!({ "server": name, "born": incarnation, "source": source });
                self.log.note("server_leaves", &fields);
                GroupReply::Answer(ControlAnswer::Done)
            }
            Err(ProposeFailure::NotLeader) => self.not_leader(),
            Err(_) => GroupReply::OutcomeUnknown,
        }
    }

    /// The reply to an order that is not to be decided on: it asks for its number, or comes late.
    fn screen_order(&self, subject: &OrderSubject, order: OrderStage) -> Option<ControlAnswer> {
        let mut state = self.state();
        match order {
            OrderStage::Unnumbered => {
                state.orders.advance(subject);
                None
            }
            OrderStage::NumberWanted => {
                Some(ControlAnswer::OrderNumber(state.orders.number(subject)))
            }
            OrderStage::Numbered(number) if state.orders.take(subject, number) => None,
            OrderStage::Numbered(_) => {
                drop(state);
                let fields = json!({ "subject": format!("{subject:?}") });
                self.log.note("stale_order", &fields);
                Some(ControlAnswer::StaleOrder)
            }
        }
    }

    async fn begin_retire(&self, host: HostName) -> GroupReply<ControlAnswer> {
        let voters = self.base.settings.control.voters();
        let now = self.now();
        let address = {
            let state = self.state();
            if state.retiring.contains_key(&host) {
                return GroupReply::Answer(ControlAnswer::Done);
            }
            match state.may_retire(&host, voters, now) {
                Ok(address) => address,
                Err(ControlFailure::TooFewHosts) => {
                    return GroupReply::Answer(ControlAnswer::TooFewHosts);
                }
                Err(_) => return GroupReply::Answer(ControlAnswer::UnknownHost),
            }
        };
        let command = ControlCommand::BeginRetire {
            host: host.clone(),
            address,
        };
        match self.propose(&command).await {
            Ok(()) => {
                self.refresh().await;
                self.log.note("retire_begins", &json!({ "host": host }));
                self.base.notify(address, &Notice::Changed);
                GroupReply::Answer(ControlAnswer::Done)
            }
            Err(ProposeFailure::NotLeader) => self.not_leader(),
            Err(_) => GroupReply::OutcomeUnknown,
        }
    }

    fn join(&self, request: &JoinRequest) -> JoinAnswer {
        let status = self.status();
        let now = self.now();
        self.state().repair.handle_join(&status, request, now)
    }

    fn leave_seat(&self, request: &JoinRequest) -> JoinAnswer {
        let voters = self.base.settings.control.voters();
        let status = self.status();
        let now = self.now();
        let mut state = self.state();
        state.repair.handle_leave(&status, request, voters, now)
    }
}

/// Handles the calls and notices of other hosts.
struct ControlHandler(Arc<ControlShared>);

impl RpcHandler for ControlHandler {
    fn call(&self, _: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        let shared = self.0.clone();
        match postcard::from_bytes(&payload) {
            Ok(Call::Control(ControlCall::RequestSlot(call))) => {
                let reply = if shared.leads() {
                    shared.request_slot(*call)
                } else {
                    std::future::ready(shared.not_leader()).boxed()
                };
                async move { encode("control", &reply.await) }.boxed()
            }
            Ok(Call::Control(call)) => {
                async move { encode("control", &shared.handle_call(call).await) }.boxed()
            }
            Ok(Call::Bootstrap(call)) => {
                let answer = match call {
                    BootstrapCall::Role => BootstrapAnswer::Role(HostRole::Control),
                    BootstrapCall::SoleMember => {
                        BootstrapAnswer::SoleMember(Some(shared.base.rpc.identity().address))
                    }
                };
                std::future::ready(encode("control", &answer)).boxed()
            }
            Ok(Call::Batch(_) | Call::Reserve(_)) => std::future::ready(None).boxed(),
            Err(error) => {
                log::warn!("control: failed to decode a call: {error}.");
                std::future::ready(None).boxed()
            }
        }
    }

    fn notice(&self, peer: &PeerIdentity, payload: Bytes) {
        match postcard::from_bytes(&payload) {
            Ok(Notice::Seat(envelope)) => {
                self.0.seat.deliver(envelope, peer.address);
            }
            Ok(Notice::Release {
                requester,
                report,
                crashed,
                work,
                took,
            }) => {
                let now = self.0.now();
                let mut state = self.0.state();
                if state.term.is_some() {
                    if let Some(run) = crashed {
                        let counts = state.broker.record_crash_after(&run, took.0, now);
                        self.0.log_crash(&requester, &run, took.0, &counts);
                    }
                    state.release(&requester, &report, work.0, now);
                    self.0.process_broker_events(&mut state);
                }
            }
            Ok(Notice::Changed | Notice::Stop { .. }) => self.0.view.request_sync(),
            Err(error) => log::warn!("control: failed to decode a notice: {error}."),
        }
    }
}

impl LocalSeat for ControlShared {
    fn leads(&self) -> bool {
        ControlShared::leads(self)
    }

    fn answer_locally(
        self: Arc<Self>,
        call: ControlCall,
    ) -> BoxFuture<'static, Option<ControlAnswer>> {
        async move {
            match self.handle_call(call).await {
                GroupReply::Answer(answer) => Some(answer),
                GroupReply::NotLeader { .. } | GroupReply::OutcomeUnknown => None,
            }
        }
        .boxed()
    }

    fn leader(&self) -> Option<SocketAddr> {
        self.status().leader
    }
}

/// Obtains the seat of a control host in the control group.
struct ControlSeatSource {
    shared: Arc<ControlShared>,
    /// Unset until the bootstrap members are decided.
    bootstrap_members: Arc<OnceLock<BootstrapMembers>>,
}

impl ControlSeatSource {
    /// Sends a request about a seat to the host that leads according to this process.
    async fn call_leader(&self, call: ControlCall) -> Option<JoinAnswer> {
        let client = &self.shared.client;
        let call = Call::Control(call);
        let answer = client.call_once(&call, RELAY_TIMEOUT, RELAY_TIMEOUT).await;
        match answer {
            Ok(ControlAnswer::Seat(answer)) => Some(answer),
            Ok(_) | Err(_) => None,
        }
    }
}

impl SeatSource for ControlSeatSource {
    fn bootstrap_members(&self) -> Option<BootstrapMembers> {
        self.bootstrap_members.get().cloned()
    }

    fn request_seat(&self, seat: Option<SeatId>) -> BoxFuture<'_, Option<JoinAnswer>> {
        let request = self.shared.base.join_request(seat);
        self.call_leader(ControlCall::Join(request)).boxed()
    }

    fn leave_seat(&self, seat: SeatId) -> BoxFuture<'_, Option<JoinAnswer>> {
        let request = self.shared.base.join_request(Some(seat));
        async move {
            if self.shared.leads() {
                return Some(self.shared.leave_seat(&request));
            }
            self.call_leader(ControlCall::LeaveSeat(request)).await
        }
        .boxed()
    }
}

async fn manage_seat(shared: Arc<ControlShared>, opener: SeatOpener) {
    let bootstrap_members = Arc::new(OnceLock::new());
    let source = ControlSeatSource {
        shared: shared.clone(),
        bootstrap_members: bootstrap_members.clone(),
    };
    let first_start = shared.base.settings.control.first_start;
    let deciding = async {
        if !first_start {
            bootstrap_members.get_or_init(BootstrapMembers::new);
            return;
        }
        let decided = decide_bootstrap_members(&shared.base, &shared.client).await;
        let addresses: Vec<&SocketAddr> = decided.values().collect();
        let fields = json!({ "founders": addresses });
        shared.log.note("founders_decided", &fields);
        bootstrap_members.get_or_init(|| decided);
    };
    let manager = SeatManager {
        cell: &shared.seat,
        source: &source,
        opener,
        log: shared.log.clone(),
        first_start,
    };
    tokio::join!(deciding, manager.run());
}

/// Runs the duties of the leader while this host leads.
async fn lead(shared: Arc<ControlShared>) {
    let mut repairing: Option<tokio::task::JoinHandle<()>> = None;
    loop {
        tokio::time::sleep(LEADER_TICK).await;
        let status = shared.status();
        let now = shared.now();
        let active_term = shared.state().term;
        if !status.leads {
            if active_term.is_some() {
                shared.state().end();
                shared
                    .log
                    .note("leadership_lost", &json!({ "term": status.term.0 }));
            }
            // A host that does not lead only watches for a change of its role; half the
            // rate suffices.
            tokio::time::sleep(LEADER_TICK).await;
            continue;
        }
        if !status.holds_lease(now) {
            continue;
        }
        if active_term == Some(status.term) {
            let mut state = shared.state();
            state.tick(now);
            shared.process_broker_events(&mut state);
            shared.warn_of_drains(&mut state);
            let outdated = state.take_plan_notices();
            drop(state);
            for host in outdated {
                shared.base.notify(host, &Notice::Changed);
            }
        } else {
            begin_leadership(&shared, &status).await;
        }
        if repairing
            .as_ref()
            .is_none_or(tokio::task::JoinHandle::is_finished)
        {
            repairing = start_repair(&shared, &status);
        }
    }
}

async fn begin_leadership(shared: &ControlShared, status: &GroupStatus) {
    let Some(group) = shared.group() else {
        return;
    };
    if let Ok(machine) = group.read(ControlMachine::clone).await {
        let now = shared.now();
        let earlier = EarlierView {
            servers: shared.view.servers_at(now),
            entry_hosts: shared.view.entry_hosts(),
            quarantined: shared.view.quarantined(now),
        };
        let fields = json!({
            "term": status.term.0,
            "servers": earlier.servers.len(),
            "entry_hosts": earlier.entry_hosts.len(),
            "quarantined": earlier.quarantined.len(),
            "zones_drained": machine.drained_zones(),
        });
        let since_epoch = shared.base.clock.since_epoch();
        shared
            .state()
            .begin(status.term, &machine, &earlier, since_epoch, now);
        shared.log.note("leadership_begins", &fields);
    }
}

/// Starts the next change if one is due: of the control group's membership, the
/// bootstrap of the job group, or the end of a host's retirement.
fn start_repair(
    shared: &Arc<ControlShared>,
    status: &GroupStatus,
) -> Option<tokio::task::JoinHandle<()>> {
    let voters = shared.base.settings.control.voters();
    let now = shared.now();
    let mut state = shared.state();
    let change = state
        .repair
        .next_change(status, &HashSet::new(), voters, now);
    let bootstrap_members = state.choose_store_members(voters, now);
    let drained = state.drained_host();
    drop(state);
    let shared = shared.clone();
    if let Some(change) = change {
        let group = shared.group()?;
        return Some(tokio::spawn(async move {
            apply_change(&group, change, &shared.log).await;
        }));
    }
    let command = match (bootstrap_members, drained) {
        (Some(bootstrap_members), _) => ControlCommand::FoundStore {
            founders: bootstrap_members,
        },
        (None, Some(host)) => ControlCommand::CompleteRetire { host },
        (None, None) => return None,
    };
    Some(tokio::spawn(async move {
        let fields = json!({ "command": format!("{command:?}") });
        match shared.propose(&command).await {
            Ok(()) => {
                shared.refresh().await;
                shared.log.note("fleet_changes", &fields);
            }
            Err(error) => log::warn!("control: failed to commit a fleet change: {error}."),
        }
    }))
}

//! Getting slots from the broker, or choosing a server without it.

use crate::fleet_view::FleetView;
use crate::leader_client::{LeaderClient, LeaderError};
use crate::message::{Call, ControlAnswer, ControlCall, Notice};
use crate::process::ProcessBase;
use chicoryladder_broker::{
    ActiveRun, BrokerlessView, RefuseReason, RunOutcome, RunReport, SlotDecision, SlotRequest,
    WorkKind,
};
use chicoryladder_plan::PlanVersion;
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How much longer than the wait for a slot the answer of the broker may take; a
/// few round trips between zones and the time of a busy leader.
const ASK_MARGIN: Duration = Duration::from_millis(150);

/// When a caller should return that found no slot while the broker was away.
const DETACHED_RETRY: Duration = Duration::from_millis(700);

/// The time for which a server that could not be reached is passed over.
const PASSED_OVER_FOR: Duration = Duration::from_secs(2);

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotError {
    /// The request has to be refused.
    Refused {
        reason: RefuseReason,
        retry_after: Duration,
    },
    /// The plan that the ask was made under is not in force any more.
    StalePlan,
}

struct HeldRun {
    run: ActiveRun,
    stop: Arc<Notify>,
}

struct SlotShared {
    base: ProcessBase,
    client: LeaderClient,
    view: FleetView,
    runs: Mutex<HashMap<u64, HeldRun>>,
    next_ticket: AtomicU64,
    /// When servers could not be reached.
    unreachable_at: Mutex<HashMap<ServerName, Instant>>,
    /// When the broker did not answer; it counts as away until the next sync.
    lost_at: Mutex<Option<Instant>>,
}

/// Gets slots; clones share what is under way.
#[derive(Clone)]
pub(crate) struct SlotClient {
    shared: Arc<SlotShared>,
}

impl SlotClient {
    pub(crate) fn new(base: ProcessBase, client: LeaderClient, view: FleetView) -> Self {
        let shared = SlotShared {
            base,
            client,
            view,
            runs: Mutex::default(),
            next_ticket: AtomicU64::new(1),
            unreachable_at: Mutex::default(),
            lost_at: Mutex::new(None),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn runs(&self) -> MutexGuard<'_, HashMap<u64, HeldRun>> {
        let runs = self.shared.runs.lock();
        runs.unwrap_or_else(PoisonError::into_inner)
    }

    /// The runs under way, for the next sync.
    pub(crate) fn active(&self) -> Vec<ActiveRun> {
        self.runs().values().map(|held| held.run.clone()).collect()
    }

    /// The number of runs under way, for metrics.
    pub(crate) fn active_count(&self) -> f64 {
        let count = u32::try_from(self.runs().len()).unwrap_or(u32::MAX);
        f64::from(count)
    }

    /// Tells a run that it has to stop.
    pub(crate) fn stop(&self, ticket: u64) {
        if let Some(held) = self.runs().get(&ticket) {
            held.stop.notify_one();
        }
    }

    /// Whether the broker is away, as far as known.
    pub(crate) fn is_brokerless(&self) -> bool {
        let lost_at = self.shared.lost_at.lock();
        let lost_at = *lost_at.unwrap_or_else(PoisonError::into_inner);
        let fresh_at = self.shared.view.fresh_at();
        fresh_at.is_none() || lost_at.is_some_and(|lost| fresh_at <= Some(lost))
    }

    fn note_lost(&self) {
        let now = self.shared.base.clock.now();
        let mut lost_at = self
            .shared
            .lost_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *lost_at = Some(now);
        drop(lost_at);
        self.shared.view.request_sync();
    }

    /// Gets a slot; the ticket of `ask` is set here.
    pub(crate) async fn request_slot(
        &self,
        plan: PlanVersion,
        mut ask: SlotRequest,
        request: Option<RequestFingerprint>,
    ) -> Result<SlotLease, SlotError> {
        ask.ticket = self.shared.next_ticket.fetch_add(1, Ordering::Relaxed);
        if !self.is_brokerless()
            && let Some(leader) = self.shared.client.leader()
        {
            match self.ask_broker(leader, plan, &ask, request).await {
                Ok(result) => return result,
                Err(LeaderError::NoLeader | LeaderError::OutcomeUnknown) => self.note_lost(),
            }
        }
        if ask.kind == WorkKind::Batch {
            return Err(SlotError::Refused {
                reason: RefuseReason::NoServer,
                retry_after: DETACHED_RETRY,
            });
        }
        self.choose(&ask)
    }

    async fn ask_broker(
        &self,
        leader: SocketAddr,
        plan: PlanVersion,
        ask: &SlotRequest,
        request: Option<RequestFingerprint>,
    ) -> Result<Result<SlotLease, SlotError>, LeaderError> {
        let pending = PendingAsk {
            client: self.clone(),
            leader,
            ticket: ask.ticket,
            settled: false,
        };
        let call = Call::Control(ControlCall::RequestSlot {
            requester: self.shared.base.requester(),
            plan,
            slot_request: Box::new(ask.clone()),
            fingerprint: request,
        });
        let timeout = ask.wait_max + ASK_MARGIN;
        let answer = self.shared.client.call_once(&call, timeout).await?;
        let result = match answer {
            ControlAnswer::Slot(SlotDecision::Granted {
                server, address, ..
            }) => Ok(self.lease(ask, server, address, false)),
            ControlAnswer::Slot(SlotDecision::Refused {
                reason,
                retry_after,
            }) => Err(SlotError::Refused {
                reason,
                retry_after,
            }),
            ControlAnswer::StalePlan => Err(SlotError::StalePlan),
            _ => return Err(LeaderError::OutcomeUnknown),
        };
        pending.settle();
        Ok(result)
    }

    fn lease(
        &self,
        ask: &SlotRequest,
        server: ServerName,
        address: SocketAddr,
        brokerless: bool,
    ) -> SlotLease {
        let stop = Arc::new(Notify::new());
        let run = ActiveRun {
            ticket: ask.ticket,
            server: server.clone(),
            kind: ask.kind,
            tokens: ask.tokens,
            brokerless,
        };
        let held = HeldRun {
            run,
            stop: stop.clone(),
        };
        self.runs().insert(ask.ticket, held);
        SlotLease {
            server,
            address,
            brokerless,
            stop,
            ticket: ask.ticket,
            client: self.clone(),
            report: None,
            crashed: None,
        }
    }

    /// Chooses a server by what this host knows alone.
    fn choose(&self, ask: &SlotRequest) -> Result<SlotLease, SlotError> {
        let shared = &self.shared;
        let now = shared.base.clock.now();
        let refused = |reason| SlotError::Refused {
            reason,
            retry_after: DETACHED_RETRY,
        };
        let servers = shared.view.servers();
        let view = BrokerlessView {
            servers: &servers,
            own_runs: &self.own_runs(),
            unreachable: &self.passed_over(now),
        };
        let Some(check_in) = view.choose(ask) else {
            return Err(refused(RefuseReason::NoSlot));
        };
        if let Some(team) = &ask.charged_team
            && !shared.view.spend_reserve(team)
        {
            return Err(refused(RefuseReason::NoReserve));
        }
        Ok(self.lease(ask, check_in.name.clone(), check_in.address, true))
    }

    /// The servers that could not be reached a moment ago.
    fn passed_over(&self, now: Instant) -> HashSet<ServerName> {
        let unreachable = self.shared.unreachable_at.lock();
        let mut unreachable = unreachable.unwrap_or_else(PoisonError::into_inner);
        unreachable.retain(|_, at| now.saturating_duration_since(*at) < PASSED_OVER_FOR);
        unreachable.keys().cloned().collect()
    }

    fn note_outcome(&self, server: &ServerName, outcome: RunOutcome) {
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

    fn own_runs(&self) -> HashMap<ServerName, u32> {
        let mut loads = HashMap::new();
        for held in self.runs().values() {
            *loads.entry(held.run.server.clone()).or_insert(0) += 1;
        }
        loads
    }

    fn release(
        &self,
        leader: Option<SocketAddr>,
        report: RunReport,
        crashed: Option<RequestFingerprint>,
    ) {
        self.runs().remove(&report.ticket);
        let Some(leader) = leader else {
            // The next sync tells the broker that the run has ended.
            return;
        };
        let notice = Notice::Release {
            requester: self.shared.base.requester(),
            report,
            crashed,
        };
        self.shared.base.notify(leader, &notice);
    }
}

/// A question that is withdrawn if its requester does not wait for the answer.
struct PendingAsk {
    client: SlotClient,
    leader: SocketAddr,
    ticket: u64,
    settled: bool,
}

impl PendingAsk {
    fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for PendingAsk {
    fn drop(&mut self) {
        if !self.settled {
            let report = stopped(self.ticket);
            self.client.release(Some(self.leader), report, None);
        }
    }
}

fn stopped(ticket: u64) -> RunReport {
    RunReport {
        ticket,
        outcome: RunOutcome::Stopped,
        load: None,
        first_answer: None,
        refund: true,
    }
}

/// A slot on a server, given back when it is dropped.
pub(crate) struct SlotLease {
    pub(crate) server: ServerName,
    pub(crate) address: SocketAddr,
    /// Whether this host chose the server without the broker.
    pub(crate) brokerless: bool,
    stop: Arc<Notify>,
    ticket: u64,
    client: SlotClient,
    report: Option<RunReport>,
    crashed: Option<RequestFingerprint>,
}

impl SlotLease {
    /// Resolves when the slot is needed for other work.
    pub(crate) fn stop_signal(&self) -> Arc<Notify> {
        self.stop.clone()
    }

    /// Notes when the answer began.
    pub(crate) fn record_first_answer(&mut self, elapsed: Duration) {
        self.report_mut().first_answer = Some(elapsed);
    }

    /// Notes the load that the server told.
    pub(crate) fn record_load(&mut self, load: Option<ServerLoad>) {
        self.report_mut().load = load;
    }

    /// Notes that the server broke off while it ran a request.
    pub(crate) fn record_crash(&mut self, request: RequestFingerprint) {
        self.crashed = Some(request);
    }

    /// Gives the slot back with how the run ended.
    pub(crate) fn end(mut self, outcome: RunOutcome) {
        let report = self.report_mut();
        report.outcome = outcome;
        report.refund = false;
    }

    /// A run that is dropped was stopped by its caller's leaving; it may have run.
    fn report_mut(&mut self) -> &mut RunReport {
        let ticket = self.ticket;
        self.report.get_or_insert_with(|| RunReport {
            refund: false,
            ..stopped(ticket)
        })
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let report = self.report_mut().clone();
        self.client.note_outcome(&self.server, report.outcome);
        let leader = self.client.shared.client.leader();
        self.client.release(leader, report, self.crashed);
    }
}

//! The view of the fleet that a process holds, and its synchronization with the leader.
//!
//! Each process syncs with the leader of the control group several times a second. A
//! view is as fresh as the moment at which its sync request was sent, since the leader
//! held its lease after that. A view never goes back to an older state.

use crate::crash_reports::CrashReports;
use crate::leader_client::LeaderClient;
use crate::message::{
    Call, ControlAnswer, ControlCall, Encoded, HostRole, QuarantineUpdate, ReserveAnswer,
    RosterUpdate, StoreReport, StoreView, SyncAnswer, SyncRequest, TunnelReport,
};
use crate::process::ProcessBase;
use crate::server_marks::{ServerMarks, ServerReports};
use chicoryladder_broker::{
    ActiveRun, HeldReserves, HolderRing, ReserveTerms, RosterMember, SELF_REFILL_AFTER,
    ServerCheckIn, VERSION_NOTICE, VersionList, ZoneRoster,
};
use chicoryladder_plan::{PlanVersion, RawPlan, ServicePlan};
use chicoryladder_policy::quarantine::{
    OpenCrash, QuarantinedSegments, RequestTraits, SegmentFingerprint,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, SoftwareVersion, Tail};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The interval between the syncs of a process.
const SYNC_INTERVAL: Duration = Duration::from_millis(350);

/// The timeout of one sync.
const SYNC_TIMEOUT: Duration = Duration::from_millis(450);

/// How long the leader may leave a probe unanswered before another host is asked.
const SYNC_SILENCE_MAX: Duration = Duration::from_millis(250);

/// The pause after a sync that reached no leader.
const SYNC_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The timeout of a refresh of a view.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// The timeout of a refresh while no leader can be reached. A caller that is refused so soon
/// can return and be served in time.
const LEADERLESS_REFRESH_TIMEOUT: Duration = Duration::from_millis(60);

/// The share of the key withdrawal bound for which a view of the keys is trusted. The
/// rest covers requests in flight and clock drift.
const KEY_LEASE_SHARE: f64 = 0.75;

/// The time for which a view of the keys is trusted.
pub(crate) fn key_lease(key_withdrawal: Duration) -> Duration {
    key_withdrawal.mul_f64(KEY_LEASE_SHARE)
}

/// The entry hosts of this host's zone and the reserves that this host holds for them.
#[derive(Default)]
struct ReserveState {
    number: (u64, u64),
    roster: ZoneRoster,
    ring: HolderRing,
    /// The entry hosts of all zones, on control hosts.
    members: Vec<RosterMember>,
    held: HeldReserves,
}

impl ReserveState {
    fn apply(&mut self, update: RosterUpdate, own_address: SocketAddr) {
        self.number = update.number;
        self.members = update.members;
        if self.roster != update.zone {
            self.ring = HolderRing::new(&update.zone.hosts);
            self.roster = update.zone;
            let ring = &self.ring;
            self.held
                .retain(|team| ring.holder(team) == Some(own_address));
        }
    }
}

/// The prompt segments in quarantine, as of a sync.
#[derive(Default)]
struct QuarantineState {
    number: (u64, u64),
    segments: Vec<QuarantinedSegments>,
    received_at: Option<Instant>,
    /// What an earlier leader had in quarantine and the current one has not.
    unreported: Vec<QuarantinedSegments>,
}

impl QuarantineState {
    fn apply(&mut self, update: QuarantineUpdate, now: Instant) {
        let mut segments = update.segments;
        if update.number.0 != self.number.0 {
            let is_known = |entry: &QuarantinedSegments| {
                let mut known = segments.iter();
                known.any(|k| k.service == entry.service && k.segments == entry.segments)
            };
            self.unreported = self.current(now);
            self.unreported.retain(|entry| !is_known(entry));
            segments.extend(self.unreported.iter().cloned());
        }
        self.number = update.number;
        self.segments = segments;
        self.received_at = Some(now);
    }

    /// The segments with the time that is left of their quarantine.
    fn current(&self, now: Instant) -> Vec<QuarantinedSegments> {
        let received_at = self.received_at.unwrap_or(now);
        let age = now.saturating_duration_since(received_at);
        let current = self.segments.iter().map(|entry| QuarantinedSegments {
            left: entry.left.saturating_sub(age),
            ..entry.clone()
        });
        current.filter(|entry| !entry.left.is_zero()).collect()
    }
}

#[derive(Default)]
struct ViewState {
    plan: Arc<ServicePlan>,
    fresh_at: Option<Instant>,
    directory: (u64, u64),
    /// When the directory was received.
    directory_at: Option<Instant>,
    /// When the first directory was received.
    first_directory_at: Option<Instant>,
    servers: Arc<Vec<ServerCheckIn>>,
    /// The versions of the servers; `None` if the leader did not list them.
    versions: Option<Arc<VersionList>>,
    reserves: ReserveState,
    quarantine: QuarantineState,
    crashes: CrashReports,
    /// The entry hosts that offer tunnels, and when the list was received.
    tunnel_hosts: Option<(Instant, Vec<RosterMember>)>,
    store: StoreView,
    /// Whether the last sync reached the leader.
    has_leader: bool,
}

/// The view of the fleet that a process holds; clones share it.
#[derive(Clone, Default)]
pub(crate) struct FleetView {
    state: Arc<Mutex<ViewState>>,
    sync_due: Arc<Notify>,
    synced: Arc<Notify>,
}

impl FleetView {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The plan; empty until the first one is received.
    pub(crate) fn plan(&self) -> Arc<ServicePlan> {
        self.state().plan.clone()
    }

    /// The term of the leader that the directory is from, and the version of the directory.
    fn directory(&self) -> (u64, u64) {
        self.state().directory
    }

    /// Whether the last sync reached the leader.
    pub(crate) fn has_leader(&self) -> bool {
        self.state().has_leader
    }

    /// The time up to which the view holds every acknowledged change.
    pub(crate) fn fresh_at(&self) -> Option<Instant> {
        self.state().fresh_at
    }

    /// The age of the view; `None` before the first sync since the process started.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let fresh_at = self.state().fresh_at?;
        Some(now.saturating_duration_since(fresh_at))
    }

    pub(crate) fn store(&self) -> StoreView {
        self.state().store.clone()
    }

    /// The servers that the leader does not consider lost.
    pub(crate) fn servers(&self) -> Arc<Vec<ServerCheckIn>> {
        self.state().servers.clone()
    }

    /// When the directory of servers was received.
    pub(crate) fn directory_at(&self) -> Option<Instant> {
        self.state().directory_at
    }

    /// When the first directory was received since the process started.
    pub(crate) fn first_directory_at(&self) -> Option<Instant> {
        self.state().first_directory_at
    }

    /// Like [`Self::servers`], with the time for which servers of services with terms on cold
    /// servers stay cold from now on.
    pub(crate) fn servers_at(&self, now: Instant) -> Arc<Vec<ServerCheckIn>> {
        let state = self.state();
        let (servers, plan) = (state.servers.clone(), state.plan.clone());
        let age = state
            .directory_at
            .map(|at| now.saturating_duration_since(at));
        drop(state);
        let aged = servers.iter().map(|server| {
            let passed = plan.cold_terms(&server.service).and(age);
            let remaining = server.warmup_remaining;
            ServerCheckIn {
                warmup_remaining: remaining.saturating_sub(passed.unwrap_or_default()),
                ..server.clone()
            }
        });
        Arc::new(aged.collect())
    }

    /// The versions of the servers; `None` if the leader did not list them.
    pub(crate) fn versions(&self) -> Option<Arc<VersionList>> {
        self.state().versions.clone()
    }

    /// The only version of a service that can have begun a stream, if the view is recent
    /// enough to tell.
    pub(crate) fn sole_version(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let is_recent = self.age(now).is_some_and(|age| age < VERSION_NOTICE);
        let versions = self.versions().filter(|_| is_recent)?;
        versions.sole(service).cloned()
    }

    /// The entry hosts of all zones, on control hosts.
    pub(crate) fn entry_hosts(&self) -> Vec<RosterMember> {
        self.state().reserves.members.clone()
    }

    /// The entry hosts of this host's zone.
    pub(crate) fn zone_roster(&self) -> ZoneRoster {
        self.state().reserves.roster.clone()
    }

    /// Entry hosts that offered tunnels when this host last asked.
    pub(crate) fn tunnel_hosts(&self) -> Vec<RosterMember> {
        let state = self.state();
        let listed = state.tunnel_hosts.as_ref();
        listed.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// The age of the list of tunnel hosts; `None` if there is none.
    pub(crate) fn tunnel_hosts_age(&self, now: Instant) -> Option<Duration> {
        let received_at = self.state().tunnel_hosts.as_ref()?.0;
        Some(now.saturating_duration_since(received_at))
    }

    /// The prompt segments in quarantine.
    pub(crate) fn quarantined(&self, now: Instant) -> Vec<QuarantinedSegments> {
        self.state().quarantine.current(now)
    }

    /// Keeps a completed run, for the case that the leader does not know its slot.
    pub(crate) fn record_proven(
        &self,
        service: &ServiceName,
        traits: &RequestTraits,
        now: Instant,
    ) {
        self.state().crashes.record_proven(service, traits, now);
    }

    /// Keeps a crash that this host reports, for the case that the leader changes.
    pub(crate) fn record_crash(&self, crash: OpenCrash, has_leader: bool, now: Instant) {
        self.state().crashes.record(crash, has_leader, now);
    }

    /// The quarantine of a request with these prompt segments, if it is in one.
    pub(crate) fn quarantine_of(
        &self,
        service: &ServiceName,
        segments: &[SegmentFingerprint],
        now: Instant,
    ) -> Option<QuarantinedSegments> {
        let quarantined = self.quarantined(now).into_iter();
        let concerning = quarantined.filter(|entry| entry.concerns(service, segments));
        concerning.max_by_key(|entry| entry.left)
    }

    /// The entry host that holds the reserve of a team in this host's zone.
    pub(crate) fn reserve_holder(&self, team: &TeamName) -> Option<SocketAddr> {
        self.state().reserves.ring.holder(team)
    }

    /// Charges a request to the reserve of a team, if this host holds it.
    pub(crate) fn take_reserve(
        &self,
        team: &TeamName,
        own_address: SocketAddr,
        lease: Duration,
        now: Instant,
    ) -> ReserveAnswer {
        let mut state = self.state();
        let rate = state.plan.team(team).map(|team| team.rate);
        let reserves = &mut state.reserves;
        let is_holder = reserves.ring.holder(team) == Some(own_address);
        let share = reserves.roster.share();
        let (Some(rate), Some(fresh_at), true) = (rate, state.fresh_at, is_holder) else {
            return ReserveAnswer::Spent { retry_after: None };
        };
        let terms = ReserveTerms { rate, share, lease };
        match state.reserves.held.take(team, terms, fresh_at, now) {
            Ok(()) => ReserveAnswer::Taken,
            Err(retry_after) => ReserveAnswer::Spent { retry_after },
        }
    }

    /// Sets whether the last sync reached the leader; returns whether the one before did.
    fn set_has_leader(&self, has_leader: bool) -> bool {
        std::mem::replace(&mut self.state().has_leader, has_leader)
    }

    /// Triggers the next sync at once.
    pub(crate) fn request_sync(&self) {
        self.sync_due.notify_one();
    }

    /// Triggers a sync and waits for it, at most for `max_wait`.
    pub(crate) async fn refresh(&self, max_wait: Duration) {
        let synced = self.synced.notified();
        self.request_sync();
        // After a timeout the caller goes on with the view as it is.
        let _ = tokio::time::timeout(max_wait, synced).await;
    }

    /// Like [`Self::refresh`], for as long as a sync takes, or shorter while no leader is reached.
    pub(crate) async fn refresh_in_time(&self) {
        let max_wait = if self.has_leader() {
            REFRESH_TIMEOUT
        } else {
            LEADERLESS_REFRESH_TIMEOUT
        };
        self.refresh(max_wait).await;
    }

    fn request(
        &self,
        base: &ProcessBase,
        reporter: &SyncReporter,
        reports: ServerReports,
    ) -> SyncRequest {
        let now = base.clock.now();
        let active = (reporter.active)();
        let store = (reporter.store)();
        let state = self.state();
        let identity = base.rpc.identity();
        SyncRequest {
            requester: base.requester(),
            role: reporter.role,
            address: identity.address,
            zone: identity.zone.clone(),
            plan: state.plan.version(),
            directory: state.directory,
            active,
            reports,
            reserves: state.reserves.held.granted(),
            detached: state.fresh_at.is_some_and(|fresh_at| {
                now.saturating_duration_since(fresh_at) >= SELF_REFILL_AFTER
            }),
            roster: state.reserves.number,
            quarantine: state.quarantine.number,
            quarantined: state.quarantine.unreported.clone(),
            tunnels: (reporter.tunnels)(now),
            store,
            crashes: Tail(state.crashes.unreported(now)),
            proven: Tail(state.crashes.proven()),
        }
    }

    fn apply(
        &self,
        reply: SyncAnswer,
        own_address: SocketAddr,
        sent_at: Instant,
        now: Instant,
    ) -> Option<PlanVersion> {
        let mut state = self.state();
        let mut new_version = None;
        if let Some(encoded) = &reply.plan {
            let plan = decode_plan(encoded)?;
            if plan.version() > state.plan.version() {
                new_version = Some(plan.version());
                let before = std::mem::replace(&mut state.plan, Arc::new(plan));
                let plan = state.plan.clone();
                let is_lowered = |team: &TeamName| plan.lowers_limit(&before, team);
                state.reserves.held.discard_lowered(is_lowered);
            }
        }
        if let Some((number, encoded)) = reply.directory {
            match encoded.decode() {
                Ok(directory) => {
                    state.directory = number;
                    state.directory_at = Some(now);
                    state.first_directory_at.get_or_insert(now);
                    state.servers = Arc::new(directory.servers);
                    state.versions = directory.versions.map(Arc::new);
                }
                Err(error) => {
                    log::error!("view: failed to decode the directory of servers: {error}.");
                }
            }
        }
        state.reserves.held.end_self_refill();
        if let Some(update) = reply.roster {
            state.reserves.apply(update, own_address);
        }
        // The number of a new leader's quarantine differs by its term.
        let number = reply.quarantine.as_ref().map(|update| update.number);
        let is_new_leader = number.is_some_and(|number| number.0 != state.quarantine.number.0);
        state
            .crashes
            .apply(reply.crashes.0, is_new_leader, sent_at, now);
        // The leader has them by now.
        state.quarantine.unreported.clear();
        if let Some(update) = reply.quarantine {
            state.quarantine.apply(update, now);
        }
        for (team, count) in reply.reserves {
            state.reserves.held.add(team, count);
        }
        if let Some(hosts) = reply.tunnel_hosts {
            state.tunnel_hosts = Some((now, hosts));
        }
        state.store = reply.store;
        state.fresh_at = state.fresh_at.max(Some(sent_at));
        drop(state);
        self.synced.notify_waiters();
        new_version
    }
}

/// Decodes and checks a plan from the leader; logs why it is unusable.
fn decode_plan(encoded: &Encoded<RawPlan>) -> Option<ServicePlan> {
    let raw = match encoded.decode() {
        Ok(raw) => raw,
        Err(error) => {
            log::error!("view: failed to decode the plan from the leader: {error}.");
            return None;
        }
    };
    match ServicePlan::try_from(raw) {
        Ok(plan) => Some(plan),
        Err(error) => {
            log::error!("view: the plan from the leader is invalid: {error}.");
            None
        }
    }
}

/// Called with the addresses of the control hosts.
type HostsListener = Box<dyn Fn(&[SocketAddr]) + Send + Sync>;

/// Returns what a host offers and needs to reach servers through tunnels.
pub(crate) type TunnelReporter = Box<dyn Fn(Instant) -> TunnelReport + Send + Sync>;

/// The sources of the state that a process reports at each sync, and the callbacks on
/// the replies.
pub(crate) struct SyncReporter {
    pub(crate) role: HostRole,
    /// Returns the active runs.
    pub(crate) active: Box<dyn Fn() -> Vec<ActiveRun> + Send + Sync>,
    /// Returns the report of a store host about its seat; `None` on other hosts.
    pub(crate) store: Box<dyn Fn() -> Option<StoreReport> + Send + Sync>,
    /// Returns what the host offers and needs in tunnels.
    pub(crate) tunnels: TunnelReporter,
    /// What servers said in their responses; `None` on hosts that send to none.
    pub(crate) marks: Option<ServerMarks>,
    /// Called with the addresses of the control hosts after each sync.
    pub(crate) on_hosts: HostsListener,
    /// Called when the directory of servers has changed.
    pub(crate) on_directory: Box<dyn Fn() + Send + Sync>,
    /// Called when a new plan takes effect or the leader is lost or found.
    pub(crate) on_change: Box<dyn Fn(ViewChange) + Send + Sync>,
}

/// A change of the view of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewChange {
    /// A new plan took effect in this process.
    Plan(PlanVersion),
    /// The leader of the control group cannot be reached any more.
    LeaderLost,
    /// The leader of the control group can be reached, for the first time or again.
    LeaderFound,
}

impl SyncReporter {
    /// A reporter that only announces a control host.
    pub(crate) fn control() -> Self {
        Self {
            role: HostRole::Control,
            active: Box::new(Vec::new),
            store: Box::new(|| None),
            tunnels: Box::new(|_| TunnelReport::default()),
            marks: None,
            on_hosts: Box::new(|_| {}),
            on_directory: Box::new(|| {}),
            on_change: Box::new(|_| {}),
        }
    }
}

/// Keeps a view up to date with periodic syncs.
pub(crate) async fn run_sync(
    base: ProcessBase,
    client: LeaderClient,
    view: FleetView,
    reporter: SyncReporter,
) {
    loop {
        let sent_at = base.clock.now();
        let leader = client.leader();
        let mut pending = reporter
            .marks
            .as_ref()
            .map(|marks| marks.take_reports(leader));
        let reports = pending
            .as_ref()
            .map(|pending| pending.reports().clone())
            .unwrap_or_default();
        let request = view.request(&base, &reporter, reports);
        let call = Call::Control(ControlCall::Sync(Box::new(request)));
        let reply = client
            .call_once(&call, SYNC_TIMEOUT, SYNC_SILENCE_MAX)
            .await;
        let pause = if let Ok(ControlAnswer::Synced(reply)) = reply {
            if let Some(pending) = &mut pending {
                pending.mark_arrived();
            }
            client.set_hosts(&reply.hosts);
            (reporter.on_hosts)(&reply.hosts);
            if !view.set_has_leader(true) {
                (reporter.on_change)(ViewChange::LeaderFound);
            }
            let own_address = base.rpc.identity().address;
            let (term, version) = view.directory();
            if let Some(version) = view.apply(*reply, own_address, sent_at, base.clock.now()) {
                (reporter.on_change)(ViewChange::Plan(version));
            }
            let (new_term, new_version) = view.directory();
            if (new_term, new_version) != (term, version) {
                (reporter.on_directory)();
            }
            if let Some(marks) = reporter.marks.as_ref().filter(|_| new_term != term) {
                // The reports of this sync may have gone to the leader before.
                marks.forget_broker();
                view.request_sync();
            }
            SYNC_INTERVAL
        } else {
            if view.set_has_leader(false) {
                (reporter.on_change)(ViewChange::LeaderLost);
            }
            SYNC_RETRY_PAUSE
        };
        drop(pending);
        // The pause ends early when a sync is requested.
        let _ = tokio::time::timeout(pause, view.sync_due.notified()).await;
    }
}

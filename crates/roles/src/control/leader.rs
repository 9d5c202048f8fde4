//! The in-memory state of the control group's leader, and its decisions.
//!
//! Each leadership rebuilds this state from the replicated state machine and from the
//! reports of hosts and servers, which arrive within a second or two.

mod explain;
mod zone_drains;

use super::machine::{ControlMachine, StoredPlan};
use super::order_numbers::OrderNumbers;
use crate::message::{
    Encoded, EncodedDirectory, HostRole, QuarantineUpdate, RosterUpdate, StoreReport, StoreView,
    SyncAnswer, SyncRequest,
};
use crate::plan_notices::PlanNotices;
use chicoryladder_broker::{
    BrokerEvent, BrokerSettings, CallerTerms, ColdChange, EntryRoster, ProvenWork, RequesterId,
    ReserveHolders, RosterMember, RosterSettings, RunOutcome, RunReport, ServerCheckIn,
    ServerSuspension, SlotBroker, SlotDecision, SlotRequest, VersionList, VersionRecord,
    WorkPercent, ZoneRoster, choose_tunnel_hosts, servers_for_zone,
};
use chicoryladder_group::{MembershipRepair, spread_over_zones, zone_voters_max};
use chicoryladder_plan::{PlanVersion, RawPlan, ServicePlan};
use chicoryladder_policy::quarantine::{OpenCrash, QuarantineChange, QuarantinedSegments};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{SeatId, Tail, TermNumber, ZoneDrains};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// The silence after which a host is removed and no longer listed to others.
const HOST_EXPIRY: Duration = Duration::from_secs(30);

/// The silence after which a host no longer counts as running.
const HOST_SILENT_AFTER: Duration = Duration::from_secs(3);

/// The silence after which a host is not named as one that opens tunnels: more than two
/// intervals of its syncs.
const TUNNEL_HOST_SILENCE_MAX: Duration = Duration::from_secs(1);

/// The wait for more store hosts before the job group is bootstrapped with fewer.
const BOOTSTRAP_WAIT: Duration = Duration::from_secs(4);

/// The wait for store hosts of other zones, so that the job group survives the loss of one.
const ZONES_WAIT: Duration = Duration::from_secs(1);

/// The term in which team buckets start full: no request can have been admitted before
/// the first leadership.
const FIRST_TERM: TermNumber = TermNumber(1);

/// The interval at which the leader checks which entry hosts are silent.
const ROSTER_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which the views that all hosts share are kept.
const VIEWS_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of the reply to a sync that are the same for all hosts.
#[derive(Default)]
struct SharedViews {
    computed_at: Option<Instant>,
    control_hosts: Vec<SocketAddr>,
    store: StoreView,
    /// The crashes that led to no quarantine of segments yet.
    crashes: Vec<OpenCrash>,
}

/// The time for which a directory is sent unchanged, for each server in it. A large
/// directory that changes all the time, as at a start, would fill the leader's link.
const DIRECTORY_INTERVAL_PER_SERVER: Duration = Duration::from_millis(1);

/// The longest time for which a directory is sent unchanged.
const DIRECTORY_INTERVAL_MAX: Duration = Duration::from_millis(700);

/// The directory of servers as sent to hosts, as of a version of the broker's directory.
#[derive(Default)]
struct DirectorySnapshot {
    version: u64,
    versions_number: u64,
    drains_number: u64,
    next_at: Option<Instant>,
    servers: Vec<ServerCheckIn>,
    drained_zones: BTreeSet<ZoneName>,
    versions: VersionList,
    all: Option<EncodedDirectory>,
    by_zone: HashMap<ZoneName, Option<EncodedDirectory>>,
}

impl DirectorySnapshot {
    /// Takes a new snapshot if the directory has changed and the last one is old enough.
    fn refresh(&mut self, broker: &SlotBroker, now: Instant) {
        let version = broker.directory_version();
        // A host whose view is recent has to know each version and each drained zone.
        let is_due = broker.versions_number() != self.versions_number
            || broker.drains_number() != self.drains_number;
        let is_early = self.next_at.is_some_and(|at| now < at);
        if version == self.version || (is_early && !is_due) {
            return;
        }
        let (servers, versions) = (broker.servers_at(now), broker.version_list());
        let count = u32::try_from(servers.len()).unwrap_or(u32::MAX);
        let interval = DIRECTORY_INTERVAL_PER_SERVER.saturating_mul(count);
        *self = Self {
            version,
            versions_number: broker.versions_number(),
            drains_number: broker.drains_number(),
            next_at: Some(now + interval.min(DIRECTORY_INTERVAL_MAX)),
            all: EncodedDirectory::new(&servers, &versions),
            by_zone: HashMap::new(),
            drained_zones: broker.drained_zones().clone(),
            servers,
            versions,
        };
    }

    /// The servers that entry hosts of a zone need: none of drained zones, so that a host
    /// without the broker sends to none of these.
    fn of_zone(&mut self, zone: &ZoneName) -> Option<EncodedDirectory> {
        let (servers, drained) = (&self.servers, &self.drained_zones);
        let encode = || {
            let servers = if drained.is_empty() {
                Cow::Borrowed(servers)
            } else {
                let is_used = |server: &&ServerCheckIn| !drained.contains(&server.zone);
                Cow::Owned(servers.iter().filter(is_used).cloned().collect())
            };
            EncodedDirectory::new(&servers_for_zone(&servers, zone), &self.versions)
        };
        let known = self.by_zone.entry(zone.clone());
        known.or_insert_with(encode).clone()
    }
}

/// What a new leader learned from the leader before it.
pub(crate) struct EarlierView {
    pub(crate) servers: Arc<Vec<ServerCheckIn>>,
    pub(crate) entry_hosts: Vec<RosterMember>,
    pub(crate) quarantined: Vec<QuarantinedSegments>,
}

/// A host that reports to the leader.
#[derive(Clone, Debug)]
pub(crate) struct HostRecord {
    pub(crate) role: HostRole,
    pub(crate) address: SocketAddr,
    zone: ZoneName,
    pub(crate) last_sync_at: Instant,
    plan: PlanVersion,
    /// The leader's term and the version of the directory that the host was sent last.
    directory: (u64, u64),
    /// Whether the host opens tunnels to servers for others.
    offers_tunnels: bool,
    store: Option<StoreReport>,
}

/// What the broker's events ask for.
pub(crate) enum BrokerAction {
    /// Tells the requester that a run has to stop, since its slot is needed for other work.
    Stop { address: SocketAddr, ticket: u64 },
    /// The quarantine of a prompt segment changed.
    LogQuarantine(QuarantineChange),
    /// A server gets no work for a time.
    LogSuspension(ServerSuspension),
    /// A server became cold or ceased to be.
    LogCold(ColdChange),
    /// A host reaches few servers; the suspensions of these by its reports ended.
    LogCutOff {
        host: HostName,
        restored: Vec<ServerName>,
    },
    /// A step in the use of a version has to be recorded.
    RecordVersion(VersionRecord),
}

/// The state of the control group's leader.
pub(crate) struct LeaderState {
    /// The term of this leadership; `None` while another host leads.
    pub(crate) term: Option<TermNumber>,
    pub(crate) broker: SlotBroker,
    pub(crate) plan: Arc<ServicePlan>,
    pub(crate) stored: Option<Arc<StoredPlan>>,
    encoded: Option<Encoded<RawPlan>>,
    /// When the plan replaced an earlier one in this leadership.
    replaced_plan_at: Option<Instant>,
    notices: PlanNotices,
    views: SharedViews,
    directory: DirectorySnapshot,
    drains: ZoneDrains,
    /// The version of the broker's directory at the last change of the drains.
    drained_directory: Option<u64>,
    /// Whether all zones with servers were drained at the last check.
    is_wholly_drained: bool,
    pub(crate) repair: MembershipRepair,
    pub(crate) hosts: HashMap<HostName, HostRecord>,
    pub(crate) store_bootstrap_members: Option<BTreeMap<SeatId, SocketAddr>>,
    /// The address of each retiring store host, and whether the host is drained.
    pub(crate) retiring: BTreeMap<HostName, (SocketAddr, bool)>,
    /// The server incarnations that announced that they are leaving.
    pub(crate) departed: HashSet<(ServerName, u64)>,
    /// Reported departures that are being recorded.
    pub(crate) departing: HashSet<(ServerName, u64)>,
    pub(crate) orders: OrderNumbers,
    roster: EntryRoster,
    holders: ReserveHolders,
    /// The versions of the roster and the plan that `holders` was computed from.
    holders_of: (u64, PlanVersion),
    next_roster_check: Instant,
    pending: HashMap<(RequesterId, u64), oneshot::Sender<SlotDecision>>,
    settings: BrokerSettings,
    roster_settings: RosterSettings,
    pub(crate) leads_since: Instant,
    first_store_seen_at: Option<Instant>,
}

impl LeaderState {
    pub(crate) fn new(
        settings: BrokerSettings,
        roster_settings: RosterSettings,
        now: Instant,
    ) -> Self {
        Self {
            term: None,
            broker: SlotBroker::new(settings.clone()),
            plan: Arc::default(),
            stored: None,
            encoded: None,
            replaced_plan_at: None,
            notices: PlanNotices::default(),
            views: SharedViews::default(),
            directory: DirectorySnapshot::default(),
            drains: ZoneDrains::default(),
            drained_directory: None,
            is_wholly_drained: false,
            repair: MembershipRepair::default(),
            hosts: HashMap::new(),
            store_bootstrap_members: None,
            retiring: BTreeMap::new(),
            departed: HashSet::new(),
            departing: HashSet::new(),
            orders: OrderNumbers::new(TermNumber::default()),
            roster: EntryRoster::new(roster_settings),
            holders: ReserveHolders::default(),
            holders_of: (0, PlanVersion::default()),
            next_roster_check: now,
            pending: HashMap::new(),
            settings,
            roster_settings,
            leads_since: now,
            first_store_seen_at: None,
        }
    }

    /// Begins a leadership from the replicated state and from what this host synced with
    /// the leader before. `since_epoch` is the wall-clock time.
    pub(crate) fn begin(
        &mut self,
        term: TermNumber,
        machine: &ControlMachine,
        earlier: &EarlierView,
        since_epoch: Duration,
        now: Instant,
    ) {
        self.term = Some(term);
        self.broker = SlotBroker::new(self.settings.clone());
        self.restore_drains(machine.zone_drains(), since_epoch, now);
        self.repair.restart(now);
        self.hosts.clear();
        self.pending.clear();
        self.leads_since = now;
        self.first_store_seen_at = None;
        self.plan = Arc::default();
        self.stored = None;
        self.encoded = None;
        self.notices = PlanNotices::default();
        self.views = SharedViews::default();
        self.directory = DirectorySnapshot::default();
        self.departed = machine.departures().iter().cloned().collect();
        self.departing.clear();
        self.orders = OrderNumbers::new(term);
        let records = machine.versions();
        let is_complete = term == FIRST_TERM || !records.is_empty();
        self.broker.restore_versions(records, is_complete, now);
        for server in earlier.servers.iter() {
            self.broker.restore_server(server.clone(), now);
        }
        for (name, incarnation) in machine.departures() {
            self.broker.mark_leaving(name, Some(*incarnation));
        }
        self.broker.restore_quarantine(&earlier.quarantined, now);
        self.roster = EntryRoster::new(self.roster_settings);
        self.roster.restore(&earlier.entry_hosts, now);
        self.holders_of = (0, PlanVersion::default());
        self.refresh(machine, now);
        self.check_roster(now);
    }

    /// Processes timeouts.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.broker.tick(now);
        if now >= self.next_roster_check {
            self.check_roster(now);
        }
    }

    /// Removes silent entry hosts and withholds the shares of detached ones.
    fn check_roster(&mut self, now: Instant) {
        self.next_roster_check = now + ROSTER_INTERVAL;
        self.roster.remove_silent(now);
        self.assign_holders();
        let shares = self.holders.detached_shares(&self.roster, now);
        self.broker.rates().set_detached_shares(&shares, now);
    }

    /// Computes the holders of reserves again if the roster or the plan has changed.
    fn assign_holders(&mut self) {
        let computed_from = (self.roster.version(), self.plan.version());
        if self.holders_of != computed_from {
            self.holders_of = computed_from;
            self.holders = ReserveHolders::assign(&self.roster, &self.plan);
            self.broker.rates().set_holders(self.holders.zone_count());
        }
    }

    /// Ends a leadership; pending slot requests fail at once.
    pub(crate) fn end(&mut self) {
        self.term = None;
        self.pending.clear();
    }

    /// Applies changes of the replicated state; returns whether the plan changed.
    pub(crate) fn refresh(&mut self, machine: &ControlMachine, now: Instant) -> bool {
        self.store_bootstrap_members = machine.store_bootstrap_members().cloned();
        let retirement = |(host, record): (&HostName, &super::machine::RetireRecord)| {
            (host.clone(), (record.address, record.is_drained))
        };
        self.retiring = machine.retirements().iter().map(retirement).collect();
        self.apply_drains(machine.zone_drains(), now);
        let stored = machine.plan();
        let version = |stored: &Option<Arc<StoredPlan>>| stored.as_ref().map(|s| s.plan.version);
        if version(&stored) == version(&self.stored) {
            return false;
        }
        let Some(stored) = stored else {
            return false;
        };
        match ServicePlan::try_from(stored.plan.clone()) {
            Ok(plan) => {
                self.broker.set_plan(&plan, now);
                if self.stored.is_none() && self.term == Some(FIRST_TERM) {
                    self.broker.rates().fill_all();
                }
                self.plan = Arc::new(plan);
                self.replaced_plan_at = self.stored.as_ref().map(|_| now);
                self.encoded = Encoded::new("plan", &stored.plan);
                self.notices.begin(self.hosts.keys().cloned());
                self.stored = Some(stored);
                true
            }
            Err(error) => {
                log::error!("control: the plan in the replicated state is invalid: {error}.");
                false
            }
        }
    }

    /// The gauges for metrics; empty unless this host leads.
    pub(crate) fn gauges(&self, now: Instant) -> Vec<(&'static str, f64)> {
        if self.term.is_none() {
            return Vec::new();
        }
        let count = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        let mut gauges = vec![
            ("hosts", count(self.hosts.len())),
            ("servers", count(self.broker.servers().len())),
            ("servers_limited", count(self.broker.limited_servers())),
            ("servers_cold", count(self.broker.cold_servers(now))),
            ("servers_slow", count(self.broker.slow_servers(now))),
            ("group_standbys", count(self.repair.standby_count(now))),
            ("zones_drained", count(self.broker.drained_zones().len())),
        ];
        let (mut running, mut slots, mut online, mut batch) = (0, 0, 0, 0);
        for service in &self.plan.raw().services {
            let load = self.broker.load_of(&service.name, now);
            running += load.0;
            slots += load.1;
            online += load.2;
            batch += load.3;
        }
        let tokens = self.broker.prompt_tokens();
        #[expect(clippy::cast_precision_loss)]
        gauges.extend([
            ("prompt_tokens_requested", tokens.requested as f64),
            (
                "prompt_tokens_expected_cached",
                tokens.expected_cached as f64,
            ),
        ]);
        gauges.extend([
            ("slots_used", f64::from(running)),
            ("slots_open", f64::from(slots)),
            ("online_waiting", count(online)),
            ("batch_waiting", count(batch)),
            ("online_late_waiting", count(self.broker.late_waiting())),
            ("returns_booked", f64::from(self.broker.returns_booked(now))),
        ]);
        gauges
    }

    /// Requests a slot from the broker; the receiver gets the decision.
    pub(crate) fn request_slot(
        &mut self,
        requester: &RequesterId,
        slot_request: SlotRequest,
        terms: Option<CallerTerms>,
        now: Instant,
    ) -> oneshot::Receiver<SlotDecision> {
        let (sender, receiver) = oneshot::channel();
        let ticket = slot_request.ticket;
        self.pending.insert((requester.clone(), ticket), sender);
        self.broker
            .request_slot_for(requester, slot_request, terms, now);
        receiver
    }

    /// Processes the pending events of the broker; returns what remains to be done.
    pub(crate) fn process_broker_events(&mut self, now: Instant) -> Vec<BrokerAction> {
        let mut actions = Vec::new();
        loop {
            let events = self.broker.take_events();
            if events.is_empty() {
                return actions;
            }
            for event in events {
                match event {
                    BrokerEvent::Decided {
                        requester,
                        ticket,
                        decision,
                    } => self.deliver_decision(&requester, ticket, decision, now),
                    BrokerEvent::Stop { requester, ticket } => {
                        if let Some(host) = self.hosts.get(&requester.host) {
                            let address = host.address;
                            actions.push(BrokerAction::Stop { address, ticket });
                        }
                    }
                    BrokerEvent::Quarantine(change) => {
                        actions.push(BrokerAction::LogQuarantine(change));
                    }
                    BrokerEvent::Suspended(suspension) => {
                        actions.push(BrokerAction::LogSuspension(suspension));
                    }
                    BrokerEvent::Cold(change) => actions.push(BrokerAction::LogCold(change)),
                    BrokerEvent::CutOff {
                        requester,
                        restored,
                    } => {
                        let host = requester.host;
                        actions.push(BrokerAction::LogCutOff { host, restored });
                    }
                    BrokerEvent::VersionStep(record) => {
                        actions.push(BrokerAction::RecordVersion(record));
                    }
                }
            }
        }
    }

    fn deliver_decision(
        &mut self,
        requester: &RequesterId,
        ticket: u64,
        decision: SlotDecision,
        now: Instant,
    ) {
        let sender = self.pending.remove(&(requester.clone(), ticket));
        let granted = matches!(decision, SlotDecision::Granted { .. });
        let sent = sender.is_some_and(|sender| sender.send(decision).is_ok());
        if granted && !sent {
            // The requester has disconnected, so the slot is released.
            let report = RunReport {
                ticket,
                outcome: RunOutcome::Stopped,
                load: None,
                first_answer: None,
                refund: true,
                completed: ProvenWork::None,
            };
            self.broker.release(requester, &report, now);
        }
    }

    /// Takes a server out of use that a host reports as leaving. Returns whether the
    /// departure has to be recorded: it may concern the known incarnation of the server or
    /// one that has not checked in yet, never an earlier one.
    pub(crate) fn accept_report(&mut self, server: &ServerName, incarnation: u64) -> bool {
        let known = self.broker.incarnation(server);
        let departure = (server.clone(), incarnation);
        if known.is_some_and(|known| known > incarnation) || self.departed.contains(&departure) {
            return false;
        }
        self.broker.mark_leaving(server, Some(incarnation));
        self.departing.insert(departure)
    }

    pub(crate) fn release(
        &mut self,
        requester: &RequesterId,
        report: &RunReport,
        work: Option<WorkPercent>,
        now: Instant,
    ) {
        self.pending.remove(&(requester.clone(), report.ticket));
        self.broker.release_stated(requester, report, work, now);
    }

    /// Handles a sync: records the state of a host and replies with newer state. `members`
    /// are the hosts of the control group; some may not have synced with this leader yet.
    pub(crate) fn sync(
        &mut self,
        request: &SyncRequest,
        members: &[SocketAddr],
        now: Instant,
    ) -> SyncAnswer {
        self.directory.refresh(&self.broker, now);
        self.record_host(request, now);
        self.broker.restore_quarantine(&request.quarantined, now);
        self.broker.restore_crashes(&request.crashes.0, now);
        for (service, traits) in &request.proven.0 {
            self.broker.record_proven(service, traits, now);
        }
        self.broker
            .reconcile(&request.requester, &request.active, now);
        let term = self.term.unwrap_or_default().0;
        let number = (term, self.directory.version);
        let directory = match request.role {
            _ if number == request.directory => None,
            HostRole::Entry => self.directory.of_zone(&request.zone),
            HostRole::Control => self.directory.all.clone(),
            // Store hosts run nothing without the broker.
            HostRole::Store => None,
        };
        let directory = directory.map(|servers| (number, servers));
        let is_outdated = request.plan < self.plan.version();
        let plan = self.encoded.clone().filter(|_| is_outdated);
        let views = self.views(members, now);
        let (hosts, mut store) = (views.control_hosts.clone(), views.store.clone());
        if request.role != HostRole::Store {
            // Only store hosts give seats of the job group.
            store.retiring.clear();
        }
        let crashes = Tail(views.crashes.clone());
        SyncAnswer {
            hosts,
            plan,
            directory,
            reserves: self.refill_reserves(request, now),
            roster: self.roster_update(request),
            quarantine: self.quarantine_update(request, now),
            tunnel_hosts: self.tunnel_hosts(request, now),
            store,
            crashes,
        }
    }

    /// The views that are the same for all hosts, as of at most [`VIEWS_INTERVAL`] ago.
    fn views(&mut self, members: &[SocketAddr], now: Instant) -> &SharedViews {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < VIEWS_INTERVAL;
        if !self.views.computed_at.is_some_and(is_recent) {
            self.hosts
                .retain(|_, host| now.saturating_duration_since(host.last_sync_at) < HOST_EXPIRY);
            let mut control_hosts = self.addresses(HostRole::Control, now);
            control_hosts.extend(members);
            control_hosts.sort_unstable();
            control_hosts.dedup();
            self.views = SharedViews {
                computed_at: Some(now),
                control_hosts,
                store: self.store_view(now),
                crashes: self.broker.open_crashes(now),
            };
        }
        &self.views
    }

    /// The addresses of the next hosts to tell that a new plan or drain is in force.
    pub(crate) fn take_plan_notices(&mut self) -> Vec<SocketAddr> {
        let (hosts, version) = (&self.hosts, self.plan.version());
        let (term, drained) = (self.term.unwrap_or_default(), self.drained_directory);
        let is_outdated = |name: &HostName| {
            let host = hosts.get(name);
            host.is_some_and(|host| {
                host.plan < version || Self::holds_earlier_drains(term, drained, host)
            })
        };
        let outdated = self.notices.take(is_outdated);
        let records = outdated.iter().filter_map(|name| hosts.get(name));
        records.map(|host| host.address).collect()
    }

    /// Whether a slot request may be made under a plan: the plan in force, or an older one
    /// as long as hosts are still fetching the one in force.
    pub(crate) fn accepts_plan(&self, plan: PlanVersion, grace: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < grace;
        plan >= self.plan.version() || self.replaced_plan_at.is_some_and(is_recent)
    }

    fn record_host(&mut self, request: &SyncRequest, now: Instant) {
        let record = HostRecord {
            role: request.role,
            address: request.address,
            zone: request.zone.clone(),
            last_sync_at: now,
            plan: request.plan,
            directory: (self.term.unwrap_or_default().0, self.directory.version),
            offers_tunnels: request.tunnels.offers,
            store: request.store.clone(),
        };
        if request.role == HostRole::Store {
            self.first_store_seen_at.get_or_insert(now);
        }
        self.repair.record_zone(request.address, &request.zone);
        self.hosts.insert(request.requester.host.clone(), record);
        if request.role == HostRole::Entry {
            let zone = &request.zone;
            self.roster
                .record(request.address, zone, request.detached, now);
        }
    }

    /// The entry hosts that a host needs to know, if it holds an older roster.
    fn roster_update(&self, request: &SyncRequest) -> Option<RosterUpdate> {
        let number = (self.term.unwrap_or_default().0, self.holders.version());
        if number == request.roster {
            return None;
        }
        let (zone, members) = match request.role {
            HostRole::Entry => (self.holders.zone(&request.zone), Vec::new()),
            HostRole::Control => (ZoneRoster::default(), self.holders.members()),
            HostRole::Store => return None,
        };
        Some(RosterUpdate {
            number,
            zone,
            members,
        })
    }

    /// The prompt segments in quarantine, if a host holds others.
    fn quarantine_update(&self, request: &SyncRequest, now: Instant) -> Option<QuarantineUpdate> {
        let term = self.term.unwrap_or_default().0;
        let number = (term, self.broker.quarantine_version());
        (number != request.quarantine).then(|| QuarantineUpdate {
            number,
            segments: self.broker.quarantined_segments(now),
        })
    }

    /// Some entry hosts that offer tunnels, if a host needs them.
    fn tunnel_hosts(&self, request: &SyncRequest, now: Instant) -> Option<Vec<RosterMember>> {
        if !request.tunnels.needs {
            return None;
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TUNNEL_HOST_SILENCE_MAX;
        let hosts = self.hosts.values();
        let offering = hosts.filter(|host| host.offers_tunnels && is_recent(host.last_sync_at));
        let members = offering.map(|host| RosterMember {
            address: host.address,
            zone: host.zone.clone(),
        });
        Some(choose_tunnel_hosts(request.address, members))
    }

    fn refill_reserves(&mut self, request: &SyncRequest, now: Instant) -> Vec<(TeamName, u32)> {
        if request.role != HostRole::Entry {
            return Vec::new();
        }
        let held: HashMap<&TeamName, u32> = request
            .reserves
            .iter()
            .map(|(team, count)| (team, *count))
            .collect();
        let mut added = Vec::new();
        for name in self.holders.teams_of(request.address) {
            let Some(team) = self.plan.team(name) else {
                continue;
            };
            let count = held.get(name).copied().unwrap_or_default();
            let more = self.broker.top_up(team, count, now);
            if more > 0 {
                added.push((name.clone(), more));
            }
        }
        added
    }

    pub(crate) fn addresses(&self, role: HostRole, now: Instant) -> Vec<SocketAddr> {
        let of_role = |host: &&HostRecord| {
            host.role == role && now.saturating_duration_since(host.last_sync_at) < HOST_EXPIRY
        };
        let hosts = self.hosts.values().filter(of_role);
        hosts.map(|host| host.address).collect()
    }

    fn store_view(&self, now: Instant) -> StoreView {
        let leader = self
            .hosts
            .values()
            .filter_map(|host| Some((host.store.as_ref()?.leading_term?, host.address)))
            .max();
        // A drained host has to stay without a seat for as long as it runs.
        let hosts = self.retiring.iter();
        let retiring =
            hosts.flat_map(|(host, (address, _))| self.retired_addresses(host, *address));
        StoreView {
            bootstrap_members: self.store_bootstrap_members.clone(),
            leader: leader.map(|(_, address)| address),
            hosts: self.addresses(HostRole::Store, now),
            retiring: retiring.collect(),
        }
    }

    /// The addresses at which a retiring host is reached: the one that is recorded, unless
    /// another host has taken it over, and the one from which the host reports now.
    fn retired_addresses(&self, host: &HostName, recorded: SocketAddr) -> BTreeSet<SocketAddr> {
        let is_reused = |(name, other): (&HostName, &HostRecord)| {
            name != host && other.address == recorded && other.role == HostRole::Store
        };
        let recorded = Some(recorded).filter(|_| !self.hosts.iter().any(is_reused));
        let current = self.hosts.get(host).map(|record| record.address);
        recorded.into_iter().chain(current).collect()
    }

    /// The host that leads the job group, if known, and all store hosts.
    pub(crate) fn job_hosts(&self, now: Instant) -> (Option<SocketAddr>, Vec<SocketAddr>) {
        let view = self.store_view(now);
        (view.leader, view.hosts)
    }

    /// The bootstrap members of the job group, once enough new store hosts have reported
    /// or the wait for them is over; `None` if they are decided already.
    pub(crate) fn choose_store_members(
        &self,
        voters: usize,
        now: Instant,
    ) -> Option<BTreeMap<SeatId, SocketAddr>> {
        if self.store_bootstrap_members.is_some() {
            return None;
        }
        let is_new = |host: &&HostRecord| {
            let report = host.store.as_ref();
            report.is_some_and(|report| report.first_start && report.seat.is_none())
        };
        let candidates: Vec<(SocketAddr, ZoneName)> = self
            .hosts
            .values()
            .filter(is_new)
            .map(|host| (host.address, host.zone.clone()))
            .collect();
        let mut addresses = spread_over_zones(&candidates, voters);
        let elapsed = now.saturating_duration_since(self.first_store_seen_at?);
        if most_in_one_zone(&candidates, &addresses) > zone_voters_max(voters)
            && elapsed < ZONES_WAIT
        {
            return None;
        }
        if addresses.len() < voters {
            if elapsed < BOOTSTRAP_WAIT || addresses.is_empty() {
                return None;
            }
            // An even number tolerates no more losses than the odd number below it.
            let odd = addresses.len() - usize::from(addresses.len().is_multiple_of(2));
            addresses.truncate(odd);
        }
        let seats = (1..).map(SeatId);
        Some(seats.zip(addresses).collect())
    }

    /// A retiring host without a seat in the job group, as the group's leader reports.
    pub(crate) fn drained_host(&self) -> Option<HostName> {
        let leaders = self.hosts.values().filter_map(|host| host.store.as_ref());
        let report = leaders.max_by_key(|report| report.leading_term)?;
        report.leading_term?;
        let has_left = |(host, (recorded, is_drained)): &(&HostName, &(SocketAddr, bool))| {
            let is_barred = |address: &SocketAddr| {
                report.retiring.contains(address) && !report.members.contains(address)
            };
            !is_drained
                && self
                    .retired_addresses(host, *recorded)
                    .iter()
                    .all(is_barred)
        };
        let drained = self.retiring.iter().find(has_left);
        drained.map(|(host, _)| host.clone())
    }

    /// Checks that a store host may retire; returns its address.
    ///
    /// # Errors
    ///
    /// Fails if the host is unknown, or fewer than `voters` other store hosts would
    /// remain.
    pub(crate) fn may_retire(
        &self,
        host: &HostName,
        voters: usize,
        now: Instant,
    ) -> Result<SocketAddr, crate::control::ControlFailure> {
        let record = self
            .hosts
            .get(host)
            .filter(|host| host.role == HostRole::Store);
        let record = record.ok_or(crate::control::ControlFailure::UnknownHost)?;
        let remains = |(name, other): (&HostName, &HostRecord)| {
            let running = now.saturating_duration_since(other.last_sync_at) < HOST_SILENT_AFTER;
            let is_store = other.role == HostRole::Store;
            running && is_store && name != host && !self.retiring.contains_key(name)
        };
        let remaining = self
            .hosts
            .iter()
            .filter(|(name, other)| remains((name, other)));
        if remaining.count() < voters {
            return Err(crate::control::ControlFailure::TooFewHosts);
        }
        Ok(record.address)
    }
}

/// The most of the chosen hosts that are in one zone.
fn most_in_one_zone(candidates: &[(SocketAddr, ZoneName)], chosen: &[SocketAddr]) -> usize {
    let mut zones: HashMap<&ZoneName, usize> = HashMap::new();
    for (_, zone) in candidates.iter().filter(|(host, _)| chosen.contains(host)) {
        *zones.entry(zone).or_default() += 1;
    }
    zones.into_values().max().unwrap_or_default()
}

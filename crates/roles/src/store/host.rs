//! The store host: RPC handler, control relay and membership repair of the job group.

use super::leader::{JobLeader, lead};
use crate::bootstrap::ControlAddresses;
use crate::connection_pool::ConnectionPool;
use crate::control::{ControlRelay, ControlService, drain_relay};
use crate::entry::{log_view_change, serve};
use crate::event_log::EventLog;
use crate::fleet_view::{FleetView, SyncReporter, run_sync};
use crate::leader_client::LeaderClient;
use crate::membership_change::apply_change;
use crate::message::{
    BatchCall, BatchReply, BootstrapAnswer, BootstrapCall, Call, ControlAnswer, GroupReply,
    HostRole, Notice, StoreReport, TunnelReport, encode,
};
use crate::metrics::{MetricsService, RoleMetrics};
use crate::ports::ServerDialect;
use crate::process::{ProcessBase, ProcessError};
use crate::seat_handover::SeatHandover;
use crate::seat_manager::{SeatCell, SeatManager, SeatSource};
use crate::seat_opener::SeatOpener;
use crate::server_marks::ServerMarks;
use crate::server_run::ServerRunner;
use crate::slot_client::SlotClient;
use crate::tunnels::server_dialer;
use bytes::Bytes;
use chicoryladder_batch::{BatchAnswer, BatchCommand, BatchMachine};
use chicoryladder_consensus::MembershipChange;
use chicoryladder_gateway::{HttpListener, ListenerLimits};
use chicoryladder_group::{
    BootstrapMembers, GroupHandle, GroupStatus, JoinAnswer, JoinRequest, MembershipRepair,
    ProposeFailure,
};
use chicoryladder_rpc::{PeerIdentity, RpcHandler};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{GroupId, SeatId};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde_json::json;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

/// The id of the job group.
const JOB_GROUP: GroupId = GroupId(1);

/// The timeout of one seat request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The minimum interval between two checks for membership changes. There is no check
/// while a change is in progress, which takes longer if a new member has to catch up.
const REPAIR_INTERVAL: Duration = Duration::from_millis(50);

/// A running store host.
pub struct StoreHost {
    shared: Arc<StoreShared>,
    /// Accepts the calls of operators and servers, if the settings give an address.
    relay: Option<HttpListener>,
    opener: SeatOpener,
    /// The task that obtains a seat.
    seat_task: AbortHandle,
    tasks: JoinSet<()>,
}

/// The state that the tasks and handlers of a store host share.
pub(super) struct StoreShared {
    pub(super) base: ProcessBase,
    pub(super) view: FleetView,
    pub(super) slots: SlotClient,
    pub(super) runner: ServerRunner,
    pub(super) log: EventLog,
    metrics: Arc<RoleMetrics>,
    /// Wakes the task of the leader.
    pub(super) work_due: Notify,
    job_client: LeaderClient,
    /// Finds the leader of the control group.
    control_client: LeaderClient,
    control_addresses: Arc<ControlAddresses>,
    seat: SeatCell<BatchMachine>,
    leader: Mutex<JobLeader>,
    repair: Mutex<MembershipRepair>,
    is_repairing: Arc<AtomicBool>,
    last_repair_at: Mutex<Option<Instant>>,
}

impl StoreHost {
    /// Starts a store host.
    ///
    /// # Errors
    ///
    /// Fails if an address or the data folder cannot be used.
    pub async fn start(
        settings: ProcessSettings,
        servers: Arc<dyn ServerDialect>,
        control: Arc<dyn ControlService>,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, ProcessError> {
        let folder = settings
            .data_folder
            .clone()
            .ok_or(ProcessError::MissingSetting("data", "folder"))?;
        let base = ProcessBase::new(settings, clock)?;
        let client = base.control_client();
        let control_addresses = Arc::new(ControlAddresses::open(&folder)?);
        client.add_seeds(&control_addresses.addresses());
        let view = FleetView::new();
        let log = EventLog::start("store")?;
        let metrics = Arc::new(RoleMetrics::new()?);
        let marks = ServerMarks::new(base.clock.clone(), log.clone(), metrics.clone());
        let dialer = server_dialer(&base, &view, &log);
        let runner = ServerRunner {
            pool: ConnectionPool::new(base.clock.clone(), dialer),
            dialect: servers,
            marks: marks.clone(),
        };
        let shared = Arc::new(StoreShared {
            slots: SlotClient::new(base.clone(), client.clone(), view.clone(), marks),
            job_client: LeaderClient::new(base.rpc.clone(), base.clock.clone(), Vec::new()),
            log,
            metrics,
            work_due: Notify::new(),
            control_client: client.clone(),
            control_addresses,
            seat: SeatCell::default(),
            leader: Mutex::new(JobLeader::new()),
            repair: Mutex::default(),
            is_repairing: Arc::default(),
            last_repair_at: Mutex::new(None),
            view,
            runner,
            base,
        });
        let base = &shared.base;
        base.serve(Arc::new(StoreHandler(shared.clone()))).await?;
        let opener = SeatOpener {
            group: JOB_GROUP,
            folder,
            rpc: base.rpc.clone(),
            clock: base.clock.clone(),
        };
        let mut tasks = JoinSet::new();
        let reporter = reporter(&shared);
        tasks.spawn(run_sync(
            base.clone(),
            client,
            shared.view.clone(),
            reporter,
        ));
        let seat_task = tasks.spawn(manage_seat(shared.clone(), opener.clone()));
        tasks.spawn(lead(shared.clone()));
        serve_metrics(&shared, &mut tasks).await?;
        let relay = match base.settings.listen.control {
            Some(address) => Some(start_relay(&shared, address, &*control).await?),
            None => None,
        };
        shared
            .log
            .note("started", &json!({ "host": base.settings.host.name }));
        Ok(Self {
            shared,
            relay,
            opener,
            seat_task,
            tasks,
        })
    }

    /// Transfers the leadership and the seat, drains the relayed calls and stops.
    pub async fn shutdown(mut self) {
        self.shared.log.note("stopping", &json!({}));
        self.seat_task.abort();
        let handover = SeatHandover {
            cell: &self.shared.seat,
            source: &StoreSeatSource(self.shared.clone()),
            opener: &self.opener,
            log: &self.shared.log,
            timeout: self.shared.base.settings.bounds.drain_timeout / 2,
        };
        let draining = async {
            if let Some(relay) = self.relay {
                drain_relay(relay).await;
            }
        };
        tokio::join!(handover.run(), draining);
        self.tasks.shutdown().await;
    }
}

async fn start_relay(
    shared: &Arc<StoreShared>,
    address: SocketAddr,
    service: &dyn ControlService,
) -> Result<HttpListener, ProcessError> {
    let relay = ControlRelay {
        base: shared.base.clone(),
        client: shared.control_client.clone(),
        log: shared.log.clone(),
        port: address.port(),
        seat: None,
    };
    relay.listen(address, service).await
}

async fn serve_metrics(
    shared: &Arc<StoreShared>,
    tasks: &mut JoinSet<()>,
) -> Result<(), ProcessError> {
    let Some(address) = shared.base.settings.listen.metrics else {
        return Ok(());
    };
    let limits = ListenerLimits {
        header_max_bytes: 16 * 1024,
        header_timeout: Duration::from_secs(60),
    };
    let gauge_source = shared.clone();
    let service = MetricsService {
        metrics: shared.metrics.clone(),
        gauges: Box::new(move || {
            let now = gauge_source.now();
            let mut gauges = gauge_source.status().gauges(now);
            let standbys = gauge_source.repair().standby_count(now);
            let standbys = u32::try_from(standbys).unwrap_or(u32::MAX);
            let (requested, paused) = gauge_source.leader().slot_requests(now);
            gauges.extend([
                ("group_standbys", f64::from(standbys)),
                ("runs", gauge_source.slots.active_count()),
                ("items_waiting", gauge_source.leader().items_waiting(now)),
                ("slots_requested", requested),
                ("slot_needs_paused", paused),
            ]);
            gauges.extend(gauge_source.base.machine.levels());
            gauges
        }),
    };
    let machine = shared.base.machine.reserved();
    serve(
        tasks,
        "metrics",
        address,
        limits,
        machine,
        Arc::new(service),
    )
    .await
}

impl StoreShared {
    fn group(&self) -> Option<GroupHandle<BatchMachine>> {
        self.seat.group()
    }

    pub(super) fn leader(&self) -> MutexGuard<'_, JobLeader> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn repair(&self) -> MutexGuard<'_, MembershipRepair> {
        self.repair.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Instant {
        self.base.clock.now()
    }

    pub(super) fn status(&self) -> GroupStatus {
        self.seat.status()
    }

    /// Whether this host holds the leader lease and has set up its state for the term.
    pub(super) fn leads(&self) -> bool {
        let term = self.seat.leading_term();
        term.is_some() && self.leader().term == term
    }

    pub(super) fn not_leader<T>(&self) -> GroupReply<T> {
        GroupReply::not_leader(&self.status(), self.base.rpc.identity().address)
    }

    pub(super) async fn propose(
        &self,
        command: &BatchCommand,
    ) -> Result<BatchAnswer, ProposeFailure> {
        let refused = |error: postcard::Error| ProposeFailure::Refused(error.to_string());
        let group = self.group().ok_or(ProposeFailure::NotLeader)?;
        let command = postcard::to_stdvec(command).map_err(refused)?;
        let answer = group.propose(command).await?;
        postcard::from_bytes(&answer).map_err(refused)
    }

    /// Proposes a command without waiting for the result, in order with the other
    /// proposals of this thread.
    pub(super) fn propose_detached(&self, command: &BatchCommand) -> Result<(), ProposeFailure> {
        let refused = |error: postcard::Error| ProposeFailure::Refused(error.to_string());
        let group = self.group().ok_or(ProposeFailure::NotLeader)?;
        group.propose_detached(postcard::to_stdvec(command).map_err(refused)?)
    }

    /// Reads the replicated state as the leader; `None` if this host does not lead.
    pub(super) async fn read<R: Send + 'static>(
        &self,
        query: impl FnOnce(&BatchMachine) -> R + Send + 'static,
    ) -> Option<R> {
        self.group()?.read(query).await.ok()
    }

    /// Starts the next membership change, if one is due. A retiring leader first transfers
    /// its leadership once its replacement is a voter.
    pub(super) fn start_repair(&self, status: &GroupStatus) {
        if !self.take_repair_turn() {
            return;
        }
        let Some(group) = self.group() else {
            return;
        };
        // Set before the retiring hosts are read, so that a report made meanwhile does not
        // bar a host from seats to which one is being given.
        if self.is_repairing.swap(true, Ordering::SeqCst) {
            return;
        }
        let Some(change) = self.next_change(status, &group) else {
            self.is_repairing.store(false, Ordering::SeqCst);
            return;
        };
        let done = self.is_repairing.clone();
        let log = self.log.clone();
        tokio::spawn(async move {
            apply_change(&group, change, &log).await;
            done.store(false, Ordering::SeqCst);
        });
    }

    /// The next membership change. A retiring leader that is replaced hands over instead.
    fn next_change(
        &self,
        status: &GroupStatus,
        group: &GroupHandle<BatchMachine>,
    ) -> Option<MembershipChange> {
        let retiring: HashSet<SocketAddr> = self.view.store().retiring.into_iter().collect();
        let voters = self.base.settings.control.voters();
        let change = self
            .repair()
            .next_change(status, &retiring, voters, self.now());
        if retiring.contains(&self.base.rpc.identity().address) {
            let is_replaced = status.members.iter().filter(|m| is_voter(m)).count() > voters;
            if is_replaced {
                group.transfer_leadership();
                return None;
            }
        }
        // A host that the leader before reported as drained may be among the standbys.
        let synced_at = self.view.fresh_at();
        let is_informed = synced_at.is_some() && synced_at >= self.leader().began_at;
        change
            .filter(|change| is_informed || !matches!(change, MembershipChange::AddLearner { .. }))
    }

    pub(super) fn leave_seat(&self, request: &JoinRequest) -> JoinAnswer {
        let voters = self.base.settings.control.voters();
        let status = self.status();
        let now = self.now();
        self.repair().handle_leave(&status, request, voters, now)
    }

    /// Whether a check for membership changes is due; if so, the next one is due a
    /// [`REPAIR_INTERVAL`] later.
    fn take_repair_turn(&self) -> bool {
        let now = self.now();
        let mut last_repair_at = self
            .last_repair_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_due = last_repair_at.is_none_or(|at| now >= at + REPAIR_INTERVAL);
        if is_due {
            *last_repair_at = Some(now);
        }
        is_due
    }

    /// Records durably which control host bootstraps its group as the only member; `None`
    /// if that fails.
    async fn appoint(&self, candidate: SocketAddr) -> Option<SocketAddr> {
        let addresses = self.control_addresses.clone();
        let appointed = tokio::task::spawn_blocking(move || addresses.appoint(candidate)).await;
        match appointed.map_err(std::io::Error::other).flatten() {
            Ok(sole_member) => {
                self.control_client.add_seeds(&[sole_member]);
                let fields = json!({ "candidate": candidate, "founder": sole_member });
                self.log.note("founder_appointed", &fields);
                Some(sole_member)
            }
            Err(error) => {
                let fields = json!({ "candidate": candidate, "cause": error.to_string() });
                self.log.note("founder_not_recorded", &fields);
                None
            }
        }
    }

    fn report(&self, first_start: bool) -> StoreReport {
        let group = self.group();
        let status = self.status();
        let leads = status.holds_lease(self.now());
        let members = status.members.iter().map(|member| member.address);
        let retiring = self.view.store().retiring;
        let is_repairing = self.is_repairing.load(Ordering::SeqCst);
        StoreReport {
            seat: group.map(|_| status.seat),
            first_start,
            leading_term: leads.then_some(status.term.0),
            members: if leads { members.collect() } else { Vec::new() },
            // A removal that is not committed may still be undone, and a change under way may
            // give a seat to a host that was not known to retire when it was decided on.
            retiring: if status.membership_committed && !is_repairing {
                retiring
            } else {
                Vec::new()
            },
        }
    }

    /// Updates the hosts and the leader of the job group from the view of the fleet.
    fn update_job_hosts(&self) {
        let store = self.view.store();
        let own_address = self.base.rpc.identity().address;
        let others: Vec<SocketAddr> = store
            .hosts
            .iter()
            .copied()
            .filter(|host| *host != own_address)
            .collect();
        self.job_client.set_hosts(&others);
        if self.job_client.leader().is_none() {
            self.job_client
                .set_leader(store.leader.filter(|leader| *leader != own_address));
        }
    }
}

fn is_voter(member: &chicoryladder_group::MemberStatus) -> bool {
    member.role == chicoryladder_consensus::MemberRole::Voter
}

fn reporter(shared: &Arc<StoreShared>) -> SyncReporter {
    let slots = shared.slots.clone();
    let log = shared.log.clone();
    let dialer = shared.runner.pool.dialer().clone();
    let shared = shared.clone();
    let first_start = shared.base.settings.control.first_start;
    SyncReporter {
        role: HostRole::Store,
        active: Box::new(move || slots.active()),
        on_hosts: {
            let addresses = shared.control_addresses.clone();
            Box::new(move |hosts| addresses.save_hosts(hosts))
        },
        marks: Some(shared.runner.marks.clone()),
        // Store hosts get no directory.
        on_directory: Box::new(|| {}),
        tunnels: Box::new(move |now| TunnelReport {
            offers: false,
            needs: dialer.paths().needs_tunnels(now),
        }),
        store: Box::new(move || Some(shared.report(first_start))),
        on_change: Box::new(move |change| log_view_change(&log, change)),
    }
}

/// Handles the calls and notices of other hosts.
struct StoreHandler(Arc<StoreShared>);

impl RpcHandler for StoreHandler {
    fn call(&self, peer: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        let shared = self.0.clone();
        match postcard::from_bytes(&payload) {
            Ok(Call::Bootstrap(call)) => async move {
                let answer = match call {
                    BootstrapCall::Role => BootstrapAnswer::Role(HostRole::Store),
                    BootstrapCall::SoleMember => {
                        BootstrapAnswer::SoleMember(shared.appoint(peer.address).await)
                    }
                };
                encode("store", &answer)
            }
            .boxed(),
            Ok(Call::Batch(call)) => async move {
                let reply: GroupReply<BatchReply> = shared.handle_call(call).await;
                encode("store", &reply)
            }
            .boxed(),
            // A host whose settings list this host as a seed calls it to find the leader
            // of the control group.
            Ok(Call::Control(_)) => {
                let leader = shared.control_client.leader();
                let reply = GroupReply::<ControlAnswer>::NotLeader { leader };
                std::future::ready(encode("store", &reply)).boxed()
            }
            Ok(Call::Reserve(_)) => std::future::ready(None).boxed(),
            Err(error) => {
                log::warn!("store: failed to decode a call: {error}.");
                std::future::ready(None).boxed()
            }
        }
    }

    fn notice(&self, peer: &PeerIdentity, payload: Bytes) {
        match postcard::from_bytes(&payload) {
            Ok(Notice::Seat(envelope)) => {
                // A bootstrap member never requests its seat, so that its zone is known only
                // from its messages.
                self.0.repair().record_zone(peer.address, &peer.zone);
                self.0.seat.deliver(envelope, peer.address);
            }
            Ok(Notice::Stop { ticket }) => self.0.slots.stop(ticket),
            Ok(Notice::Changed) => self.0.view.request_sync(),
            Ok(Notice::Release { .. }) => {}
            Err(error) => log::warn!("store: failed to decode a notice: {error}."),
        }
    }
}

/// Obtains the seat of a store host in the job group.
struct StoreSeatSource(Arc<StoreShared>);

impl SeatSource for StoreSeatSource {
    fn bootstrap_members(&self) -> Option<BootstrapMembers> {
        self.0.view.store().bootstrap_members
    }

    fn request_seat(&self, seat: Option<SeatId>) -> BoxFuture<'_, Option<JoinAnswer>> {
        let request = self.0.base.join_request(seat);
        self.call_leader(BatchCall::Join(request)).boxed()
    }

    fn leave_seat(&self, seat: SeatId) -> BoxFuture<'_, Option<JoinAnswer>> {
        let request = self.0.base.join_request(Some(seat));
        async move {
            if self.0.leads() {
                return Some(self.0.leave_seat(&request));
            }
            self.call_leader(BatchCall::LeaveSeat(request)).await
        }
        .boxed()
    }
}

impl StoreSeatSource {
    /// Sends a request about a seat to the host that leads according to this process.
    async fn call_leader(&self, call: BatchCall) -> Option<JoinAnswer> {
        self.0.update_job_hosts();
        let client = &self.0.job_client;
        let call = Call::Batch(call);
        let answer = client.call_once(&call, JOIN_TIMEOUT, JOIN_TIMEOUT).await;
        match answer {
            Ok(BatchReply::Seat(answer)) => Some(answer),
            Ok(_) | Err(_) => None,
        }
    }
}

async fn manage_seat(shared: Arc<StoreShared>, opener: SeatOpener) {
    let source = StoreSeatSource(shared.clone());
    let manager = SeatManager {
        cell: &shared.seat,
        source: &source,
        opener,
        log: shared.log.clone(),
        first_start: shared.base.settings.control.first_start,
    };
    manager.run().await;
}

//! The entry host: start, readiness, metrics and shutdown.

use super::forward::RequestForwarder;
use super::jobs::JobGateway;
use super::matching::RequestMatcher;
use super::rotation::{RotationState, StopPeriod};
use super::service::EntryService;
use crate::connection_pool::ConnectionPool;
use crate::event_log::EventLog;
use crate::fleet_view::{FleetView, SyncReporter, TunnelReporter, ViewChange, run_sync};
use crate::leader_client::LeaderClient;
use crate::message::{Call, HostRole, Notice, ReserveCall, TunnelReport, encode};
use crate::metrics::{GaugeReader, MetricsService, RoleMetrics};
use crate::ports::{CallerDialect, ServerDialect};
use crate::process::{ProcessBase, ProcessError};
use crate::server_marks::ServerMarks;
use crate::server_run::ServerRunner;
use crate::slot_client::SlotClient;
use crate::tunnels::server_dialer;
use bytes::Bytes;
use chicoryladder_dialer::ServerDialer;
use chicoryladder_gateway::{AnswerBody, HttpListener, HttpService, ListenerLimits, MachineBounds};
use chicoryladder_rpc::{PeerIdentity, RpcHandler, RpcServer, TunnelRequest};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The limits on connections. Plans set lower limits on heads; the time for which a connection
/// may be idle exceeds the value of any plan, so that callers close first.
const CALLER_LIMITS: ListenerLimits = ListenerLimits {
    header_max_bytes: 64 * 1024,
    header_timeout: Duration::from_secs(75),
};

/// The maximum age of the view at which the host is ready. It is longer than a leader
/// election takes.
const READY_AGE: Duration = Duration::from_millis(2_600);

/// The maximum age of the view at which an isolated host is ready. Beyond it, hosts of
/// other zones serve callers better.
const ISOLATED_AGE: Duration = Duration::from_secs(1);

/// The period within which half of the control hosts must have answered for a host not
/// to count as isolated.
const ISOLATION_PERIOD: Duration = Duration::from_millis(1_600);

/// The time after a stop request during which new connections are still accepted,
/// since the load balancer needs two readiness probes to notice.
const READINESS_NOTICE: Duration = Duration::from_millis(2_600);

/// The part of the drain timeout that is reserved for the shutdown after the drain.
const DRAIN_RESERVE: Duration = Duration::from_millis(400);

/// The part of the drain timeout in which the last answers are written.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);

/// A running entry host.
pub struct EntryHost {
    clock: Arc<dyn ClockSource>,
    rotation: Arc<RotationState>,
    drain_timeout: Duration,
    callers: HttpListener,
    peers: RpcServer,
    log: EventLog,
    tasks: JoinSet<()>,
}

impl EntryHost {
    /// Starts an entry host.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be used.
    pub async fn start(
        settings: ProcessSettings,
        callers: Arc<dyn CallerDialect>,
        servers: Arc<dyn ServerDialect>,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, ProcessError> {
        let absent = |key| ProcessError::MissingSetting("listen", key);
        let caller_address = settings.listen.callers.ok_or(absent("callers"))?;
        let readiness_address = settings.listen.readiness.ok_or(absent("readiness"))?;
        let base = ProcessBase::new(settings, clock)?;
        let log = EventLog::start("entry")?;
        let metrics = Arc::new(RoleMetrics::new()?);
        let view = FleetView::new();
        let client = base.control_client();
        let marks = ServerMarks::new(base.clock.clone(), log.clone(), metrics.clone());
        let slots = SlotClient::new(base.clone(), client.clone(), view.clone(), marks.clone());
        let control_client = client.clone();
        let rotation = Arc::new(RotationState::default());
        let dialer = server_dialer(&base, &view, &log);
        let handler = EntryHandler {
            slots: slots.clone(),
            view: view.clone(),
            dialer: dialer.clone(),
            log: log.clone(),
        };
        let gauge_sources = (slots.clone(), view.clone(), dialer.clone());
        let peers = base.serve(Arc::new(handler)).await?;
        let mut tasks = JoinSet::new();
        let tunnels = tunnel_reporter(&dialer, &rotation);
        let reporter = reporter(&slots, &marks, &log, tunnels);
        tasks.spawn(run_sync(base.clone(), client, view.clone(), reporter));
        let matcher = RequestMatcher {
            view: view.clone(),
            clock: base.clock.clone(),
            key_withdrawal: base.settings.bounds.key_withdrawal,
            started_at: base.clock.now(),
        };
        let runner = ServerRunner {
            pool: ConnectionPool::new(base.clock.clone(), dialer),
            dialect: servers,
            marks,
        };
        let forwarder = RequestForwarder {
            slots,
            runner,
            matcher: matcher.clone(),
            clock: base.clock.clone(),
            zone: base.settings.host.zone.clone(),
            log: log.clone(),
            metrics: metrics.clone(),
            machine: base.machine.clone(),
            longest_timeouts: Mutex::new(HashMap::new()),
            pressure: base.settings.features.pressure(),
        };
        let jobs = JobGateway::new(&base, &view, &log);
        let service = EntryService {
            dialect: callers.clone(),
            matcher,
            forwarder: Arc::new(forwarder),
            jobs,
            clock: base.clock.clone(),
            log: log.clone(),
            metrics: metrics.clone(),
            rotation: rotation.clone(),
        };
        let readiness = ReadinessService {
            dialect: callers,
            view,
            control: control_client,
            clock: base.clock.clone(),
            rotation: rotation.clone(),
        };
        let gauges = gauges(&gauge_sources, &base);
        let metrics = MetricsService { metrics, gauges };
        let readiness = (readiness_address, Arc::new(readiness));
        open_reserved_ports(&mut tasks, &base, readiness, metrics).await?;
        let machine = base.machine.clone();
        let service = Arc::new(service);
        let callers =
            HttpListener::start("callers", caller_address, CALLER_LIMITS, machine, service);
        let callers = callers.await?;
        log.note("started", &json!({ "host": base.settings.host.name }));
        Ok(Self {
            clock: base.clock.clone(),
            rotation,
            drain_timeout: base.settings.bounds.drain_timeout,
            callers,
            peers,
            log,
            tasks,
        })
    }

    /// Stops the host gracefully.
    ///
    /// Readiness is withdrawn first, new connections are accepted until the load
    /// balancer has noticed, and accepted requests are answered within the drain
    /// timeout.
    pub async fn shutdown(mut self) {
        let now = self.clock.now();
        let notice = READINESS_NOTICE.min(self.drain_timeout / 2);
        let reserve = DRAIN_RESERVE + ANSWER_RESERVE;
        self.rotation.drain(StopPeriod {
            noticed_at: now + notice,
            answer_by: now + self.drain_timeout.saturating_sub(reserve),
        });
        self.log.note("stopping", &json!({}));
        tokio::time::sleep(notice).await;
        let left = self
            .drain_timeout
            .saturating_sub(READINESS_NOTICE + DRAIN_RESERVE);
        let draining = async {
            tokio::join!(self.callers.drain(), self.peers.drain_tunnels());
        };
        let drained = tokio::time::timeout(left, draining).await.is_ok();
        self.log.note("stopped", &json!({ "drained": drained }));
        // The event log is written asynchronously.
        tokio::time::sleep(DRAIN_RESERVE / 2).await;
        self.tasks.shutdown().await;
    }
}

/// Opens the ports of probes and metrics.
async fn open_reserved_ports(
    tasks: &mut JoinSet<()>,
    base: &ProcessBase,
    (readiness_address, readiness): (SocketAddr, Arc<ReadinessService>),
    metrics: MetricsService,
) -> Result<(), ProcessError> {
    let (limits, machine) = (CALLER_LIMITS, base.machine.reserved());
    let open = machine.clone();
    serve(
        tasks,
        "readiness",
        readiness_address,
        limits,
        open,
        readiness,
    )
    .await?;
    if let Some(address) = base.settings.listen.metrics {
        serve(
            tasks,
            "metrics",
            address,
            limits,
            machine,
            Arc::new(metrics),
        )
        .await?;
    }
    Ok(())
}

/// Starts an HTTP listener that runs until `tasks` is shut down.
pub(crate) async fn serve(
    tasks: &mut JoinSet<()>,
    part: &'static str,
    address: SocketAddr,
    limits: ListenerLimits,
    machine: MachineBounds,
    service: Arc<dyn HttpService>,
) -> Result<(), ProcessError> {
    let listener = HttpListener::start(part, address, limits, machine, service).await?;
    tasks.spawn(async move {
        let _listener = listener;
        std::future::pending::<()>().await;
    });
    Ok(())
}

fn gauges(
    (slots, view, dialer): &(SlotClient, FleetView, ServerDialer),
    base: &ProcessBase,
) -> GaugeReader {
    let (slots, view, clock) = (slots.clone(), view.clone(), base.clock.clone());
    let dialer = dialer.clone();
    let machine = base.machine.clone();
    Box::new(move || {
        let age = view.age(clock.now());
        let detours = u32::try_from(dialer.paths().detours()).unwrap_or(u32::MAX);
        let mut gauges = vec![
            ("servers_detoured", f64::from(detours)),
            ("runs", slots.active_count()),
            ("without_broker", f64::from(u8::from(slots.is_brokerless()))),
            (
                "view_age_seconds",
                age.map_or(-1.0, |age| age.as_secs_f64()),
            ),
        ];
        gauges.extend(machine.levels());
        gauges
    })
}

fn reporter(
    slots: &SlotClient,
    marks: &ServerMarks,
    log: &EventLog,
    tunnels: TunnelReporter,
) -> SyncReporter {
    let marks = marks.clone();
    let log = log.clone();
    let (active, restarted) = (slots.clone(), slots.clone());
    SyncReporter {
        role: HostRole::Entry,
        active: Box::new(move || active.active()),
        store: Box::new(|| None),
        tunnels,
        marks: Some(marks),
        on_hosts: Box::new(|_| {}),
        on_directory: Box::new(move || restarted.note_restarts()),
        on_change: Box::new(move |change| log_view_change(&log, change)),
    }
}

/// Reports whether this host opens tunnels, and needs some.
fn tunnel_reporter(dialer: &ServerDialer, rotation: &Arc<RotationState>) -> TunnelReporter {
    let (dialer, rotation) = (dialer.clone(), rotation.clone());
    Box::new(move |now| {
        let paths = dialer.paths();
        TunnelReport {
            offers: paths.offers_tunnels() && !rotation.is_draining(),
            needs: paths.needs_tunnels(now),
        }
    })
}

/// Logs a change of the process's view of the fleet.
pub(crate) fn log_view_change(log: &EventLog, change: ViewChange) {
    match change {
        ViewChange::Plan(version) => log.note("plan_in_force", &json!({ "version": version.0 })),
        ViewChange::LeaderLost => log.note("control_lost", &json!({})),
        ViewChange::LeaderFound => log.note("control_found", &json!({})),
    }
}

struct EntryHandler {
    slots: SlotClient,
    view: FleetView,
    dialer: ServerDialer,
    log: EventLog,
}

impl RpcHandler for EntryHandler {
    fn call(&self, _: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        let reply = match postcard::from_bytes(&payload) {
            Ok(Call::Reserve(ReserveCall::Take { team })) => {
                encode("entry", &self.slots.take_held_reserve(&team))
            }
            Ok(Call::Control(_) | Call::Batch(_) | Call::Bootstrap(_)) => None,
            Err(error) => {
                log::warn!("entry: failed to decode a call: {error}.");
                None
            }
        };
        std::future::ready(reply).boxed()
    }

    fn notice(&self, _: &PeerIdentity, payload: Bytes) {
        match postcard::from_bytes(&payload) {
            Ok(Notice::Changed) => self.view.request_sync(),
            Ok(Notice::Stop { ticket }) => self.slots.stop(ticket),
            Ok(Notice::Seat(_) | Notice::Release { .. }) => {}
            Err(error) => log::warn!("entry: failed to decode a notice: {error}."),
        }
    }

    fn connect_tunnel(
        &self,
        peer: Arc<PeerIdentity>,
        request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        let (dialer, log) = (self.dialer.clone(), self.log.clone());
        async move {
            let connection = dialer.connect_for_peer(request.target).await;
            let fields = json!({
                "for": peer.host,
                "address": request.target,
                "opened": connection.is_some(),
            });
            log.routine("tunnel", &fields);
            connection
        }
        .boxed()
    }
}

/// Answers readiness probes of the load balancer.
struct ReadinessService {
    dialect: Arc<dyn CallerDialect>,
    view: FleetView,
    control: LeaderClient,
    clock: Arc<dyn ClockSource>,
    rotation: Arc<RotationState>,
}

impl HttpService for ReadinessService {
    fn call(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        let age = self.view.age(self.clock.now());
        let isolated = || self.control.is_isolated(ISOLATION_PERIOD);
        let fresh = age.is_some_and(|age| age < ISOLATED_AGE || (age < READY_AGE && !isolated()));
        let ready = fresh && !self.rotation.is_draining();
        self.rotation.record_probe(ready);
        std::future::ready(Ok(self.dialect.readiness(ready))).boxed()
    }
}

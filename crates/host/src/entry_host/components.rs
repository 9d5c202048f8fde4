//! Construction of a host's components and the connections between them.

mod services;

use super::{EntryHost, HostAddresses, HostError};
use crate::batch::{
    AttemptRunner, BatchDispatcher, DispatcherHandle, HostWatcher, JobSweeper, SlotRelay,
};
use crate::board::{BoardHandle, BoardTask};
use crate::ids::RandomIds;
use crate::limits::{LimitHandle, LimitTask, LimitTaskSettings};
use crate::metrics::HostMetrics;
use crate::peers::{PeerDirectory, PeerTask};
use crate::platform::DrainFlag;
use crate::quarantine::{QuarantineHandle, QuarantineTask, QuarantineTaskParts};
use crate::replica::{ReplicaDisk, ReplicaHandle, ReplicaInbox, ReplicaSettings, ReplicaTask};
use crate::routing::{DrainWatcher, RoutingHandle, RoutingLocation, RoutingNotice};
use crate::tombstones::{
    FileTombstones, NoTombstones, TombstoneHandle, TombstoneStore, TombstoneTask,
};
use crate::tunnels::HostTunnels;
use chicoryladder_gateway::{
    HttpListener, HttpService, ListenerLimits, MachineBounds, OperatorService, ServerClient,
    ServerConnector,
};
use chicoryladder_link::{InboundMessage, LinkIdentity, LinkTiming, PeerLink, PeerSecret};
use chicoryladder_settings::HostSettings;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// The longest time to receive the header fields of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum size of a batch job's request body, in bytes.
const JOB_MAX_BYTES: usize = 512 * 1024 * 1024;

/// Starts all components of a host.
pub(super) async fn start(
    settings: HostSettings,
    clock: Arc<dyn ClockSource>,
    ids: Arc<RandomIds>,
    metrics: Arc<HostMetrics>,
) -> Result<EntryHost, HostError> {
    let shared_secret = read_text(&settings.peers.secret_file)?;
    let operator_token = read_text(&settings.operators.token_file)?;
    let incarnation = incarnation(clock.since_epoch());
    let starting_link = start_link(&settings, &shared_secret, incarnation, clock.clone());
    let (link, messages) = starting_link.await?;
    let bounds = MachineBounds::new(settings.machine, clock.clone());
    let peer_bounds = Arc::new(bounds.clone());
    let tunnels = HostTunnels::start(
        &settings,
        &shared_secret,
        incarnation,
        clock.clone(),
        peer_bounds,
    );
    let ports = HostPorts {
        link,
        messages,
        tunnels: tunnels.await?,
        bounds,
    };
    let components = HostComponents::start(settings, clock, ids, metrics, ports)?;
    components.listen(shared_secret, operator_token).await
}

async fn start_link(
    settings: &HostSettings,
    shared_secret: &str,
    incarnation: u64,
    clock: Arc<dyn ClockSource>,
) -> Result<(PeerLink, mpsc::Receiver<InboundMessage>), HostError> {
    let identity = LinkIdentity {
        host: settings.host.name.clone(),
        zone: settings.host.zone.clone(),
        incarnation,
    };
    let secret = PeerSecret::try_from(shared_secret)?;
    let timing = LinkTiming::default();
    let link = PeerLink::start(settings.listen.peers, identity, secret, timing, clock);
    Ok(link.await?)
}

/// The inputs of the batch tasks.
struct BatchComponents<'a> {
    settings: &'a HostSettings,
    location: RoutingLocation,
    notices: mpsc::UnboundedReceiver<RoutingNotice>,
    directory: &'a PeerDirectory,
    replica: &'a ReplicaHandle,
    routing: &'a RoutingHandle,
    clock: &'a Arc<dyn ClockSource>,
    ids: &'a Arc<RandomIds>,
    drain: &'a DrainFlag,
    connector: &'a Arc<dyn ServerConnector>,
}

impl BatchComponents<'_> {
    fn start(self, tasks: &mut JoinSet<()>) -> DispatcherHandle {
        let slot_relay = SlotRelay {
            directory: self.directory.clone(),
            notices: self.notices,
        };
        tasks.spawn(slot_relay.run());
        let host_watcher = HostWatcher {
            location: self.location,
            directory: self.directory.clone(),
            routing: self.routing.clone(),
        };
        tasks.spawn(host_watcher.run());
        let sweeper = JobSweeper {
            replica: self.replica.clone(),
            ids: self.ids.clone(),
        };
        tasks.spawn(sweeper.run());
        let runner = AttemptRunner {
            replica: self.replica.clone(),
            routing: self.routing.clone(),
            client: ServerClient::with_connector(self.connector.clone()),
            clock: self.clock.clone(),
            ids: self.ids.clone(),
        };
        let host = self.settings.host.name.clone();
        let (dispatcher, batch) = BatchDispatcher::new(host, runner, self.drain.clone());
        tasks.spawn(dispatcher.run());
        batch
    }
}

/// The connections to other hosts, and the bounds that they share with clients.
struct HostPorts {
    link: PeerLink,
    messages: mpsc::Receiver<InboundMessage>,
    tunnels: HostTunnels,
    bounds: MachineBounds,
}

/// The components of a host before its ports are open.
struct HostComponents {
    settings: HostSettings,
    clock: Arc<dyn ClockSource>,
    ids: Arc<RandomIds>,
    metrics: Arc<HostMetrics>,
    bounds: MachineBounds,
    directory: PeerDirectory,
    replica: ReplicaHandle,
    routing: RoutingHandle,
    tombstones: TombstoneHandle,
    boards: BoardHandle,
    limits: LimitHandle,
    quarantine: QuarantineHandle,
    drain: DrainFlag,
    batch: DispatcherHandle,
    tunnels: HostTunnels,
    tasks: JoinSet<()>,
}

impl HostComponents {
    fn start(
        settings: HostSettings,
        clock: Arc<dyn ClockSource>,
        ids: Arc<RandomIds>,
        metrics: Arc<HostMetrics>,
        ports: HostPorts,
    ) -> Result<Self, HostError> {
        let HostPorts {
            link,
            messages,
            tunnels,
            bounds,
        } = ports;
        let contacts = settings.peers.seeds.iter().chain(settings.voters.values());
        let directory = PeerDirectory::new(link, clock.clone(), contacts.copied());
        let (replica_task, replica, inbox) = open_replica(&settings, &directory, &clock, &ids)?;
        let location = RoutingLocation {
            host: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
        };
        let (notice_sender, notices) = mpsc::unbounded_channel();
        let routing =
            RoutingHandle::start(location.clone(), clock.clone(), notice_sender, ids.seed());
        let limit_settings = limit_settings(&settings, &directory, &replica, &clock);
        let (limit_task, limits, limit_inbox) = LimitTask::new(limit_settings);
        let mut tasks = JoinSet::new();
        tasks.spawn(replica_task.run());
        tasks.spawn(limit_task.run());
        let (quarantine_task, quarantine) = QuarantineTask::new(QuarantineTaskParts {
            directory: directory.clone(),
            clock: clock.clone(),
        });
        tasks.spawn(quarantine_task.run());
        let drain_watcher = DrainWatcher {
            replica: replica.clone(),
            routing: routing.clone(),
        };
        tasks.spawn(drain_watcher.run());
        let store = tombstone_store(&settings);
        let (tombstone_task, tombstones) =
            TombstoneTask::open(replica.clone(), directory.clone(), store)
                .map_err(HostError::Withdrawals)?;
        tasks.spawn(tombstone_task.run());
        let (board_task, boards) = BoardTask::new(
            settings.host.name.clone(),
            replica.clone(),
            directory.clone(),
            clock.clone(),
        );
        tasks.spawn(board_task.run());
        let peer_task = PeerTask {
            directory: directory.clone(),
            messages,
            replica: replica.clone(),
            inbox,
            routing: routing.clone(),
            tombstones: tombstones.clone(),
            boards: boards.clone(),
            position_requests: HashMap::new(),
            limits: limit_inbox,
            quarantine: quarantine.clone(),
        };
        tasks.spawn(peer_task.run());
        let drain = DrainFlag::default();
        let batch_components = BatchComponents {
            settings: &settings,
            location,
            notices,
            directory: &directory,
            replica: &replica,
            routing: &routing,
            clock: &clock,
            ids: &ids,
            drain: &drain,
            connector: &tunnels.connector,
        };
        let batch = batch_components.start(&mut tasks);
        metrics.observe(&bounds);
        let observed = replica.clone();
        metrics.observe_zone_drains(move || observed.view().drains.drained_zones());
        Ok(Self {
            settings,
            clock,
            ids,
            metrics,
            bounds,
            directory,
            replica,
            routing,
            tombstones,
            boards,
            limits,
            quarantine,
            drain,
            batch,
            tunnels,
            tasks,
        })
    }

    /// Opens the ports, after which the host serves requests.
    async fn listen(
        self,
        shared_secret: String,
        operator_token: String,
    ) -> Result<EntryHost, HostError> {
        let listen = self.settings.listen;
        self.tombstones.ready().await;
        let admin = self.admin_service(shared_secret);
        let operator_service = OperatorService {
            port: Arc::new(admin),
            token: operator_token,
        };
        let callers = self
            .open("callers", listen.callers, Arc::new(self.caller_service()))
            .await?;
        let servers = self
            .open("servers", listen.servers, Arc::new(self.server_service()))
            .await?;
        let operators = self
            .open("operators", listen.operators, Arc::new(operator_service))
            .await?;
        let addresses = HostAddresses {
            callers: callers.address,
            servers: servers.address,
            operators: operators.address,
            peers: self.directory.own_address(),
        };
        Ok(EntryHost {
            addresses,
            drain: self.drain,
            batch: self.batch,
            tunnels: self.tunnels.listener,
            shutdown: self.settings.shutdown,
            replica: self.replica,
            peers: self.directory,
            callers,
            servers,
            operators,
            tasks: self.tasks,
        })
    }

    async fn open(
        &self,
        part: &'static str,
        address: SocketAddr,
        service: Arc<dyn HttpService>,
    ) -> Result<HttpListener, HostError> {
        let limits = ListenerLimits {
            header_max_bytes: clamp_bytes(self.settings.callers.header_max_bytes),
            header_timeout: HEADER_TIMEOUT,
        };
        let bounds = self.bounds.clone();
        Ok(HttpListener::start(part, address, limits, bounds, service).await?)
    }
}

/// Opens the replica, with the seat stored in the data folder if there is one.
fn open_replica(
    settings: &HostSettings,
    directory: &PeerDirectory,
    clock: &Arc<dyn ClockSource>,
    ids: &RandomIds,
) -> Result<(ReplicaTask, ReplicaHandle, ReplicaInbox), HostError> {
    if settings.voters.is_empty() {
        return Err(HostError::NoVoter);
    }
    let disk = settings.data.as_ref().map(|data| ReplicaDisk {
        folder: data.folder.clone(),
        seat: data.seat,
    });
    let replica_settings = ReplicaSettings {
        disk,
        voters: settings.voters.clone(),
        zone: settings.host.zone.clone(),
        lease: settings.keys.lease,
        seed: ids.random_u64(),
    };
    let opened = ReplicaTask::open(replica_settings, directory.clone(), clock.clone());
    Ok(opened?)
}

fn tombstone_store(settings: &HostSettings) -> Arc<dyn TombstoneStore> {
    match &settings.data {
        Some(data) => Arc::new(FileTombstones::new(&data.folder)),
        None => Arc::new(NoTombstones),
    }
}

fn limit_settings(
    settings: &HostSettings,
    directory: &PeerDirectory,
    replica: &ReplicaHandle,
    clock: &Arc<dyn ClockSource>,
) -> LimitTaskSettings {
    let seat = settings.data.as_ref().map(|data| data.seat);
    LimitTaskSettings {
        host: settings.host.name.clone(),
        zone: settings.host.zone.clone(),
        voters: settings.voters.values().copied().collect(),
        voter_address: seat.and_then(|seat| settings.voters.get(&seat).copied()),
        directory: directory.clone(),
        replica: replica.clone(),
        clock: clock.clone(),
    }
}

fn read_text(path: &Path) -> Result<String, HostError> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(source) => Err(HostError::File {
            path: path.to_owned(),
            source,
        }),
    }
}

fn incarnation(since_epoch: Duration) -> u64 {
    u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)
}

fn clamp_bytes(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

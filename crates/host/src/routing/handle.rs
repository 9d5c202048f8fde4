//! The handle that other tasks use to get a backend server.

use super::table::ServerView;
use super::task::{RoutingChannels, RoutingTask};
use chicoryladder_policy::queue::StreamKey;
use chicoryladder_policy::routing::{PrefixHash, ServerKey, ServerOutcome, WorkTarget};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerGeneration, ServerLoad};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// The time after which a caller should come back when no server is known.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request goes before or behind others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// A caller waits for the answer.
    Online(QueueTerms),
    /// An item of a batch job.
    Batch {
        /// Whether the item may be stopped in favour of online requests.
        stoppable: bool,
    },
}

/// How an online request waits among others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueueTerms {
    /// The team and its share; none on a route open to all.
    pub(crate) team: Option<TeamName>,
    pub(crate) share: u32,
    pub(crate) class: ClassName,
    pub(crate) class_max: Option<u32>,
    /// Hashes of the prompt prefix, the longest last.
    pub(crate) prefixes: Vec<PrefixHash>,
}

/// A request for a slot on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) target: WorkTarget,
    pub(crate) kind: WorkKind,
    pub(crate) excluded: Vec<ServerName>,
}

/// A message to another host about a slot that batch work takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotNotice {
    pub(crate) receiver: HostName,
    pub(crate) server: ServerName,
    pub(crate) event: SlotEvent,
}

/// What a [`SlotNotice`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotEvent {
    /// An online request needs a slot of the server.
    Requested,
    /// A batch item has left the server.
    Released,
    /// An online request was sent to the server.
    OnlineDispatched,
}

/// Where batch work of this host stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BatchCapacity {
    /// Slots that batch items may take now.
    pub(crate) idle: usize,
    /// Slots that batch items take up.
    pub(crate) taken: usize,
}

/// A host and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutingLocation {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
}

/// What the routing task is told.
pub(crate) enum RoutingEvent {
    Announced(ServerAnnouncement),
    Wanted(WantedSlot),
    Released(ReleasedSlot),
    Hosts(Vec<RoutingLocation>),
    /// The named host has an online request for a slot of the server.
    YieldSlot(HostName, ServerName),
    /// A batch item of another host has left the server.
    SlotYielded(ServerName),
    /// Another host has sent an online request to the server.
    OnlinePlaced(ServerName),
    Room(oneshot::Sender<BatchCapacity>),
    List(oneshot::Sender<Vec<ServerView>>),
}

pub(super) type GrantSender = oneshot::Sender<Result<ServerGrant, RequestRefusal>>;

/// A request that wants a slot until its deadline.
pub(crate) struct WantedSlot {
    pub(super) request: SlotRequest,
    pub(super) deadline: Instant,
    pub(super) sender: GrantSender,
}

/// A slot that is given back.
pub(crate) struct ReleasedSlot {
    pub(super) server: ServerKey,
    pub(super) started: Instant,
    pub(super) outcome: ServerOutcome,
    pub(super) load: Option<ServerLoad>,
    pub(super) batch: Option<StreamKey>,
}

/// A slot on a backend server; dropping it gives the slot back.
pub(crate) struct ServerGrant {
    pub(crate) name: ServerName,
    pub(crate) generation: ServerGeneration,
    pub(crate) address: SocketAddr,
    /// The load that the server reported with its answer.
    pub(crate) load: Option<ServerLoad>,
    /// How the attempt ended, told when the slot is given back.
    pub(crate) outcome: ServerOutcome,
    pub(super) server: ServerKey,
    pub(super) started: Instant,
    pub(super) batch: Option<BatchGrant>,
    pub(super) events: mpsc::UnboundedSender<RoutingEvent>,
}

/// The part of a grant that only batch items have.
pub(super) struct BatchGrant {
    pub(super) key: StreamKey,
    pub(super) stop: oneshot::Receiver<()>,
}

impl ServerGrant {
    /// Resolves once a batch item has to give its slot back.
    pub(crate) async fn stopped(&mut self) {
        if let Some(batch) = &mut self.batch
            && (&mut batch.stop).await.is_ok()
        {
            return;
        }
        std::future::pending::<()>().await;
    }
}

impl Drop for ServerGrant {
    fn drop(&mut self) {
        let released = ReleasedSlot {
            server: self.server,
            started: self.started,
            outcome: self.outcome,
            load: self.load,
            batch: self.batch.as_ref().map(|batch| batch.key),
        };
        // A closed channel means that the host has stopped.
        let _ = self.events.send(RoutingEvent::Released(released));
    }
}

/// Talks to the routing task; clones share it.
#[derive(Clone)]
pub(crate) struct RoutingHandle {
    events: mpsc::UnboundedSender<RoutingEvent>,
}

impl RoutingHandle {
    /// Starts the task of a host; messages on slots to other hosts go to
    /// `notices`. `seed` starts the random choices.
    pub(crate) fn start(
        place: RoutingLocation,
        clock: Arc<dyn ClockSource>,
        notices: mpsc::UnboundedSender<SlotNotice>,
        seed: [u8; 32],
    ) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let channels = RoutingChannels {
            notices,
            events_out: events.clone(),
            events: receiver,
        };
        let task = RoutingTask::new(place, clock, channels, seed);
        tokio::spawn(task.run());
        Self { events }
    }

    /// Tells which hosts share the servers, this one among them.
    pub(crate) fn set_hosts(&self, hosts: Vec<RoutingLocation>) {
        let _ = self.events.send(RoutingEvent::Hosts(hosts));
    }

    /// Stops a batch item of this host on the server for another host.
    pub(crate) fn preempt_batch_item(&self, requester: HostName, server: ServerName) {
        let _ = self.events.send(RoutingEvent::YieldSlot(requester, server));
    }

    /// Notes that a batch item of another host has left the server.
    pub(crate) fn record_released_slot(&self, server: ServerName) {
        let _ = self.events.send(RoutingEvent::SlotYielded(server));
    }

    /// Takes in that another host sent an online request to a server that this
    /// host dispatches to.
    pub(crate) fn record_online_dispatch(&self, server: ServerName) {
        let _ = self.events.send(RoutingEvent::OnlinePlaced(server));
    }

    /// The slots that batch work of this host takes up and may take.
    pub(crate) async fn batch_capacity(&self) -> BatchCapacity {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::Room(sender));
        receiver.await.unwrap_or_default()
    }

    /// Takes what a backend server told.
    pub(crate) fn announce(&self, announcement: ServerAnnouncement) {
        let _ = self.events.send(RoutingEvent::Announced(announcement));
    }

    /// Waits for a slot until `deadline`.
    ///
    /// # Errors
    ///
    /// Refuses as soon as it is known that no server can take the request in time.
    pub(crate) async fn acquire(
        &self,
        request: SlotRequest,
        deadline: Instant,
    ) -> Result<ServerGrant, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let wanted = WantedSlot {
            request,
            deadline,
            sender,
        };
        let _ = self.events.send(RoutingEvent::Wanted(wanted));
        receiver.await.unwrap_or_else(|_| {
            let detail = "the host is stopping";
            Err(RequestRefusal::not_run(RefusalReason::Draining, detail))
        })
    }

    /// The servers known to this host.
    pub(crate) async fn servers(&self) -> Vec<ServerView> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::List(sender));
        receiver.await.unwrap_or_default()
    }
}

/// The refusal of a request that no known server can take.
pub(super) fn no_server(target: &WorkTarget) -> RequestRefusal {
    let detail = match target {
        WorkTarget::Model(name) => format!("no backend server serves the model {name}"),
        WorkTarget::Service(name) => format!("no backend server offers the service {name}"),
    };
    RequestRefusal::not_run(RefusalReason::NoServer, detail).with_retry_after(NO_SERVER_RETRY_AFTER)
}

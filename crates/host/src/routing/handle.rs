//! The handle that other tasks use to acquire slots on backend servers.

use super::table::ServerView;
use super::task::{RoutingChannels, RoutingTask};
use chicoryladder_gateway::{ServerFailure, says_leaving};
use chicoryladder_policy::queue::StreamKey;
use chicoryladder_policy::routing::{PrefixHash, ServerKey, ServerOutcome, WorkTarget};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerAnnouncement, ServerGeneration, ServerLoad, headers};
use hyper::Response;
use hyper::body::Incoming;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// The retry hint for callers when no server is known.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The priority class of a request: online requests go before batch items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// A request whose caller waits for the response.
    Online(QueueParameters),
    /// An item of a batch job.
    Batch {
        /// Whether the item may be preempted by online requests.
        preemptible: bool,
    },
}

/// The queueing parameters of an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueueParameters {
    /// The team that the request is queued for; `None` on a route open to all.
    pub(crate) team: Option<TeamName>,
    /// The scheduling weight of the team.
    pub(crate) share: u32,
    pub(crate) class: ClassName,
    pub(crate) class_max: Option<u32>,
    /// Hashes of prompt prefixes, the longest prefix last.
    pub(crate) prefixes: Vec<PrefixHash>,
}

/// A request for a slot on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) target: WorkTarget,
    pub(crate) kind: WorkKind,
    pub(crate) excluded: Vec<ServerName>,
}

/// A message to another host about a slot on a server that runs batch items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotNotice {
    pub(crate) receiver: HostName,
    pub(crate) server: ServerName,
    pub(crate) event: SlotEvent,
}

/// A message to other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RoutingNotice {
    /// A message to one host about a slot.
    Slot(SlotNotice),
    /// To all hosts: a server said in a response that it leaves.
    Departure(ServerAnnouncement),
}

/// The event that a [`SlotNotice`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotEvent {
    /// An online request needs a slot on the server.
    Requested,
    /// A batch item has released its slot on the server.
    Released,
    /// An online request was dispatched to the server.
    OnlineDispatched,
}

/// The slots of batch work on the servers that this host dispatches to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BatchCapacity {
    /// Slots that batch items may occupy now.
    pub(crate) idle: usize,
    /// Slots that batch items occupy.
    pub(crate) occupied: usize,
}

/// A host and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutingLocation {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
}

/// An event for the routing task.
pub(crate) enum RoutingEvent {
    Announced(ServerAnnouncement),
    Requested(PendingSlot),
    Released(ReleasedSlot),
    /// The server said in its response to a request that it leaves.
    Departing(ServerKey, RequestId),
    Hosts(Vec<RoutingLocation>),
    /// The named host has an online request that needs a slot on the server.
    PreemptBatchItem(HostName, ServerName),
    /// A batch item of another host has released its slot on the server.
    RemoteSlotReleased(ServerName),
    /// Another host has dispatched an online request to the server.
    OnlineDispatched(ServerName),
    Capacity(oneshot::Sender<BatchCapacity>),
    /// Whether a server that is not excluded could take the request.
    CanServe(SlotRequest, oneshot::Sender<bool>),
    /// The zones whose servers get no new work.
    DrainedZones(BTreeSet<ZoneName>),
    /// Whether a server is in a drained zone.
    IsDrained(ServerName, oneshot::Sender<bool>),
    List(oneshot::Sender<Vec<ServerView>>),
}

pub(super) type GrantSender = oneshot::Sender<Result<ServerGrant, RequestRefusal>>;

/// A slot request that is not granted yet.
pub(crate) struct PendingSlot {
    pub(super) request: SlotRequest,
    pub(super) deadline: Instant,
    pub(super) sender: GrantSender,
}

/// A slot that was released, with the outcome of its request.
pub(crate) struct ReleasedSlot {
    pub(super) server: ServerKey,
    pub(super) started: Instant,
    pub(super) outcome: ServerOutcome,
    pub(super) load: Option<ServerLoad>,
    pub(super) batch: Option<StreamKey>,
}

/// A slot on a backend server; dropping the grant releases the slot.
pub(crate) struct ServerGrant {
    pub(crate) name: ServerName,
    pub(crate) generation: ServerGeneration,
    pub(crate) address: SocketAddr,
    /// The load that the server reported in its response.
    pub(crate) load: Option<ServerLoad>,
    /// The outcome of the attempt, reported when the slot is released.
    pub(crate) outcome: ServerOutcome,
    pub(super) server: ServerKey,
    pub(super) started: Instant,
    pub(super) batch: Option<BatchGrant>,
    pub(super) events: mpsc::UnboundedSender<RoutingEvent>,
}

/// The part of a grant that is specific to batch items.
pub(super) struct BatchGrant {
    pub(super) key: StreamKey,
    pub(super) stop: oneshot::Receiver<()>,
}

/// Reports what the responses of one server say about it.
#[derive(Clone)]
pub(crate) struct DepartureReporter {
    server: ServerKey,
    events: mpsc::UnboundedSender<RoutingEvent>,
}

impl DepartureReporter {
    /// Reads from the head of the response to a request whether the server leaves.
    pub(crate) fn read(
        &self,
        request: RequestId,
        sent: &Result<Response<Incoming>, ServerFailure>,
    ) {
        let is_leaving = match sent {
            Ok(response) => says_leaving(response.headers(), headers::SERVER_LEAVING),
            Err(failure) => failure.is_leaving,
        };
        if is_leaving {
            // The channel is closed only after the host has stopped.
            let _ = self
                .events
                .send(RoutingEvent::Departing(self.server, request));
        }
    }
}

impl ServerGrant {
    pub(crate) fn departure_reporter(&self) -> DepartureReporter {
        DepartureReporter {
            server: self.server,
            events: self.events.clone(),
        }
    }

    /// Resolves once a batch item is preempted and has to release its slot; never for
    /// an online request.
    pub(crate) async fn preempted(&mut self) {
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
        // The channel is closed only after the host has stopped.
        let _ = self.events.send(RoutingEvent::Released(released));
    }
}

/// Sends events to the routing task; clones refer to the same task.
#[derive(Clone)]
pub(crate) struct RoutingHandle {
    events: mpsc::UnboundedSender<RoutingEvent>,
}

impl RoutingHandle {
    /// Starts the routing task. Messages to other hosts are sent to `notices`;
    /// `seed` initializes the random choices.
    pub(crate) fn start(
        location: RoutingLocation,
        clock: Arc<dyn ClockSource>,
        notices: mpsc::UnboundedSender<RoutingNotice>,
        seed: [u8; 32],
    ) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let channels = RoutingChannels {
            notices,
            event_sender: events.clone(),
            events: receiver,
        };
        let task = RoutingTask::new(location, clock, channels, seed);
        tokio::spawn(task.run());
        Self { events }
    }

    /// Sets the live hosts that share the servers, including this host.
    pub(crate) fn set_hosts(&self, hosts: Vec<RoutingLocation>) {
        let _ = self.events.send(RoutingEvent::Hosts(hosts));
    }

    /// Preempts a batch item of this host on the server in favour of `requester`.
    pub(crate) fn preempt_batch_item(&self, requester: HostName, server: ServerName) {
        let _ = self
            .events
            .send(RoutingEvent::PreemptBatchItem(requester, server));
    }

    /// Records that a batch item of another host has released its slot on the
    /// server.
    pub(crate) fn record_released_slot(&self, server: ServerName) {
        let _ = self.events.send(RoutingEvent::RemoteSlotReleased(server));
    }

    /// Records that another host has dispatched an online request to a server whose
    /// dispatch host is this host.
    pub(crate) fn record_online_dispatch(&self, server: ServerName) {
        let _ = self.events.send(RoutingEvent::OnlineDispatched(server));
    }

    /// Returns the slots that batch items of this host occupy and those that they
    /// may occupy.
    pub(crate) async fn batch_capacity(&self) -> BatchCapacity {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::Capacity(sender));
        receiver.await.unwrap_or_default()
    }

    /// Records an announcement of a backend server.
    pub(crate) fn announce(&self, announcement: ServerAnnouncement) {
        let _ = self.events.send(RoutingEvent::Announced(announcement));
    }

    /// Acquires a slot, waiting until `deadline` at most.
    ///
    /// # Errors
    ///
    /// Refuses the request as soon as it is known that no server can take it in
    /// time.
    pub(crate) async fn acquire(
        &self,
        request: SlotRequest,
        deadline: Instant,
    ) -> Result<ServerGrant, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let pending = PendingSlot {
            request,
            deadline,
            sender,
        };
        let _ = self.events.send(RoutingEvent::Requested(pending));
        receiver.await.unwrap_or_else(|_| {
            let detail = "the host is stopping";
            Err(RequestRefusal::not_run(RefusalReason::Draining, detail))
        })
    }

    /// Returns whether a server that is not excluded could take the request, now or once it
    /// has a free slot.
    pub(crate) async fn can_serve(&self, request: SlotRequest) -> bool {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::CanServe(request, sender));
        receiver.await.unwrap_or_default()
    }

    /// Sets the zones whose servers get no new work.
    pub(crate) fn set_drained_zones(&self, zones: BTreeSet<ZoneName>) {
        let _ = self.events.send(RoutingEvent::DrainedZones(zones));
    }

    /// Returns whether nothing may be sent to a server since its zone is drained. Asked before
    /// a request is sent long after its slot was granted.
    pub(crate) async fn is_drained(&self, server: ServerName) -> bool {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::IsDrained(server, sender));
        receiver.await.unwrap_or_default()
    }

    /// Returns the servers known to this host.
    pub(crate) async fn servers(&self) -> Vec<ServerView> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::List(sender));
        receiver.await.unwrap_or_default()
    }
}

/// Returns the refusal of a request whose servers are all in drained zones.
pub(super) fn only_drained_servers(target: &WorkTarget) -> RequestRefusal {
    let detail = match target {
        WorkTarget::Model(name) => format!("all servers of the model {name} are in drained zones"),
        WorkTarget::Service(name) => {
            format!("all servers of the service {name} are in drained zones")
        }
    };
    RequestRefusal::not_run(RefusalReason::NoServer, detail).with_retry_after(NO_SERVER_RETRY_AFTER)
}

/// Returns the refusal of a request that no known server can take.
pub(super) fn no_server(target: &WorkTarget) -> RequestRefusal {
    let detail = match target {
        WorkTarget::Model(name) => format!("no backend server serves the model {name}"),
        WorkTarget::Service(name) => format!("no backend server offers the service {name}"),
    };
    RequestRefusal::not_run(RefusalReason::NoServer, detail).with_retry_after(NO_SERVER_RETRY_AFTER)
}

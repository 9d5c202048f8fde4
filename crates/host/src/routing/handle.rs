//! The handle that other tasks use to get a backend server.

use super::batch_slots::GrantId;
use super::table::{ServerKey, ServerView};
use super::task::RoutingTask;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerLoad, ServiceName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// The time after which a caller should come back when no server is known.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a request needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum WorkTarget {
    /// An engine that serves the model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// Whether a request goes before or behind others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// A caller waits for the answer.
    Online,
    /// An item of a batch job.
    Batch {
        /// Whether the item may be stopped in favour of online requests.
        stoppable: bool,
    },
}

/// A request for a slot on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) target: WorkTarget,
    pub(crate) kind: WorkKind,
    pub(crate) excluded: Vec<ServerName>,
}

/// Asks the dispatching host of a server to stop a batch item there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotWish {
    pub(crate) home: HostName,
    pub(crate) server: ServerName,
}

/// Where batch work of this host stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BatchRoom {
    /// Slots that batch items may take now.
    pub(crate) idle: usize,
    /// Slots that batch items take up.
    pub(crate) taken: usize,
}

/// A host and its availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RoutingPlace {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
}

/// What the routing task is told.
pub(crate) enum RoutingEvent {
    Announced(ServerAnnouncement),
    Wanted(
        SlotRequest,
        oneshot::Sender<Result<ServerGrant, RequestRefusal>>,
    ),
    Released {
        server: ServerKey,
        load: Option<ServerLoad>,
        failed: bool,
        batch: Option<GrantId>,
    },
    Hosts(Vec<RoutingPlace>),
    YieldSlot(ServerName),
    Room(oneshot::Sender<BatchRoom>),
    List(oneshot::Sender<Vec<ServerView>>),
}

/// A slot on a backend server; dropping it gives the slot back.
pub(crate) struct ServerGrant {
    pub(crate) name: ServerName,
    pub(crate) address: SocketAddr,
    pub(crate) load: Option<ServerLoad>,
    /// Whether the server failed the request.
    pub(crate) failed: bool,
    pub(super) server: ServerKey,
    pub(super) batch: Option<BatchGrant>,
    pub(super) events: mpsc::UnboundedSender<RoutingEvent>,
}

/// The part of a grant that only batch items have.
pub(super) struct BatchGrant {
    pub(super) id: GrantId,
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
        let released = RoutingEvent::Released {
            server: self.server,
            load: self.load,
            failed: self.failed,
            batch: self.batch.as_ref().map(|batch| batch.id),
        };
        // A closed channel means that the host has stopped.
        let _ = self.events.send(released);
    }
}

/// Talks to the routing task; clones share it.
#[derive(Clone)]
pub(crate) struct RoutingHandle {
    events: mpsc::UnboundedSender<RoutingEvent>,
    clock: Arc<dyn ClockSource>,
}

impl RoutingHandle {
    /// Starts the task of a host; wishes for slots that other hosts dispatch to
    /// go to `wishes`.
    pub(crate) fn start(
        place: RoutingPlace,
        clock: Arc<dyn ClockSource>,
        wishes: mpsc::UnboundedSender<SlotWish>,
    ) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let task = RoutingTask::new(place, clock.clone(), wishes, events.clone(), receiver);
        tokio::spawn(task.run());
        Self { events, clock }
    }

    /// Tells which hosts share the servers, this one among them.
    pub(crate) fn set_hosts(&self, hosts: Vec<RoutingPlace>) {
        let _ = self.events.send(RoutingEvent::Hosts(hosts));
    }

    /// Stops a batch item of this host on the server.
    pub(crate) fn yield_slot(&self, server: ServerName) {
        let _ = self.events.send(RoutingEvent::YieldSlot(server));
    }

    /// The slots that batch work of this host takes up and may take.
    pub(crate) async fn batch_room(&self) -> BatchRoom {
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
    /// Refuses at once when no server can take the request, and at the deadline.
    pub(crate) async fn acquire(
        &self,
        request: SlotRequest,
        deadline: Instant,
    ) -> Result<ServerGrant, RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(RoutingEvent::Wanted(request, sender));
        let left = deadline.saturating_duration_since(self.clock.now());
        match tokio::time::timeout(left, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(RequestRefusal::not_run(
                RefusalReason::Draining,
                "the host is stopping",
            )),
            Err(_) => Err(RequestRefusal::not_run(
                RefusalReason::DeadlineUnmet,
                "no backend server had a free slot in time",
            )
            .with_retry_after(NO_SERVER_RETRY_AFTER)),
        }
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

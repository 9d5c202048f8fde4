//! The handle that other tasks use to get a backend server.

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
    Batch,
}

/// A request for a slot on a backend server.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) target: WorkTarget,
    pub(crate) kind: WorkKind,
    pub(crate) excluded: Vec<ServerName>,
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
    },
    List(oneshot::Sender<Vec<ServerView>>),
}

/// A slot on a backend server; dropping it gives the slot back.
pub(crate) struct ServerGrant {
    pub(crate) name: ServerName,
    pub(crate) address: SocketAddr,
    pub(crate) load: Option<ServerLoad>,
    pub(super) server: ServerKey,
    pub(super) events: mpsc::UnboundedSender<RoutingEvent>,
}

impl Drop for ServerGrant {
    fn drop(&mut self) {
        let released = RoutingEvent::Released {
            server: self.server,
            load: self.load,
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
    /// Starts the task of a host in the given availability zone.
    pub(crate) fn start(zone: ZoneName, clock: Arc<dyn ClockSource>) -> Self {
        let (events, receiver) = mpsc::unbounded_channel();
        let task = RoutingTask::new(zone, clock.clone(), events.clone(), receiver);
        tokio::spawn(task.run());
        Self { events, clock }
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

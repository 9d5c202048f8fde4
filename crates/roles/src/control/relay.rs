//! Relays the calls of operators and servers to the leader of the control group.
//!
//! Control hosts and store hosts accept these calls, so that operators and servers
//! reach a responsive host while others are down or frozen.

use super::explain_service::ExplainService;
use super::port::{ControlFailure, ControlPort, ControlService, ServerHint};
use crate::event_log::{EventLog, EventPriority};
use crate::leader_client::LeaderClient;
use crate::message::{Call, ControlAnswer, ControlCall};
use crate::process::{ProcessBase, ProcessError};
use chicoryladder_broker::ReceivedCheckIn;
use chicoryladder_gateway::{HttpListener, ListenerLimits};
use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ZoneDrain, ZoneDrainStep};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The timeout of one attempt at a relayed call.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(500);

/// The time within which a relayed call has to complete, including the search for the
/// leader. Servers and operators wait for one second.
const RELAY_WAIT_MAX: Duration = Duration::from_millis(850);

/// The duration above which a relayed check-in is recorded in the event log; most take
/// a few round trips.
const SLOW_RELAY: Duration = Duration::from_millis(100);

/// The limits on the connections of operators and servers.
pub(crate) const RELAY_LIMITS: ListenerLimits = ListenerLimits {
    header_max_bytes: 64 * 1024,
    header_timeout: Duration::from_secs(60),
};

/// The seat of this process in the control group.
pub(crate) trait LocalSeat: Send + Sync {
    /// Whether this host leads and holds the leader lease.
    fn leads(&self) -> bool;

    /// Handles a call as the leader; `None` if this host does not lead or lost the
    /// leadership during the call.
    fn answer_locally(
        self: Arc<Self>,
        call: ControlCall,
    ) -> BoxFuture<'static, Option<ControlAnswer>>;

    /// The leader, if known to the seat.
    fn leader(&self) -> Option<SocketAddr>;
}

/// Relays the calls of operators and servers to the leader.
pub(crate) struct ControlRelay {
    pub(crate) base: ProcessBase,
    pub(crate) client: LeaderClient,
    pub(crate) log: EventLog,
    pub(crate) port: u16,
    /// The seat of this host, if it is a control host.
    pub(crate) seat: Option<Arc<dyn LocalSeat>>,
}

impl ControlRelay {
    /// Starts to accept calls at the given address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn listen(
        self,
        address: SocketAddr,
        service: &dyn ControlService,
    ) -> Result<HttpListener, ProcessError> {
        let machine = self.base.machine.clone();
        let relay = Arc::new(self);
        let calls = service.control(relay.clone());
        let service = Arc::new(ExplainService { relay, calls });
        let listener = HttpListener::start("control", address, RELAY_LIMITS, machine, service);
        Ok(listener.await?)
    }

    fn leader(&self) -> Option<SocketAddr> {
        let known_locally = self.seat.as_ref().and_then(|seat| seat.leader());
        known_locally.or_else(|| self.client.leader())
    }

    /// Relays a call to the leader and records the outcome in the event log.
    pub(super) async fn relay(&self, call: ControlCall) -> Result<ControlAnswer, ControlFailure> {
        let name = call.name();
        let is_routine = matches!(call, ControlCall::CheckIn(_));
        let started_at = self.base.clock.now();
        let result = self.reach_leader(call).await;
        let took = self.base.clock.now().saturating_duration_since(started_at);
        let fields = json!({
            "call": name,
            "leader": self.leader(),
            "took_ms": took.as_millis(),
            "failure": result.as_ref().err().map(ToString::to_string),
        });
        let priority = if is_routine && result.is_ok() {
            EventPriority::Routine
        } else {
            EventPriority::Notable
        };
        if priority == EventPriority::Notable || took > SLOW_RELAY {
            self.log.write(priority, "call_relayed", &fields);
        }
        result
    }

    async fn reach_leader(&self, call: ControlCall) -> Result<ControlAnswer, ControlFailure> {
        if let Some(seat) = self.seat.clone().filter(|seat| seat.leads())
            && let Some(answer) = seat.answer_locally(call.clone()).await
        {
            return Ok(answer);
        }
        // Every call may be repeated: plan versions, incarnations and host names make
        // them idempotent.
        let answer = self
            .client
            .call(&Call::Control(call), RELAY_TIMEOUT, RELAY_WAIT_MAX, true)
            .await;
        answer.map_err(|_| ControlFailure::Unavailable)
    }

    async fn relay_for_ack(&self, call: ControlCall) -> Result<(), ControlFailure> {
        match self.relay(call).await? {
            ControlAnswer::Done => Ok(()),
            ControlAnswer::UnknownHost => Err(ControlFailure::UnknownHost),
            ControlAnswer::TooFewHosts => Err(ControlFailure::TooFewHosts),
            ControlAnswer::UnknownZone => Err(ControlFailure::UnknownZone),
            _ => Err(ControlFailure::Unavailable),
        }
    }
}

impl ControlPort for ControlRelay {
    fn replace_plan(
        &self,
        document: Vec<u8>,
        plan: ServicePlan,
    ) -> BoxFuture<'_, Result<(), ControlFailure>> {
        let plan = Box::new(plan.raw().clone());
        self.relay_for_ack(ControlCall::ReplacePlan { document, plan })
            .boxed()
    }

    fn read_plan(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, ControlFailure>> {
        async move {
            match self.relay(ControlCall::ReadPlan).await? {
                ControlAnswer::Document(document) => Ok(document),
                _ => Err(ControlFailure::Unavailable),
            }
        }
        .boxed()
    }

    fn check_in(
        &self,
        check_in: ReceivedCheckIn,
    ) -> BoxFuture<'_, Result<ServerHint, ControlFailure>> {
        async move {
            self.relay_for_ack(ControlCall::CheckIn(Box::new(check_in)))
                .await?;
            let leader = self.leader();
            let address = leader.map(|leader| SocketAddr::new(leader.ip(), self.port));
            Ok(ServerHint { address })
        }
        .boxed()
    }

    fn leave(
        &self,
        name: ServerName,
        incarnation: Option<u64>,
    ) -> BoxFuture<'_, Result<(), ControlFailure>> {
        self.relay_for_ack(ControlCall::Leave { name, incarnation })
            .boxed()
    }

    fn begin_retire(&self, host: HostName) -> BoxFuture<'_, Result<(), ControlFailure>> {
        self.relay_for_ack(ControlCall::BeginRetire { host })
            .boxed()
    }

    fn is_retired(&self, host: HostName) -> BoxFuture<'_, Result<bool, ControlFailure>> {
        async move {
            match self.relay(ControlCall::RetireState { host }).await? {
                ControlAnswer::Retired(is_empty) => Ok(is_empty),
                ControlAnswer::UnknownHost => Err(ControlFailure::UnknownHost),
                _ => Err(ControlFailure::Unavailable),
            }
        }
        .boxed()
    }

    fn set_zone_drain(
        &self,
        zone: ZoneName,
        step: ZoneDrainStep,
        asked_by: Option<SocketAddr>,
    ) -> BoxFuture<'_, Result<(), ControlFailure>> {
        let call = ControlCall::SetZoneDrain {
            zone,
            step,
            asked_by,
        };
        self.relay_for_ack(call).boxed()
    }

    fn zone_drains(&self) -> BoxFuture<'_, Result<Vec<ZoneDrain>, ControlFailure>> {
        async move {
            match self.relay(ControlCall::ZoneDrains).await? {
                ControlAnswer::ZoneDrains(drained) => Ok(drained),
                _ => Err(ControlFailure::Unavailable),
            }
        }
        .boxed()
    }
}

/// Stops accepting calls and lets those in flight complete within the time that their
/// callers wait.
pub(crate) async fn drain_relay(listener: HttpListener) {
    if tokio::time::timeout(RELAY_WAIT_MAX, listener.drain())
        .await
        .is_err()
    {
        log::info!("control: closing the connections of calls that are still in flight.");
    }
}

//! Relays the calls of operators and servers to the leader of the control group.
//!
//! Control hosts and store hosts accept these calls, so that operators and servers
//! reach a responsive host while others are down or frozen.

use super::explain_service::ExplainService;
use super::port::{ControlFailure, ControlPort, ControlService, ServerHint};
use crate::event_log::{EventLog, EventPriority};
use crate::leader_client::LeaderClient;
use crate::message::{Call, ControlAnswer, ControlCall, OrderStage};
use crate::process::{ProcessBase, ProcessError};
use chicoryladder_broker::ReceivedCheckIn;
use chicoryladder_gateway::{HttpListener, ListenerLimits};
use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{Tail, ZoneDrain, ZoneDrainStep};
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
        self.relay_within(call, RELAY_WAIT_MAX).await
    }

    async fn relay_within(
        &self,
        call: ControlCall,
        wait_max: Duration,
    ) -> Result<ControlAnswer, ControlFailure> {
        let name = call.name();
        let is_routine = matches!(call, ControlCall::CheckIn(_));
        let started_at = self.base.clock.now();
        let result = self.reach_leader(call, wait_max).await;
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

    async fn reach_leader(
        &self,
        call: ControlCall,
        wait_max: Duration,
    ) -> Result<ControlAnswer, ControlFailure> {
        if let Some(seat) = self.seat.clone().filter(|seat| seat.leads())
            && let Some(answer) = seat.answer_locally(call.clone()).await
        {
            return Ok(answer);
        }
        // Every call may be repeated, also late: plan versions, incarnations and the numbers
        // of orders tell to what it applies.
        let answer = self
            .client
            .call(&Call::Control(call), RELAY_TIMEOUT, wait_max, true)
            .await;
        let reply = answer.map_err(|_| ControlFailure::Unavailable)?;
        Ok(reply.answer)
    }

    async fn relay_for_ack(&self, call: ControlCall) -> Result<(), ControlFailure> {
        acknowledgement(&self.relay(call).await?)
    }

    /// Relays an order with the number that the leader gives for it, within the time for one
    /// call. A leader of an earlier build carries the order out when it is asked for the number.
    async fn relay_order(
        &self,
        order: impl Fn(OrderStage) -> ControlCall + Send,
    ) -> Result<(), ControlFailure> {
        let deadline = self.base.clock.now() + RELAY_WAIT_MAX;
        let wait_max = || deadline.saturating_duration_since(self.base.clock.now());
        let mut stage = OrderStage::NumberWanted;
        while !wait_max().is_zero() {
            stage = match self.relay_within(order(stage), wait_max()).await? {
                ControlAnswer::OrderNumber(number) => OrderStage::Numbered(number),
                ControlAnswer::StaleOrder => OrderStage::NumberWanted,
                answer => return acknowledgement(&answer),
            };
        }
        Err(ControlFailure::Unavailable)
    }

    /// The incarnation of a server that the leader knows; `Err` holds the result if a leader of
    /// an earlier build recorded the departure instead.
    async fn read_incarnation(
        &self,
        name: &ServerName,
        wait_max: Duration,
    ) -> Result<Option<u64>, Result<(), ControlFailure>> {
        let query = ControlCall::Leave {
            name: name.clone(),
            incarnation: None,
            is_query: Tail(true),
        };
        match self.relay_within(query, wait_max).await.map_err(Err)? {
            ControlAnswer::Incarnation(incarnation) => Ok(incarnation),
            answer => Err(acknowledgement(&answer)),
        }
    }

    /// Relays the announcement that a server is leaving. One without an incarnation applies to
    /// the one that the leader knows now, and not to one that it knows when a copy arrives late.
    async fn relay_leave(
        &self,
        name: ServerName,
        incarnation: Option<u64>,
    ) -> Result<(), ControlFailure> {
        let deadline = self.base.clock.now() + RELAY_WAIT_MAX;
        let wait_max = || deadline.saturating_duration_since(self.base.clock.now());
        let incarnation = match incarnation {
            Some(incarnation) => incarnation,
            None => match self.read_incarnation(&name, wait_max()).await {
                Ok(Some(incarnation)) => incarnation,
                Ok(None) => return Ok(()),
                Err(result) => return result,
            },
        };
        let call = ControlCall::Leave {
            name,
            incarnation: Some(incarnation),
            is_query: Tail(false),
        };
        acknowledgement(&self.relay_within(call, wait_max()).await?)
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
        self.relay_leave(name, incarnation).boxed()
    }

    fn begin_retire(&self, host: HostName) -> BoxFuture<'_, Result<(), ControlFailure>> {
        let order = move |stage| ControlCall::BeginRetire {
            host: host.clone(),
            stage: Tail(stage),
        };
        self.relay_order(order).boxed()
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
        let order = move |stage| ControlCall::SetZoneDrain {
            zone: zone.clone(),
            step,
            asked_by,
            stage: Tail(stage),
        };
        self.relay_order(order).boxed()
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

/// What a reply of the leader means to the operator or server that made the call.
fn acknowledgement(answer: &ControlAnswer) -> Result<(), ControlFailure> {
    match answer {
        ControlAnswer::Done => Ok(()),
        ControlAnswer::UnknownHost => Err(ControlFailure::UnknownHost),
        ControlAnswer::TooFewHosts => Err(ControlFailure::TooFewHosts),
        ControlAnswer::UnknownZone => Err(ControlFailure::UnknownZone),
        _ => Err(ControlFailure::Unavailable),
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

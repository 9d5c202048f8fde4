//! The interface of a control host for operators and backend servers.

use chicoryladder_broker::ReceivedCheckIn;
use chicoryladder_gateway::HttpService;
use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ZoneDrain, ZoneDrainStep};
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a call to a control host was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlFailure {
    /// No leader replied; the call may still take effect.
    #[error("no leader of the control group answered")]
    Unavailable,
    /// There is no such host.
    #[error("there is no such host")]
    UnknownHost,
    /// Too few store hosts would remain.
    #[error("too few hosts would be left")]
    TooFewHosts,
    /// There is no such zone.
    #[error("there is no such zone")]
    UnknownZone,
}

/// Where a server should check in next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerHint {
    /// The leader's address for control calls, if known.
    pub address: Option<SocketAddr>,
}

/// The calls of operators and servers that a control host serves.
pub trait ControlPort: Send + Sync {
    /// Replaces the plan with a validated one of a higher version. A plan of the same or
    /// a lower version is acknowledged without effect.
    fn replace_plan(
        &self,
        document: Vec<u8>,
        plan: ServicePlan,
    ) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Reads the plan in force as the document that the operator sent.
    fn read_plan(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, ControlFailure>>;

    /// Records a check-in of a server; returns once it has taken effect.
    fn check_in(
        &self,
        check_in: ReceivedCheckIn,
    ) -> BoxFuture<'_, Result<ServerHint, ControlFailure>>;

    /// Records that a server is leaving; without `incarnation`, the one known to the leader.
    fn leave(
        &self,
        name: ServerName,
        incarnation: Option<u64>,
    ) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Starts to retire a store host: its seat moves to another host.
    fn begin_retire(&self, host: HostName) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Whether a retiring store host is drained.
    fn is_retired(&self, host: HostName) -> BoxFuture<'_, Result<bool, ControlFailure>>;

    /// Drains a zone or withdraws that; returns once the order is durable and in force.
    /// `asked_by` is the address from which the order came.
    fn set_zone_drain(
        &self,
        zone: ZoneName,
        step: ZoneDrainStep,
        asked_by: Option<SocketAddr>,
    ) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Reads which zones are drained.
    fn zone_drains(&self) -> BoxFuture<'_, Result<Vec<ZoneDrain>, ControlFailure>>;
}

/// Builds the HTTP service of a control host on its port.
pub trait ControlService: Send + Sync {
    /// The service for the address that operators and servers call.
    fn control(&self, port: Arc<dyn ControlPort>) -> Arc<dyn HttpService>;
}

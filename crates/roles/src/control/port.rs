//! What operators and backend servers ask of a control host.

use chicoryladder_broker::ServerCheckIn;
use chicoryladder_gateway::HttpService;
use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a call to a control host was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlFailure {
    /// No leader answered; the call may take effect later.
    #[error("no leader of the control group answered")]
    Unavailable,
    /// There is no such host.
    #[error("there is no such host")]
    UnknownHost,
    /// Too few hosts would be left.
    #[error("too few hosts would be left")]
    TooFewHosts,
}

/// Where a server should check in next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerHint {
    /// The control address of the leader, if known.
    pub address: Option<SocketAddr>,
}

/// What a control host does for operators and servers.
pub trait ControlPort: Send + Sync {
    /// Replaces the plan by a checked one of a higher version; another version
    /// changes nothing and is acknowledged.
    fn replace_plan(
        &self,
        document: Vec<u8>,
        plan: ServicePlan,
    ) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// The document of the plan in force.
    fn read_plan(&self) -> BoxFuture<'_, Result<Option<Vec<u8>>, ControlFailure>>;

    /// Takes a check-in of a server; acknowledged once it is in force.
    fn check_in(
        &self,
        check_in: ServerCheckIn,
    ) -> BoxFuture<'_, Result<ServerHint, ControlFailure>>;

    /// Takes the notice of a server that it leaves.
    fn leave(
        &self,
        name: ServerName,
        incarnation: Option<u64>,
    ) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Has a store host emptied.
    fn begin_retire(&self, host: HostName) -> BoxFuture<'_, Result<(), ControlFailure>>;

    /// Whether a store host that is to be emptied is empty.
    fn is_retired(&self, host: HostName) -> BoxFuture<'_, Result<bool, ControlFailure>>;
}

/// Makes the HTTP service of a control host from its port.
pub trait ControlService: Send + Sync {
    /// The service of the operators' and servers' address.
    fn control(&self, port: Arc<dyn ControlPort>) -> Arc<dyn HttpService>;
}

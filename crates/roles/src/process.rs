//! What every process of a fleet has, whatever its role.

use crate::leader_client::LeaderClient;
use crate::message::{JoinRequest, Notice, encode};
use crate::seat_opener::random_u64;
use chicoryladder_broker::RequesterId;
use chicoryladder_gateway::ListenError;
use chicoryladder_rpc::{PeerIdentity, RpcClient, RpcHandler, RpcServer};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause before something that failed is tried again.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Why a process did not start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The role needs a setting that is absent.
    #[error("the role needs the key `{1}` in section [{0}]")]
    MissingSetting(&'static str, &'static str),
    /// An address cannot be served.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The operating system refused something.
    #[error("the operating system refused: {0}")]
    System(#[from] std::io::Error),
}

/// What every process of a fleet has.
#[derive(Clone)]
pub(crate) struct ProcessBase {
    pub(crate) settings: Arc<ProcessSettings>,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) rpc: RpcClient,
}

impl ProcessBase {
    /// # Errors
    ///
    /// Fails if the operating system gives out no random bytes.
    pub(crate) fn new(
        settings: ProcessSettings,
        clock: Arc<dyn ClockSource>,
    ) -> Result<Self, ProcessError> {
        let identity = PeerIdentity {
            host: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
            address: settings.listen.peers,
            incarnation: random_u64()?,
        };
        Ok(Self {
            rpc: RpcClient::new(identity, clock.clone()),
            settings: Arc::new(settings),
            clock,
        })
    }

    /// Takes the calls of other processes from now on.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub(crate) async fn serve(&self, handler: Arc<dyn RpcHandler>) -> Result<(), ProcessError> {
        let listen = &self.settings.listen;
        let address = listen.peers_bind.unwrap_or(listen.peers);
        let failed = |source| ListenError { address, source };
        // The port is served until the process ends.
        RpcServer::start(address, handler).await.map_err(failed)?;
        Ok(())
    }

    /// Where the hosts that the settings name take calls of other hosts.
    pub(crate) fn control_seeds(&self) -> Vec<SocketAddr> {
        let port = self.settings.listen.peers.port();
        let seeds = self.settings.control.seeds.iter();
        seeds.map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }

    pub(crate) fn control_client(&self) -> LeaderClient {
        LeaderClient::new(self.rpc.clone(), self.clock.clone(), self.control_seeds())
    }

    pub(crate) fn requester(&self) -> RequesterId {
        let identity = self.rpc.identity();
        RequesterId {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
        }
    }

    pub(crate) fn join_request(&self, seat: Option<SeatId>) -> JoinRequest {
        let identity = self.rpc.identity();
        JoinRequest {
            address: identity.address,
            zone: identity.zone.clone(),
            seat,
        }
    }

    pub(crate) fn notify(&self, address: SocketAddr, notice: &Notice) {
        if let Some(payload) = encode("process", notice) {
            self.rpc.notify(address, payload);
        }
    }
}

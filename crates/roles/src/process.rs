//! The settings, clock and RPC client of a process, and operations that all roles share.

use crate::leader_client::LeaderClient;
use crate::message::{Notice, encode};
use crate::seat_opener::random_u64;
use chicoryladder_broker::RequesterId;
use chicoryladder_gateway::{ListenError, MachineBounds};
use chicoryladder_group::JoinRequest;
use chicoryladder_rpc::{PeerIdentity, RpcClient, RpcHandler, RpcServer};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two attempts to bootstrap a group or to obtain a seat, and between
/// two checks of a seat.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Why a process failed to start.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A setting that the role requires is missing: its section and key.
    #[error("this role requires the key `{1}` in section [{0}]")]
    MissingSetting(&'static str, &'static str),
    /// An address cannot be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// An operation of the operating system failed.
    #[error("system error: {0}")]
    System(#[from] std::io::Error),
}

/// The settings, clock and RPC client of a process.
#[derive(Clone)]
pub(crate) struct ProcessBase {
    pub(crate) settings: Arc<ProcessSettings>,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) rpc: RpcClient,
    /// What the clients of this process may occupy.
    pub(crate) machine: MachineBounds,
}

impl ProcessBase {
    /// Creates the RPC client, with a random incarnation number for this process.
    ///
    /// # Errors
    ///
    /// Fails if the operating system provides no random bytes.
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
            machine: MachineBounds::new(settings.machine, clock.clone()),
            settings: Arc::new(settings),
            clock,
        })
    }

    /// Starts to serve calls and notices of other processes, until this process ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn serve(
        &self,
        handler: Arc<dyn RpcHandler>,
    ) -> Result<RpcServer, ProcessError> {
        let listen = &self.settings.listen;
        let address = listen.peers_bind.unwrap_or(listen.peers);
        let failed = |source| ListenError { address, source };
        let server = RpcServer::start(address, handler, Arc::new(self.machine.clone()));
        Ok(server.await.map_err(failed)?)
    }

    /// The peer addresses of the seeds in the settings. All processes of a fleet use the
    /// same peer port, so the port is that of this process.
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

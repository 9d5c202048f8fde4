//! Startup and shutdown of an entry host.

mod components;

use crate::batch::DispatcherHandle;
use crate::ids::RandomIds;
use crate::metrics::{HostMetrics, MetricsError};
use crate::peers::PeerDirectory;
use crate::platform::DrainFlag;
use crate::replica::{ReplicaError, ReplicaHandle};
use chicoryladder_gateway::{HttpListener, ListenError};
use chicoryladder_link::{LinkCounts, LinkError, SecretError};
use chicoryladder_rpc::RpcServer;
use chicoryladder_settings::{HostSettings, ShutdownSettings};
use chicoryladder_types::{FleetRevision, SystemClock};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A file named in the settings cannot be read.
    #[error("cannot read {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The secret that the hosts share is invalid.
    #[error(transparent)]
    Secret(#[from] SecretError),
    /// The settings name no voter.
    #[error("the settings name no voter, so no command can be committed")]
    NoVoter,
    /// The peer port cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Another port cannot be opened.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The state cannot be read.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The key withdrawals stored in the data folder cannot be read.
    #[error("the key withdrawals in the data folder cannot be read")]
    Withdrawals(#[source] std::io::Error),
    /// The metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The operating system provides no random bytes.
    #[error("the operating system provides no random bytes: {0}")]
    Random(#[from] getrandom::Error),
}

/// The addresses on which a host listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostAddresses {
    /// For callers and the platform's load balancer.
    pub callers: SocketAddr,
    /// For backend servers.
    pub servers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
}

/// A running entry host.
pub struct EntryHost {
    /// The addresses on which the host listens.
    pub addresses: HostAddresses,
    drain: DrainFlag,
    batch: DispatcherHandle,
    tunnels: Option<RpcServer>,
    shutdown: ShutdownSettings,
    replica: ReplicaHandle,
    peers: PeerDirectory,
    callers: HttpListener,
    servers: HttpListener,
    operators: HttpListener,
    tasks: JoinSet<()>,
}

impl EntryHost {
    /// Starts a host on the system clock.
    ///
    /// # Errors
    ///
    /// Fails if a file, port or folder of the settings cannot be used.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        let ids = Arc::new(RandomIds::from_system()?);
        let metrics = Arc::new(HostMetrics::new()?);
        components::start(settings, Arc::new(SystemClock), ids, metrics).await
    }

    /// The revision of the fleet document in force on this host.
    #[must_use]
    pub fn revision(&self) -> FleetRevision {
        self.replica.view().revision
    }

    /// The counters of the traffic with other hosts.
    #[must_use]
    pub fn link_counts(&self) -> LinkCounts {
        self.peers.link_counts()
    }

    /// Shuts the host down. It first reports that it is not ready, and still serves callers
    /// for the notice, asking them to close their connections. Then it stops accepting
    /// connections, completes every accepted request and running batch item, and stops its
    /// tasks.
    ///
    /// Requests that are still running after the drain timeout are aborted.
    pub async fn shutdown(mut self) {
        self.drain.raise();
        log::info!("host: draining.");
        self.callers.announce_close();
        tokio::time::sleep(self.shutdown.notice).await;
        let draining = async {
            self.callers.drain().await;
            self.servers.drain().await;
            self.operators.drain().await;
            self.batch.drained().await;
            if let Some(tunnels) = &self.tunnels {
                tunnels.drain_tunnels().await;
            }
        };
        match tokio::time::timeout(self.shutdown.drain_timeout, draining).await {
            Ok(()) => log::info!("host: drained; all requests have completed."),
            Err(_) => log::warn!("host: drain timeout expired; aborting the remaining requests."),
        }
        self.replica.transfer_leadership().await;
        if let Some(tunnels) = self.tunnels.take() {
            tunnels.stop();
        }
        self.tasks.shutdown().await;
        self.peers.wait_closed().await;
    }

    /// Stops the host immediately without draining, as a crash would.
    pub async fn kill(mut self) {
        self.callers.abort();
        self.servers.abort();
        self.operators.abort();
        if let Some(tunnels) = self.tunnels.take() {
            tunnels.stop();
        }
        self.tasks.shutdown().await;
        self.peers.wait_closed().await;
    }
}

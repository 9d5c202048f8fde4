//! Tunnels between entry hosts, for hosts that lost their own path to backend servers.

use chicoryladder_dialer::{PathLoss, PathObserver, ServerDialer, ServerStream, TunnelHosts};
use chicoryladder_gateway::{ListenError, ServerBytes, ServerConnector};
use chicoryladder_rpc::{
    PeerIdentity, RpcClient, RpcHandler, RpcServer, TunnelRequest, TunnelSecret,
};
use chicoryladder_settings::HostSettings;
use chicoryladder_types::PeerBounds;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;

/// The ends of tunnels at a host.
pub(crate) struct HostTunnels {
    /// Opens connections to servers, if need be through other hosts.
    pub(crate) connector: Arc<dyn ServerConnector>,
    /// Opens connections for other hosts; `None` if the settings name no address for it.
    pub(crate) listener: Option<RpcServer>,
}

impl HostTunnels {
    /// Starts to open tunnels for other hosts, if the settings name an address for it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub(crate) async fn start(
        settings: &HostSettings,
        shared_secret: &str,
        incarnation: u64,
        clock: Arc<dyn ClockSource>,
        bounds: Arc<dyn PeerBounds>,
    ) -> Result<Self, ListenError> {
        let listen = &settings.listen;
        let identity = PeerIdentity {
            host: settings.host.name.clone(),
            zone: settings.host.zone.clone(),
            address: listen.tunnels.unwrap_or(listen.peers),
            incarnation,
        };
        let secret = TunnelSecret::new(shared_secret);
        let rpc = RpcClient::with_tunnel_secret(identity, clock.clone(), Some(secret.clone()));
        let hosts = settings.peers.tunnels.iter().copied();
        let hosts = ConfiguredHosts {
            hosts: hosts.filter(|host| Some(*host) != listen.tunnels).collect(),
        };
        let source = listen.servers_from;
        let (hosts, observer) = (Arc::new(hosts), Arc::new(PathLog));
        let dialer = ServerDialer::new(rpc, clock.clone(), source, hosts, observer);
        let listener = match listen.tunnels {
            None => None,
            Some(address) => {
                let handler = TunnelHandler {
                    dialer: dialer.clone(),
                    secret,
                    clock,
                };
                let failed = |source| ListenError { address, source };
                let server = RpcServer::start(address, Arc::new(handler), bounds);
                Some(server.await.map_err(failed)?)
            }
        };
        let connector = Arc::new(DialerConnector { dialer });
        Ok(Self {
            connector,
            listener,
        })
    }
}

/// The tunnel addresses of other hosts in the settings.
struct ConfiguredHosts {
    hosts: Vec<SocketAddr>,
}

impl TunnelHosts for ConfiguredHosts {
    fn zones(&self) -> BoxFuture<'_, Vec<Vec<SocketAddr>>> {
        std::future::ready(vec![self.hosts.clone()]).boxed()
    }
}

struct PathLog;

impl PathObserver for PathLog {
    fn path_lost(&self, loss: &PathLoss<'_>) {
        log::warn!(
            "tunnels: no path to server {}: {}; {} reaches it ({} servers without a path).",
            loss.server,
            loss.cause,
            loss.through,
            loss.detours,
        );
    }

    fn path_restored(&self, server: SocketAddr) {
        log::info!("tunnels: the path to server {server} is restored.");
    }
}

struct DialerConnector {
    dialer: ServerDialer,
}

impl ServerConnector for DialerConnector {
    fn connect(&self, server: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn ServerBytes>>> {
        let dialer = self.dialer.clone();
        async move {
            Ok(match dialer.open(server).await? {
                ServerStream::Direct(stream) => Box::new(stream) as Box<dyn ServerBytes>,
                ServerStream::Tunnel(_, stream) => Box::new(stream),
            })
        }
        .boxed()
    }

    fn is_path_lost(&self, server: SocketAddr) -> bool {
        self.dialer.paths().is_detoured(server)
    }

    fn closing_connections(&self) -> usize {
        self.dialer.closing_tunnels()
    }
}

/// Opens connections for hosts that know the shared secret.
struct TunnelHandler {
    dialer: ServerDialer,
    secret: TunnelSecret,
    clock: Arc<dyn ClockSource>,
}

impl RpcHandler for TunnelHandler {
    fn connect_tunnel(
        &self,
        peer: Arc<PeerIdentity>,
        request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        if !request.is_authentic(&peer, &self.secret, self.clock.since_epoch()) {
            log::warn!(
                "tunnels: refused a tunnel to {} for {}: its authentication is wrong or too old.",
                request.target,
                peer.host,
            );
            return std::future::ready(None).boxed();
        }
        let dialer = self.dialer.clone();
        async move { dialer.connect_for_peer(request.target).await }.boxed()
    }
}

//! Opens connections to backend servers: on the host's own path, or through a tunnel of another
//! host if that path fails.
//!
//! The host's own path has a head start, and a healthy one always wins: a tunnel takes more
//! round trips. That a tunnel reaches a server which the host itself does not reach tells a
//! lost path from a lost server.

use crate::paths::{FirstPath, ServerPaths};
use chicoryladder_rpc::{RpcClient, TunnelError, TunnelStream};
use chicoryladder_types::prelude::*;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};

/// The timeout for opening a connection. If the server's accept queue is full, the SYN
/// is dropped, and TCP resends it only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time after which a tunnel is tried beside the host's own path: several round trips
/// between zones.
const DIRECT_HEAD_START: Duration = Duration::from_millis(40);

/// The time after which the next tunnel host is tried beside the ones before.
const TUNNEL_STAGGER: Duration = Duration::from_millis(40);

/// The timeout for opening a tunnel through any host.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout of a connection that this host opens for another one.
const TUNNEL_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Tells through which hosts a connection may lead.
pub trait HostFilter: Send + Sync {
    /// Whether a tunnel may lead through a host.
    fn allows(&self, host: SocketAddr) -> bool;
}

/// Tells which hosts open tunnels.
pub trait TunnelHosts: Send + Sync {
    /// The hosts that open tunnels, by zone, that of this host first. The list may be renewed
    /// first; that takes no longer than a few round trips.
    fn zones(&self) -> BoxFuture<'_, Vec<Vec<SocketAddr>>>;
}

/// A lost path to a server.
#[derive(Debug)]
pub struct PathLoss<'a> {
    /// The server.
    pub server: SocketAddr,
    /// Why the host's own path failed.
    pub cause: &'a io::Error,
    /// The host through which the server was reached.
    pub through: SocketAddr,
    /// The number of servers that are reached through tunnels only.
    pub detours: usize,
}

/// Learns of lost and restored paths.
pub trait PathObserver: Send + Sync {
    /// A server was reached through a tunnel that the host's own path does not reach.
    fn path_lost(&self, loss: &PathLoss<'_>);

    /// The host's own path reaches a server again.
    fn path_restored(&self, server: SocketAddr);
}

/// A connection to a server.
#[derive(Debug)]
pub enum ServerStream {
    /// On the host's own path.
    Direct(TcpStream),
    /// Through a tunnel of the named host.
    Tunnel(SocketAddr, TunnelStream),
}

struct DialerShared {
    rpc: RpcClient,
    clock: Arc<dyn ClockSource>,
    /// The local address of connections on the host's own path; `None` for any.
    source: Option<IpAddr>,
    hosts: Arc<dyn TunnelHosts>,
    observer: Arc<dyn PathObserver>,
    paths: Mutex<ServerPaths>,
}

/// Opens connections to servers; clones share what they learn of paths.
#[derive(Clone)]
pub struct ServerDialer {
    shared: Arc<DialerShared>,
}

impl ServerDialer {
    /// Creates a dialer whose connections begin at the local address `source`, or at any.
    #[must_use]
    pub fn new(
        rpc: RpcClient,
        clock: Arc<dyn ClockSource>,
        source: Option<IpAddr>,
        hosts: Arc<dyn TunnelHosts>,
        observer: Arc<dyn PathObserver>,
    ) -> Self {
        let shared = DialerShared {
            rpc,
            clock,
            source,
            hosts,
            observer,
            paths: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// What is known of the host's paths.
    pub fn paths(&self) -> MutexGuard<'_, ServerPaths> {
        let paths = self.shared.paths.lock();
        paths.unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of tunnels so far whose hosts said that they are about to stop.
    #[must_use]
    pub fn closing_tunnels(&self) -> usize {
        self.shared.rpc.closing_tunnels()
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Fails if no path leads to the server: it is lost, or this host and all tunnel hosts are
    /// cut off from it.
    pub async fn open(&self, server: SocketAddr) -> io::Result<ServerStream> {
        self.open_through(server, None).await
    }

    /// Like [`Self::open`], with tunnels through the hosts that a filter lets pass.
    ///
    /// # Errors
    ///
    /// Fails if no path leads to the server.
    pub async fn open_through(
        &self,
        server: SocketAddr,
        filter: Option<&dyn HostFilter>,
    ) -> io::Result<ServerStream> {
        let first = self.paths().first_path(server, self.now());
        if first == FirstPath::Tunnel
            && let Some((host, stream)) = self.open_tunnel(server, filter).await
        {
            return Ok(ServerStream::Tunnel(host, stream));
        }
        let direct = async {
            let connecting = connect_from(self.shared.source, server);
            tokio::time::timeout(CONNECT_TIMEOUT, connecting).await?
        };
        tokio::pin!(direct);
        let tunnel = self.open_tunnel(server, filter);
        tokio::pin!(tunnel);
        let early = tokio::time::timeout(DIRECT_HEAD_START, &mut direct).await;
        if !matches!(early, Ok(Ok(_))) {
            self.paths().record_unreached(server);
        }
        let failure = match early {
            Ok(Ok(stream)) => return Ok(self.use_direct(server, stream)),
            Ok(Err(failure)) => failure,
            Err(_) => tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Ok(stream) => return Ok(self.use_direct(server, stream)),
                    Err(failure) => failure,
                },
                opened = &mut tunnel => {
                    let Some((host, stream)) = opened else {
                        return direct.await.map(|stream| self.use_direct(server, stream));
                    };
                    let silence = io::ErrorKind::TimedOut.into();
                    return Ok(self.use_detour(server, host, stream, &silence));
                }
            },
        };
        match tunnel.await {
            Some((host, stream)) => Ok(self.use_detour(server, host, stream, &failure)),
            None => Err(failure),
        }
    }

    fn use_direct(&self, server: SocketAddr, stream: TcpStream) -> ServerStream {
        if self.paths().record_direct(server) {
            self.shared.observer.path_restored(server);
        }
        ServerStream::Direct(stream)
    }

    fn use_detour(
        &self,
        server: SocketAddr,
        host: SocketAddr,
        stream: TunnelStream,
        cause: &io::Error,
    ) -> ServerStream {
        let mut paths = self.paths();
        let is_new = paths.record_detour(server, self.now());
        let detours = paths.detours();
        drop(paths);
        if is_new {
            self.shared.observer.path_lost(&PathLoss {
                server,
                cause,
                through: host,
                detours,
            });
        }
        ServerStream::Tunnel(host, stream)
    }

    /// Opens a connection to a server for another host, on this host's own path only.
    pub async fn connect_for_peer(&self, server: SocketAddr) -> Option<TcpStream> {
        if self.paths().is_detoured(server) {
            return None;
        }
        let connecting = connect_from(self.shared.source, server);
        let connected = tokio::time::timeout(TUNNEL_CONNECT_TIMEOUT, connecting).await;
        connected.ok()?.ok()
    }

    /// Opens a tunnel through the first host that reaches the server. A host that does not
    /// answer soon is tried beside the next one.
    async fn open_tunnel(
        &self,
        server: SocketAddr,
        filter: Option<&dyn HostFilter>,
    ) -> Option<(SocketAddr, TunnelStream)> {
        let now = self.now();
        self.paths().record_need(now);
        let mut zones = self.shared.hosts.zones().await;
        if let Some(filter) = filter {
            for hosts in &mut zones {
                hosts.retain(|host| filter.allows(*host));
            }
            zones.retain(|hosts| !hosts.is_empty());
        }
        let groups: Vec<&[SocketAddr]> = zones.iter().map(Vec::as_slice).collect();
        let mut hosts = self.paths().choose_hosts(&groups, now).into_iter();
        let mut attempts = FuturesUnordered::new();
        let mut waiting: Vec<SocketAddr> = Vec::new();
        let deadline = tokio::time::sleep(TUNNEL_TIMEOUT);
        tokio::pin!(deadline);
        let mut opened = None;
        loop {
            if let Some(host) = hosts.next() {
                waiting.push(host);
                attempts
                    .push(async move { (host, self.shared.rpc.open_tunnel(host, server).await) });
            } else if attempts.is_empty() {
                break;
            }
            tokio::select! {
                Some((host, result)) = attempts.next() => match result {
                    Ok(stream) => {
                        opened = Some((host, stream));
                        break;
                    }
                    Err(TunnelError::Declined) => waiting.retain(|other| *other != host),
                    Err(TunnelError::Peer(_)) => {}
                },
                () = tokio::time::sleep(TUNNEL_STAGGER), if hosts.len() > 0 => {}
                () = &mut deadline => break,
            }
        }
        let now = self.now();
        let used = opened.as_ref().map(|(host, _)| *host);
        let mut paths = self.paths();
        for host in waiting.into_iter().filter(|host| Some(*host) != used) {
            paths.record_host_failure(host, now);
        }
        drop(paths);
        opened
    }
}

/// Connects from a local address, or from any.
async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let stream = match source {
        None => TcpStream::connect(address).await?,
        Some(source) => {
            let socket = match source {
                IpAddr::V4(_) => TcpSocket::new_v4()?,
                IpAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(address).await?
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

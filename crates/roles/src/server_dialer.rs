//! Opens connections to backend servers: on the host's own path, or through a tunnel of another
//! host if that path fails.
//!
//! The host's own path has a head start, and a healthy one always wins: a tunnel takes more
//! round trips. That a tunnel reaches a server which the host itself does not reach tells a
//! lost path from a lost server.

use crate::event_log::EventLog;
use crate::fleet_view::FleetView;
use crate::process::ProcessBase;
use crate::server_paths::{FirstPath, ServerPaths};
use chicoryladder_rpc::{RpcClient, TunnelError, TunnelStream};
use chicoryladder_types::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::json;
use std::collections::BTreeMap;
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

/// The age from which the list of tunnel hosts is renewed before it is used.
const HOSTS_AGE_MAX: Duration = Duration::from_secs(1);

/// The time that the renewal of the list may take.
const HOSTS_REFRESH_MAX: Duration = Duration::from_millis(50);

/// A connection to a server.
pub(crate) enum ServerStream {
    Direct(TcpStream),
    Tunnel(SocketAddr, TunnelStream),
}

/// Opens connections to servers; clones share what they learn of paths.
#[derive(Clone)]
pub(crate) struct ServerDialer {
    rpc: RpcClient,
    clock: Arc<dyn ClockSource>,
    /// The local address of connections on the host's own path; `None` for any.
    source: Option<IpAddr>,
    view: FleetView,
    log: EventLog,
    paths: Arc<Mutex<ServerPaths>>,
}

impl ServerDialer {
    pub(crate) fn new(base: &ProcessBase, view: FleetView, log: EventLog) -> Self {
        Self {
            rpc: base.rpc.clone(),
            clock: base.clock.clone(),
            source: base.settings.listen.servers_from,
            view,
            log,
            paths: Arc::default(),
        }
    }

    pub(crate) fn paths(&self) -> MutexGuard<'_, ServerPaths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// Fails if no path leads to the server: it is lost, or this host and all tunnel hosts are
    /// cut off from it.
    pub(crate) async fn open(&self, server: SocketAddr) -> io::Result<ServerStream> {
        let first = self.paths().first_path(server, self.now());
        let direct = async {
            let connecting = connect_from(self.source, server);
            tokio::time::timeout(CONNECT_TIMEOUT, connecting).await?
        };
        tokio::pin!(direct);
        if first == FirstPath::Tunnel
            && let Some((host, stream)) = self.open_tunnel(server).await
        {
            return Ok(ServerStream::Tunnel(host, stream));
        }
        let failure = match tokio::time::timeout(DIRECT_HEAD_START, &mut direct).await {
            Ok(Ok(stream)) => return Ok(self.use_direct(server, stream)),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        self.paths().record_unreached(server);
        let tunnel = self.open_tunnel(server);
        tokio::pin!(tunnel);
        let Some(error) = failure else {
            return tokio::select! {
                biased;
                connected = &mut direct => match connected {
                    Ok(stream) => Ok(self.use_direct(server, stream)),
                    Err(error) => match tunnel.await {
                        Some((host, stream)) => Ok(self.use_detour(server, host, stream, &error)),
                        None => Err(error),
                    },
                },
                opened = &mut tunnel => match opened {
                    Some((host, stream)) => {
                        let error = io::ErrorKind::TimedOut.into();
                        Ok(self.use_detour(server, host, stream, &error))
                    }
                    None => direct.await.map(|stream| self.use_direct(server, stream)),
                },
            };
        };
        match tunnel.await {
            Some((host, stream)) => Ok(self.use_detour(server, host, stream, &error)),
            None => Err(error),
        }
    }

    fn use_direct(&self, server: SocketAddr, stream: TcpStream) -> ServerStream {
        if self.paths().record_direct(server) {
            self.log
                .note("path_restored", &json!({ "address": server }));
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
            let fields = json!({
                "address": server,
                "cause": cause.to_string(),
                "through": host,
                "detours": detours,
            });
            self.log.note("path_lost", &fields);
        }
        ServerStream::Tunnel(host, stream)
    }

    /// Opens a connection to a server for another host, on this host's own path only.
    pub(crate) async fn connect_for_peer(&self, server: SocketAddr) -> Option<TcpStream> {
        if self.paths().is_detoured(server) {
            return None;
        }
        let connecting = connect_from(self.source, server);
        let connected = tokio::time::timeout(TUNNEL_CONNECT_TIMEOUT, connecting).await;
        connected.ok()?.ok()
    }

    /// Opens a tunnel through the first host that reaches the server. A host that does not
    /// answer soon is tried beside the next one.
    async fn open_tunnel(&self, server: SocketAddr) -> Option<(SocketAddr, TunnelStream)> {
        let hosts = self.choose_hosts().await;
        let mut hosts = hosts.into_iter();
        let mut attempts = FuturesUnordered::new();
        let mut waiting: Vec<SocketAddr> = Vec::new();
        let deadline = tokio::time::sleep(TUNNEL_TIMEOUT);
        tokio::pin!(deadline);
        let mut opened = None;
        loop {
            if let Some(host) = hosts.next() {
                waiting.push(host);
                attempts.push(async move { (host, self.rpc.open_tunnel(host, server).await) });
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

    /// The hosts through which to try a tunnel, those of this host's zone first.
    async fn choose_hosts(&self) -> Vec<SocketAddr> {
        let now = self.now();
        self.paths().record_need(now);
        let age = self.view.tunnel_hosts_age(now);
        if age.is_none_or(|age| age > HOSTS_AGE_MAX) && self.view.has_leader() {
            self.view.refresh(HOSTS_REFRESH_MAX).await;
        }
        let identity = self.rpc.identity();
        let listed = self.view.tunnel_hosts();
        let mut zones: BTreeMap<(bool, ZoneName), Vec<SocketAddr>> = BTreeMap::new();
        for host in listed {
            let is_remote = host.zone != identity.zone;
            let zone = zones.entry((is_remote, host.zone)).or_default();
            zone.push(host.address);
        }
        if zones.is_empty() {
            let mut hosts = self.view.zone_roster().hosts;
            hosts.retain(|host| *host != identity.address);
            zones.insert((false, identity.zone.clone()), hosts);
        }
        let groups: Vec<&[SocketAddr]> = zones.values().map(Vec::as_slice).collect();
        self.paths().choose_hosts(&groups, now)
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

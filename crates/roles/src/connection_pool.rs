//! A pool of HTTP/1 connections to backend servers.
//!
//! A connection carries one request at a time and is reused for the next. Any
//! irregularity closes it: bytes that arrive without a request belong to none.

use bytes::Bytes;
use chicoryladder_dialer::{HostFilter, ServerDialer, ServerStream};
use chicoryladder_rpc::TunnelHealth;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// The time within which it is found out whether a lost connection is due to a lost path.
const PATH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// The time for which an idle connection is kept if the server announces no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The share of the server's announced idle timeout for which a connection is reused,
/// so that a request does not race with the server's close.
const IDLE_SHARE: f64 = 0.6;

/// The longest idle timeout that is believed.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(60 * 60);

/// The idle time after which a connection is not reused for a request that may run at
/// most once.
const FRESH_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The maximum number of idle connections kept per server.
const IDLE_PER_SERVER_MAX: usize = 16;

/// The sending half of a connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

/// How a connection failed in the middle of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// It was lost.
    Lost,
    /// No bytes arrived in time.
    Silent,
}

/// The path that a connection takes to its server.
#[derive(Clone, Debug)]
pub(crate) enum ConnectionPath {
    Direct,
    Tunnel {
        host: SocketAddr,
        health: Arc<TunnelHealth>,
    },
}

impl ConnectionPath {
    /// Whether a request may take it that passes only through some tunnel hosts.
    fn is_allowed(&self, filter: Option<&dyn HostFilter>) -> bool {
        match (self, filter) {
            (Self::Tunnel { host, .. }, Some(filter)) => filter.allows(*host),
            (Self::Direct, _) | (_, None) => true,
        }
    }

    /// Whether no further request should take it, as its tunnel host is about to stop.
    fn is_closing(&self) -> bool {
        matches!(self, Self::Tunnel { health, .. } if health.is_closing())
    }
}

/// A connection that no request uses.
pub(crate) struct OpenConnection {
    pub(crate) sender: RequestSender,
    pub(crate) path: ConnectionPath,
    /// The incarnation of the server at its other end, once the server has named it. A
    /// connection does not outlast it.
    pub(crate) incarnation: Option<u64>,
    /// Whether a response has arrived on it. A copy of that response, or one that is late, may
    /// come where the next response is due.
    pub(crate) has_answered: bool,
}

struct IdleConnection {
    connection: OpenConnection,
    idle_since: Instant,
    usable_until: Instant,
}

/// The idle connections of a process. Clones share them.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    clock: Arc<dyn ClockSource>,
    dialer: ServerDialer,
    idle: Arc<Mutex<IdleConnections>>,
}

#[derive(Default)]
struct IdleConnections {
    by_server: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// The closing tunnels so far when those among the connections were last closed.
    closing_tunnels: usize,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn ClockSource>, dialer: ServerDialer) -> Self {
        Self {
            clock,
            dialer,
            idle: Arc::default(),
        }
    }

    pub(crate) fn dialer(&self) -> &ServerDialer {
        &self.dialer
    }

    /// The idle connections, without those through hosts that are about to stop.
    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let closing_tunnels = self.dialer.closing_tunnels();
        if idle.closing_tunnels != closing_tunnels {
            idle.closing_tunnels = closing_tunnels;
            for connections in idle.by_server.values_mut() {
                connections.retain(|c| !c.connection.path.is_closing());
            }
        }
        idle
    }

    /// Takes the most recently used idle connection to a server.
    ///
    /// With `fresh`, only one that was idle for less than [`FRESH_MAX_AGE`]; with a filter, only
    /// one that leads through no tunnel host beyond it.
    pub(crate) fn take_idle(
        &self,
        address: SocketAddr,
        fresh: bool,
        filter: Option<&dyn HostFilter>,
    ) -> Option<OpenConnection> {
        let now = self.clock.now();
        let mut idle = self.idle();
        let connections = idle.by_server.get_mut(&address)?;
        connections.retain(|c| !c.connection.sender.is_closed() && now < c.usable_until);
        let is_allowed = |idle: &IdleConnection| idle.connection.path.is_allowed(filter);
        let position = connections.iter().rposition(is_allowed)?;
        let last = &connections[position];
        let is_fresh = now.saturating_duration_since(last.idle_since) < FRESH_MAX_AGE;
        if !last.connection.sender.is_ready() || (fresh && !is_fresh) {
            return None;
        }
        Some(connections.remove(position).connection)
    }

    /// Opens a connection; with a filter, through no tunnel host beyond it.
    ///
    /// # Errors
    ///
    /// Fails if no path leads to the server.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        filter: Option<&dyn HostFilter>,
    ) -> std::io::Result<OpenConnection> {
        let was_cut_off = self.dialer.paths().is_cut_off();
        let (sender, path) = match self.dialer.open_through(address, filter).await? {
            ServerStream::Direct(stream) => (
                start_connection(address, stream).await?,
                ConnectionPath::Direct,
            ),
            ServerStream::Tunnel(host, stream) => {
                let health = stream.health();
                let path = ConnectionPath::Tunnel { host, health };
                (start_connection(address, stream).await?, path)
            }
        };
        if !was_cut_off && self.dialer.paths().is_cut_off() {
            self.close_idle_on_lost_paths();
        }
        Ok(OpenConnection {
            sender,
            path,
            incarnation: None,
            has_answered: false,
        })
    }

    /// Whether a connection to a server is known to have ended with its path: other hosts
    /// reach the server, the host has lost its paths to several servers, or the tunnel host
    /// is lost. The silence of a tunnel says nothing of the server, since its host may stand
    /// still.
    pub(crate) fn knows_lost_path(
        &self,
        address: SocketAddr,
        path: &ConnectionPath,
        end: ConnectionEnd,
    ) -> bool {
        match path {
            ConnectionPath::Direct => {
                let paths = self.dialer.paths();
                paths.is_detoured(address) || paths.is_cut_off()
            }
            ConnectionPath::Tunnel { host, health } => {
                let is_lost = health.is_lost() || end == ConnectionEnd::Silent;
                if is_lost {
                    let now = self.clock.now();
                    self.dialer.paths().record_host_failure(*host, now);
                    self.close_idle_through(*host);
                }
                is_lost
            }
        }
    }

    /// Like [`Self::knows_lost_path`], but finds out if it is not known whether the host's own
    /// path is lost.
    pub(crate) async fn is_path_lost(
        &self,
        address: SocketAddr,
        path: &ConnectionPath,
        end: ConnectionEnd,
    ) -> bool {
        if self.knows_lost_path(address, path, end) {
            return true;
        }
        if matches!(path, ConnectionPath::Tunnel { .. }) {
            return false;
        }
        let opening = tokio::time::timeout(PATH_CHECK_TIMEOUT, self.open(address, None));
        let Ok(Ok(connection)) = opening.await else {
            return false;
        };
        let is_detour = matches!(connection.path, ConnectionPath::Tunnel { .. });
        self.put_idle(address, connection, None);
        is_detour
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        connection: OpenConnection,
        idle_timeout: Option<Duration>,
    ) {
        if connection.sender.is_closed() || connection.path.is_closing() {
            return;
        }
        let now = self.clock.now();
        let usable_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |announced| {
            announced.min(IDLE_TIMEOUT_MAX).mul_f64(IDLE_SHARE)
        });
        let connection = IdleConnection {
            connection,
            idle_since: now,
            usable_until: now + usable_for,
        };
        let mut idle = self.idle();
        let connections = idle.by_server.entry(address).or_default();
        connections.retain(|c| !c.connection.sender.is_closed() && now < c.usable_until);
        if connections.len() < IDLE_PER_SERVER_MAX {
            connections.push(connection);
        }
        idle.by_server
            .retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to a server that appears to have failed.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle().by_server.remove(&address);
    }

    /// Closes the idle connections through a tunnel host.
    fn close_idle_through(&self, lost: SocketAddr) {
        let is_through = |path: &ConnectionPath| match path {
            ConnectionPath::Direct => false,
            ConnectionPath::Tunnel { host, .. } => *host == lost,
        };
        for connections in self.idle().by_server.values_mut() {
            connections.retain(|c| !is_through(&c.connection.path));
        }
    }

    /// Closes the idle connections that do not lead through tunnels. Those that a host had
    /// when it was cut off may hang.
    fn close_idle_on_lost_paths(&self) {
        for connections in self.idle().by_server.values_mut() {
            connections.retain(|c| matches!(c.connection.path, ConnectionPath::Tunnel { .. }));
        }
    }
}

async fn start_connection<S>(address: SocketAddr, stream: S) -> std::io::Result<RequestSender>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("server connection: connection to {address} failed: {error}.");
        }
    });
    Ok(sender)
}

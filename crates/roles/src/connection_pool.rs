//! A pool of HTTP/1 connections to backend servers.
//!
//! A connection carries one request at a time and is reused for the next. Any
//! irregularity closes it: bytes that arrive without a request belong to none.

use bytes::Bytes;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};

/// The timeout for opening a connection. If the server's accept queue is full, the SYN
/// is dropped, and TCP resends it only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which an idle connection is kept if the server announces no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The share of the server's announced idle timeout for which a connection is reused,
/// so that a request does not race with the server's close.
const IDLE_SHARE: f64 = 0.6;

/// The idle time after which a connection is not reused for a request that may run at
/// most once.
const FRESH_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The maximum number of idle connections kept per server.
const IDLE_PER_SERVER_MAX: usize = 16;

/// The sending half of a connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: RequestSender,
    idle_since: Instant,
    usable_until: Instant,
}

/// The idle connections of a process. Clones share them.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    clock: Arc<dyn ClockSource>,
    /// The local address of new connections; `None` for any.
    source: Option<IpAddr>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn ClockSource>, source: Option<IpAddr>) -> Self {
        Self {
            clock,
            source,
            idle: Arc::default(),
        }
    }

    /// Takes the most recently used idle connection to a server.
    ///
    /// With `fresh`, only one that was idle for less than [`FRESH_MAX_AGE`].
    pub(crate) fn take_idle(&self, address: SocketAddr, fresh: bool) -> Option<RequestSender> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|c| !c.sender.is_closed() && now < c.usable_until);
        let last = connections.last()?;
        let is_fresh = now.saturating_duration_since(last.idle_since) < FRESH_MAX_AGE;
        if !last.sender.is_ready() || (fresh && !is_fresh) {
            return None;
        }
        connections.pop().map(|connection| connection.sender)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept it within [`CONNECT_TIMEOUT`].
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<RequestSender> {
        let connecting = connect_from(self.source, address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
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

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put_idle(
        &self,
        address: SocketAddr,
        sender: RequestSender,
        idle_timeout: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let usable_for = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |announced| {
            announced.mul_f64(IDLE_SHARE)
        });
        let connection = IdleConnection {
            sender,
            idle_since: now,
            usable_until: now + usable_for,
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.retain(|c| !c.sender.is_closed() && now < c.usable_until);
        if connections.len() < IDLE_PER_SERVER_MAX {
            connections.push(connection);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the idle connections to a server that appears to have failed.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }
}

/// Connects from a local address, or from any.
async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

//! Connections to backend servers.
//!
//! A connection serves one request at a time and is kept for the next. What looks
//! odd on a connection closes it: bytes that nobody asked for belong to no request.

use bytes::Bytes;
use chicoryladder_types::prelude::*;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The longest time to open a connection; a full queue of new connections loses
/// the opening packet, and its repetition comes after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The time for which an unused connection is kept where the server tells none.
const IDLE_KEPT: Duration = Duration::from_secs(4);

/// The part of the time told by the server for which a connection is used again,
/// so that the server does not close it at that very moment.
const IDLE_SHARE: f64 = 0.6;

/// The rest of an unused connection after which a request that may run only once
/// gets a new one.
const FRESH_FOR: Duration = Duration::from_millis(1_500);

/// Unused connections that are kept of one server.
const IDLE_MAX: usize = 16;

/// Sends requests on one connection.
pub(crate) type RequestSender = SendRequest<Full<Bytes>>;

struct IdleConnection {
    sender: RequestSender,
    idle_since: Instant,
    usable_until: Instant,
}

/// The unused connections of a process; clones share them.
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    clock: Arc<dyn ClockSource>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Arc<dyn ClockSource>) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// An unused connection, the one that was used last.
    ///
    /// With `fresh`, only one that was used a moment ago.
    pub(crate) fn take_idle(&self, address: SocketAddr, fresh: bool) -> Option<RequestSender> {
        let now = self.clock.now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|c| !c.sender.is_closed() && now < c.usable_until);
        let last = connections.last()?;
        let is_fresh = now.saturating_duration_since(last.idle_since) < FRESH_FOR;
        if !last.sender.is_ready() || (fresh && !is_fresh) {
            return None;
        }
        connections.pop().map(|connection| connection.sender)
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server does not take it in time.
    pub(crate) async fn open(&self, address: SocketAddr) -> std::io::Result<RequestSender> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("server connection: {address} ended: {error}.");
            }
        });
        Ok(sender)
    }

    /// Keeps a connection whose answer was read to its end.
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
        let kept = idle_timeout.map_or(IDLE_KEPT, |announced| announced.mul_f64(IDLE_SHARE));
        let connection = IdleConnection {
            sender,
            idle_since: now,
            usable_until: now + kept,
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        connections.retain(|c| !c.sender.is_closed() && now < c.usable_until);
        if connections.len() < IDLE_MAX {
            connections.push(connection);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Closes the unused connections to a server that looks dead.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }
}

//! Client side: sends calls and notices to peers.

use crate::connection::{ConnectionTask, OutboundCall, OutboundMessage};
use crate::identity::PeerIdentity;
use crate::tunnel::{TunnelError, TunnelStream, open_tunnel};
use crate::tunnel_request::{TunnelRequest, TunnelSecret};
use bytes::Bytes;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// The maximum number of messages queued for one peer; further ones are dropped.
const PEER_QUEUE_MESSAGES: usize = 4_096;

/// Why a call returned no reply. The peer may have processed the call in either
/// case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// The connection could not be opened or was lost, or the queue to the peer is full.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer did not reply within the timeout.
    #[error("the peer did not answer in time")]
    TimedOut,
}

struct ClientShared {
    identity: Arc<PeerIdentity>,
    clock: Arc<dyn ClockSource>,
    runtime: Handle,
    tunnel_secret: Option<TunnelSecret>,
    closing_tunnels: Arc<AtomicUsize>,
    peers: Mutex<HashMap<SocketAddr, mpsc::Sender<OutboundMessage>>>,
}

/// Sends calls and notices; clones share connections.
///
/// It may be used from threads outside the runtime that it was created in.
#[derive(Clone)]
pub struct RpcClient {
    shared: Arc<ClientShared>,
}

impl RpcClient {
    /// Creates a client without connections.
    ///
    /// Must be called within a Tokio runtime, which then runs the connections.
    #[must_use]
    pub fn new(identity: PeerIdentity, clock: Arc<dyn ClockSource>) -> Self {
        Self::with_tunnel_secret(identity, clock, None)
    }

    /// Like [`Self::new`], with the secret by which requests for tunnels are authenticated.
    #[must_use]
    pub fn with_tunnel_secret(
        identity: PeerIdentity,
        clock: Arc<dyn ClockSource>,
        tunnel_secret: Option<TunnelSecret>,
    ) -> Self {
        let shared = ClientShared {
            identity: Arc::new(identity),
            clock,
            runtime: Handle::current(),
            tunnel_secret,
            closing_tunnels: Arc::default(),
            peers: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The identity that is sent to peers.
    #[must_use]
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.identity
    }

    /// Calls a peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if the queue to the peer is full, if the connection fails, or if no reply
    /// arrives within `timeout`. The peer may have processed the call nevertheless.
    pub async fn call(
        &self,
        peer: SocketAddr,
        payload: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, RpcError> {
        self.send_call(peer, payload.into(), timeout, None).await
    }

    /// Like [`Self::call`], but fails with [`RpcError::Unreachable`] as soon as the peer
    /// has left a probe unanswered for `max_silence`. The probe is sent shortly after the
    /// call. A peer that takes long to reply answers probes meanwhile.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`], or if the peer falls silent.
    pub async fn call_responsive(
        &self,
        peer: SocketAddr,
        payload: impl Into<Bytes>,
        timeout: Duration,
        max_silence: Duration,
    ) -> Result<Bytes, RpcError> {
        self.send_call(peer, payload.into(), timeout, Some(max_silence))
            .await
    }

    async fn send_call(
        &self,
        peer: SocketAddr,
        payload: Bytes,
        timeout: Duration,
        max_silence: Option<Duration>,
    ) -> Result<Bytes, RpcError> {
        let (reply_sender, receiver) = oneshot::channel();
        let call = OutboundCall {
            payload,
            reply_sender,
            max_silence,
        };
        if !self.send(peer, OutboundMessage::Call(call)) {
            return Err(RpcError::Unreachable);
        }
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(RpcError::Unreachable),
            Err(_) => Err(RpcError::TimedOut),
        }
    }

    /// Opens a tunnel to `target` through a peer, on a connection of its own.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached, or does not reach the target. It has no time
    /// limit of its own.
    pub async fn open_tunnel(
        &self,
        peer: SocketAddr,
        target: SocketAddr,
    ) -> Result<TunnelStream, TunnelError> {
        let identity = &self.shared.identity;
        let secret = self.shared.tunnel_secret.as_ref();
        let since_epoch = self.shared.clock.since_epoch();
        let request = TunnelRequest::new(identity, target, secret, since_epoch);
        open_tunnel(
            identity,
            peer,
            &request,
            self.shared.closing_tunnels.clone(),
        )
        .await
    }

    /// The number of tunnels so far whose peers said that they are about to stop. While it is
    /// unchanged, no kept tunnel has to be looked at.
    #[must_use]
    pub fn closing_tunnels(&self) -> usize {
        self.shared.closing_tunnels.load(Ordering::Relaxed)
    }

    /// Sends a notice, without delivery guarantee.
    pub fn notify(&self, peer: SocketAddr, payload: impl Into<Bytes>) {
        if !self.send(peer, OutboundMessage::Notice(payload.into())) {
            log::debug!("rpc: dropped a notice to {peer}: its queue is full.");
        }
    }

    fn send(&self, peer: SocketAddr, message: OutboundMessage) -> bool {
        let queue = self.queue(peer);
        match queue.try_send(message) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => false,
        }
    }

    fn queue(&self, peer: SocketAddr) -> mpsc::Sender<OutboundMessage> {
        let mut peers = self
            .shared
            .peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = peers.get(&peer).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        let (sender, messages) = mpsc::channel(PEER_QUEUE_MESSAGES);
        let task = ConnectionTask {
            peer,
            identity: self.shared.identity.clone(),
            clock: self.shared.clock.clone(),
            messages,
        };
        self.shared.runtime.spawn(task.run());
        peers.insert(peer, sender.clone());
        sender
    }
}

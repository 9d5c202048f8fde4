//! Sends calls and notices.

use crate::connection::{ConnectionTask, OutboundMessage};
use crate::identity::PeerIdentity;
use bytes::Bytes;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Messages that wait for one peer; more are dropped.
const PEER_QUEUE_MESSAGES: usize = 4_096;

/// Why a call has no answer. The peer may have acted on it in either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RpcError {
    /// The connection could not be opened, or was lost.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// No answer came in time.
    #[error("the peer did not answer in time")]
    TimedOut,
}

struct ClientShared {
    identity: Arc<PeerIdentity>,
    clock: Arc<dyn ClockSource>,
    runtime: Handle,
    peers: Mutex<HashMap<SocketAddr, mpsc::Sender<OutboundMessage>>>,
}

/// Sends calls and notices; clones share connections.
///
/// It may be used from threads outside the runtime that it was made in.
#[derive(Clone)]
pub struct RpcClient {
    shared: Arc<ClientShared>,
}

impl RpcClient {
    /// A client without connections; has to be made within a runtime.
    #[must_use]
    pub fn new(identity: PeerIdentity, clock: Arc<dyn ClockSource>) -> Self {
        let shared = ClientShared {
            identity: Arc::new(identity),
            clock,
            runtime: Handle::current(),
            peers: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The identity that peers see.
    #[must_use]
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.identity
    }

    /// Calls a peer and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes within `timeout`; the peer may have acted.
    pub async fn call(
        &self,
        peer: SocketAddr,
        payload: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, RpcError> {
        let (sender, receiver) = oneshot::channel();
        if !self.send(peer, OutboundMessage::Call(payload.into(), sender)) {
            return Err(RpcError::Unreachable);
        }
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(RpcError::Unreachable),
            Err(_) => Err(RpcError::TimedOut),
        }
    }

    /// Sends a notice, which may be lost.
    pub fn notify(&self, peer: SocketAddr, payload: impl Into<Bytes>) {
        if !self.send(peer, OutboundMessage::Notice(payload.into())) {
            log::debug!("rpc: dropped a notice to {peer}, its queue is full.");
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

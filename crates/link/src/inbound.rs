//! The task that owns the listening socket and checks received messages.

use crate::envelope::{LinkFrame, PeerEnvelope, ProbeReply};
use crate::fragment::PartAssembler;
use crate::handle::{InboundMessage, LinkError, PeerLink};
use crate::stats::{add, increment};
use anng::Socket;
use anng::pipes::TcpOptions;
use anng::protocols::pipeline0::Pull0;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// A pull socket and the address that it is bound to.
pub(crate) struct BoundSocket {
    socket: Socket<Pull0>,
    pub(crate) address: SocketAddr,
}

/// The maximum time to wait for an address that is still in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between two attempts to bind an address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Opens the listening socket.
///
/// A previous process that was just stopped may still be closing its socket, so
/// binding an address in use is retried for a short time.
pub(crate) async fn listen(address: SocketAddr) -> Result<BoundSocket, LinkError> {
    let mut remaining = BIND_TIMEOUT;
    loop {
        match try_listen(address).await {
            Err(LinkError::Listen { source, .. })
                if source.kind() == ErrorKind::AddrInUse && !remaining.is_zero() => {}
            result => return result,
        }
        tokio::time::sleep(BIND_RETRY_INTERVAL).await;
        remaining = remaining.saturating_sub(BIND_RETRY_INTERVAL);
    }
}

async fn try_listen(address: SocketAddr) -> Result<BoundSocket, LinkError> {
    let failed = |source| LinkError::Listen { address, source };
    let socket = Pull0::socket().map_err(failed)?;
    let bound = socket
        .listen_tcp(address, &TcpOptions::default())
        .await
        .map_err(failed)?
        .local_addr()
        .map_err(failed)?;
    Ok(BoundSocket {
        socket,
        address: bound,
    })
}

/// The newest message received on one message stream, for replay protection.
#[derive(Clone, Copy)]
struct StreamPosition {
    incarnation: u64,
    sequence: u64,
}

/// Identifies a message stream: its sender and the address it was sent to.
type StreamKey = (HostName, SocketAddr);

/// Owns the pull socket; checks and dispatches received messages.
pub(crate) struct InboundTask {
    link: PeerLink,
    socket: Socket<Pull0>,
    messages: mpsc::Sender<InboundMessage>,
    positions: HashMap<StreamKey, StreamPosition>,
    assemblers: HashMap<StreamKey, PartAssembler>,
}

impl InboundTask {
    pub(crate) fn new(
        link: PeerLink,
        bound: BoundSocket,
        messages: mpsc::Sender<InboundMessage>,
    ) -> Self {
        Self {
            link,
            socket: bound.socket,
            messages,
            positions: HashMap::new(),
            assemblers: HashMap::new(),
        }
    }

    /// Runs until the receiver of the messages is dropped, then closes the socket.
    pub(crate) async fn run(mut self) {
        self.serve().await;
        let link = self.link.clone();
        drop(self);
        link.shared().listening.send_replace(false);
    }

    async fn serve(&mut self) {
        loop {
            let received = tokio::select! {
                received = self.socket.pull() => received,
                () = self.messages.closed() => return,
            };
            match received {
                Ok(message) => self.accept(message.as_slice()).await,
                Err(error) => {
                    log::error!("link: stopped listening: {error:?}.");
                    return;
                }
            }
        }
    }

    async fn accept(&mut self, sealed: &[u8]) {
        let shared = self.link.shared().clone();
        let Ok(envelope) = PeerEnvelope::open(&shared.secret, sealed) else {
            increment(&shared.stats.rejected_tag);
            return;
        };
        if !self.is_new(&envelope) {
            increment(&shared.stats.rejected_replay);
            return;
        }
        increment(&shared.stats.received);
        add(&shared.stats.received_bytes, sealed.len());
        self.dispatch(envelope).await;
    }

    async fn dispatch(&mut self, envelope: PeerEnvelope) {
        let peer = envelope.reply_address;
        let payload = match envelope.frame {
            LinkFrame::Probe(number) => {
                // If the queue is full the reply is dropped; the peer probes again.
                let reply = ProbeReply {
                    number,
                    dialed: envelope.destination,
                };
                let _ = self.link.send_frame(peer, LinkFrame::ProbeReply(reply));
                None
            }
            LinkFrame::ProbeReply(reply) => {
                self.link.record_reply(reply.dialed, reply.number);
                None
            }
            LinkFrame::Data(payload) => Some(payload),
            LinkFrame::Part(part) => {
                let key = (envelope.sender.clone(), envelope.destination);
                self.assemblers.entry(key).or_default().add(&part)
            }
        };
        if let Some(payload) = payload {
            let message = InboundMessage {
                sender: envelope.sender,
                zone: envelope.zone,
                reply_address: peer,
                payload,
            };
            // If the receiver is closed, the loop in `serve` ends.
            let _ = self.messages.send(message).await;
        }
    }

    /// Whether the envelope is newer than all others received on its message stream;
    /// if so, records it as the newest.
    fn is_new(&mut self, envelope: &PeerEnvelope) -> bool {
        let key = (envelope.sender.clone(), envelope.destination);
        let found = StreamPosition {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
        };
        match self.positions.get_mut(&key) {
            None => {
                self.positions.insert(key, found);
                true
            }
            Some(position) => {
                let newer =
                    (found.incarnation, found.sequence) > (position.incarnation, position.sequence);
                if newer {
                    *position = found;
                }
                newer
            }
        }
    }
}

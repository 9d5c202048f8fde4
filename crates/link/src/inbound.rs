//! The task that owns the listening socket.

use crate::envelope::{LinkFrame, PeerEnvelope, ProbeAnswer};
use crate::fragment::PartJoiner;
use crate::handle::{InboundMessage, LinkError, PeerLink};
use crate::stats::{add, count};
use anng::Socket;
use anng::pipes::TcpOptions;
use anng::protocols::pipeline0::Pull0;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// A pull socket and the address that it took.
pub(crate) struct BoundSocket {
    socket: Socket<Pull0>,
    pub(crate) address: SocketAddr,
}

/// The longest wait for an address that a predecessor is still closing.
const TAKEOVER_PATIENCE: Duration = Duration::from_secs(2);

/// The time between two attempts to take an address.
const TAKEOVER_INTERVAL: Duration = Duration::from_millis(20);

/// Opens the listening socket.
///
/// A process that was stopped just before may still be closing its socket, so
/// an address in use is tried again for a short time.
pub(crate) async fn listen(address: SocketAddr) -> Result<BoundSocket, LinkError> {
    let mut left = TAKEOVER_PATIENCE;
    loop {
        match try_listen(address).await {
            Err(LinkError::Listen { source, .. })
                if source.kind() == ErrorKind::AddrInUse && !left.is_zero() => {}
            result => return result,
        }
        tokio::time::sleep(TAKEOVER_INTERVAL).await;
        left = left.saturating_sub(TAKEOVER_INTERVAL);
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

/// The newest message seen of one sender.
#[derive(Clone, Copy)]
struct SenderMark {
    incarnation: u64,
    sequence: u64,
}

/// Identifies a stream of numbered messages.
type StreamKey = (HostName, SocketAddr);

/// Owns the pull socket; checks and hands on what arrives.
pub(crate) struct InboundTask {
    link: PeerLink,
    socket: Socket<Pull0>,
    messages: mpsc::Sender<InboundMessage>,
    marks: HashMap<StreamKey, SenderMark>,
    joiners: HashMap<StreamKey, PartJoiner>,
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
            marks: HashMap::new(),
            joiners: HashMap::new(),
        }
    }

    /// Runs until the receiver of the messages is dropped, then frees the port.
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
                    log::error!("link: stops listening: {error:?}.");
                    return;
                }
            }
        }
    }

    async fn accept(&mut self, sealed: &[u8]) {
        let shared = self.link.shared().clone();
        let Ok(envelope) = PeerEnvelope::open(&shared.secret, sealed) else {
            count(&shared.stats.rejected_tag);
            return;
        };
        if !self.is_new(&envelope) {
            count(&shared.stats.rejected_replay);
            return;
        }
        count(&shared.stats.received);
        add(&shared.stats.received_bytes, sealed.len());
        self.dispatch(envelope).await;
    }

    async fn dispatch(&mut self, envelope: PeerEnvelope) {
        let peer = envelope.reply_address;
        let payload = match envelope.frame {
            LinkFrame::Probe(number) => {
                // A full queue loses the answer; the peer probes again.
                let answer = ProbeAnswer {
                    number,
                    dialed: envelope.destination,
                };
                let _ = self.link.send_frame(peer, LinkFrame::ProbeAnswer(answer));
                None
            }
            LinkFrame::ProbeAnswer(answer) => {
                self.link.note_answer(answer.dialed, answer.number);
                None
            }
            LinkFrame::Data(payload) => Some(payload),
            LinkFrame::Part(part) => {
                let key = (envelope.sender.clone(), envelope.destination);
                self.joiners.entry(key).or_default().take(&part)
            }
        };
        if let Some(payload) = payload {
            let message = InboundMessage {
                sender: envelope.sender,
                zone: envelope.zone,
                reply_address: peer,
                payload,
            };
            // A closed receiver ends the loop of `serve`.
            let _ = self.messages.send(message).await;
        }
    }

    /// Whether the envelope is newer than all seen on its stream of messages.
    fn is_new(&mut self, envelope: &PeerEnvelope) -> bool {
        let key = (envelope.sender.clone(), envelope.destination);
        let found = SenderMark {
            incarnation: envelope.incarnation,
            sequence: envelope.sequence,
        };
        match self.marks.get_mut(&key) {
            None => {
                self.marks.insert(key, found);
                true
            }
            Some(mark) => {
                let newer = (found.incarnation, found.sequence) > (mark.incarnation, mark.sequence);
                if newer {
                    *mark = found;
                }
                newer
            }
        }
    }
}

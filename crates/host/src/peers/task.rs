//! The task that takes the messages of other hosts.

use super::{PeerDirectory, PeerMessage};
use crate::board::BoardHandle;
use crate::limits::LimitInbox;
use crate::quarantine::QuarantineHandle;
use crate::replica::{ReplicaHandle, ReplicaInbox};
use crate::routing::RoutingHandle;
use crate::tombstones::TombstoneHandle;
use chicoryladder_link::InboundMessage;
use chicoryladder_types::LogIndex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two greetings to each known host.
const GREETING_INTERVAL: Duration = Duration::from_secs(1);

/// Hosts that may wait for this host's position at the same time.
const WAITING_MAX: usize = 1024;

/// Hands each message from other hosts to the task that it concerns.
pub(crate) struct PeerTask {
    pub(crate) directory: PeerDirectory,
    pub(crate) messages: mpsc::Receiver<InboundMessage>,
    pub(crate) replica: ReplicaHandle,
    pub(crate) inbox: ReplicaInbox,
    pub(crate) routing: RoutingHandle,
    pub(crate) limits: LimitInbox,
    pub(crate) quarantine: QuarantineHandle,
    pub(crate) tombstones: TombstoneHandle,
    pub(crate) boards: BoardHandle,
    /// The positions that other hosts wait for this host to reach.
    pub(crate) waiting: HashMap<SocketAddr, LogIndex>,
}

impl PeerTask {
    pub(crate) async fn run(mut self) {
        let mut greetings = tokio::time::interval(GREETING_INTERVAL);
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.dispatch(&message),
                    None => return,
                },
                going_on = self.replica.changed() => {
                    if !going_on {
                        return;
                    }
                    self.answer_waiting();
                }
                _ = greetings.tick() => self.greet(),
            }
        }
    }

    fn greet(&self) {
        let position = self.replica.view().position();
        self.directory.broadcast(&PeerMessage::Greeting(position));
    }

    fn dispatch(&mut self, message: &InboundMessage) {
        self.directory.note_heard(message);
        let sender = message.reply_address;
        match postcard::from_bytes(&message.payload) {
            Ok(PeerMessage::Greeting(position)) => {
                if !position.tombstones.is_empty() {
                    self.tombstones.heard(sender, position.tombstones.clone());
                }
                self.directory.note_position(sender, position);
            }
            Ok(PeerMessage::PositionRequest(index)) => self.note_waiting(sender, index),
            Ok(PeerMessage::Position(position)) => self.directory.note_position(sender, position),
            Ok(PeerMessage::Tombstones(tombstones)) => self.tombstones.heard(sender, tombstones),
            Ok(PeerMessage::Announcement(announcement)) => self.routing.announce(announcement),
            Ok(PeerMessage::Tally(report)) => {
                self.boards.take_tally(message.sender.clone(), report);
            }
            Ok(PeerMessage::Board(board)) => self.boards.take_board(board),
            Ok(PeerMessage::Suspects(updates)) => self.quarantine.deliver(updates),
            Ok(PeerMessage::Limits(content)) => {
                self.limits.deliver(message.sender.clone(), content);
            }
            Ok(PeerMessage::YieldSlot(server)) => {
                self.routing
                    .preempt_batch_item(message.sender.clone(), server);
            }
            Ok(PeerMessage::OnlinePlaced(server)) => self.routing.record_online_dispatch(server),
            Ok(PeerMessage::SlotYielded(server)) => self.routing.record_released_slot(server),
            Ok(PeerMessage::Replica(content)) => self.inbox.deliver(sender, content),
            Err(error) => {
                log::warn!(
                    "peers: cannot decode a message of {}: {error}.",
                    message.sender
                );
            }
        }
    }

    fn note_waiting(&mut self, sender: SocketAddr, index: LogIndex) {
        if self.waiting.len() < WAITING_MAX {
            self.waiting.insert(sender, index);
        }
        self.answer_waiting();
    }

    fn answer_waiting(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let position = self.replica.view().position();
        let directory = &self.directory;
        self.waiting.retain(|requester, index| {
            let reached = position.applied >= *index;
            if reached {
                directory.send(*requester, &PeerMessage::Position(position.clone()));
            }
            !reached
        });
    }
}

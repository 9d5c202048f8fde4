//! The task that dispatches messages from other hosts.

use super::{PeerDirectory, PeerMessage};
use crate::board::BoardHandle;
use crate::limits::LimitInbox;
use crate::quarantine::{PeerReport, QuarantineHandle};
use crate::replica::{ReplicaHandle, ReplicaInbox};
use crate::routing::RoutingHandle;
use crate::tombstones::TombstoneHandle;
use chicoryladder_link::InboundMessage;
use chicoryladder_types::LogIndex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// The time between two heartbeats to each seed address and live host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of pending position requests.
const POSITION_REQUESTS_MAX: usize = 1024;

/// Forwards each message from another host to the task that handles it.
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
    /// The position requests not yet answered: for each requesting host, the log index
    /// that this host has to apply first.
    pub(crate) position_requests: HashMap<SocketAddr, LogIndex>,
}

impl PeerTask {
    pub(crate) async fn run(mut self) {
        let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.dispatch(&message),
                    None => return,
                },
                is_running = self.replica.changed() => {
                    if !is_running {
                        return;
                    }
                    self.answer_position_requests();
                }
                _ = heartbeats.tick() => self.send_heartbeats(),
            }
        }
    }

    fn send_heartbeats(&self) {
        let position = self.replica.view().position();
        self.directory.broadcast(&PeerMessage::Heartbeat(position));
    }

    fn dispatch(&mut self, message: &InboundMessage) {
        self.directory.record_message(message);
        let sender = message.reply_address;
        match postcard::from_bytes(&message.payload) {
            Ok(PeerMessage::Heartbeat(position)) => {
                if !position.tombstones.is_empty() {
                    self.tombstones.receive(sender, position.tombstones.clone());
                }
                self.directory.record_position(sender, position);
            }
            Ok(PeerMessage::PositionRequest(index)) => self.add_position_request(sender, index),
            Ok(PeerMessage::Position(position)) => self.directory.record_position(sender, position),
            Ok(PeerMessage::Tombstones(tombstones)) => self.tombstones.receive(sender, tombstones),
            Ok(PeerMessage::Announcement(announcement)) => self.routing.announce(announcement),
            Ok(PeerMessage::Statistics(report)) => {
                self.boards.receive_report(message.sender.clone(), report);
            }
            Ok(PeerMessage::Board(board)) => self.boards.receive_board(board),
            Ok(PeerMessage::Suspects(updates)) => {
                self.quarantine.deliver(PeerReport::Suspects(updates));
            }
            Ok(PeerMessage::ServerCrash(report)) => {
                self.quarantine.deliver(PeerReport::Crash(report));
            }
            Ok(PeerMessage::RunCompleted(report)) => {
                self.quarantine.deliver(PeerReport::Completion(report));
            }
            Ok(PeerMessage::QuarantinedSegments(segments)) => {
                self.quarantine.deliver(PeerReport::Segments(segments));
            }
            Ok(PeerMessage::Limits(content)) => {
                self.limits.deliver(message.sender.clone(), content);
            }
            Ok(PeerMessage::PreemptBatchItem(server)) => {
                self.routing
                    .preempt_batch_item(message.sender.clone(), server);
            }
            Ok(PeerMessage::OnlineDispatched(server)) => {
                self.routing.record_online_dispatch(server);
            }
            Ok(PeerMessage::SlotReleased(server)) => self.routing.record_released_slot(server),
            Ok(PeerMessage::Replica(content)) => self.inbox.deliver(sender, content),
            Err(error) => {
                log::warn!(
                    "peers: cannot decode a message from {}: {error}.",
                    message.sender
                );
            }
        }
    }

    fn add_position_request(&mut self, sender: SocketAddr, index: LogIndex) {
        if self.position_requests.len() < POSITION_REQUESTS_MAX {
            self.position_requests.insert(sender, index);
        }
        self.answer_position_requests();
    }

    fn answer_position_requests(&mut self) {
        if self.position_requests.is_empty() {
            return;
        }
        let position = self.replica.view().position();
        let directory = &self.directory;
        self.position_requests.retain(|requester, index| {
            let reached = position.applied >= *index;
            if reached {
                directory.send(*requester, &PeerMessage::Position(position.clone()));
            }
            !reached
        });
    }
}

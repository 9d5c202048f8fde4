//! The replica task.

use super::command::{GroupCommand, GroupOutcome, ReplicaMessage};
use super::handle::{
    JobQuery, ProposeError, ReplicaEvent, ReplicaHandle, ReplicaInbox, ReplicaView,
};
use super::log_file::LogFile;
use super::state::GroupState;
use crate::peers::{PeerDirectory, PeerMessage};
use chicoryladder_jobs::UnixMillis;
use chicoryladder_state::{KeyLease, KeyTombstones, LeaseQuestion};
use chicoryladder_types::LogIndex;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// The time between two requests for the voter's tail.
const TAIL_INTERVAL: Duration = Duration::from_millis(100);

/// The most command bytes in one answer to a request for the tail.
const TAIL_MAX_BYTES: usize = 256 * 1024;

/// Why the replica did not start.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaError {
    /// The log cannot be read.
    #[error("the log in the data folder cannot be read")]
    Log(#[source] std::io::Error),
    /// The items cannot be read.
    #[error("the items in the data folder cannot be read")]
    Items(#[source] chicoryladder_jobs::StoreError),
    /// The log holds a command that cannot be decoded.
    #[error("the log holds a command that cannot be decoded")]
    Command(#[source] postcard::Error),
}

type OutcomeSender = oneshot::Sender<Result<GroupOutcome, ProposeError>>;

/// An ordered command whose position this host has not applied yet.
struct OrderedProposal {
    outcome: GroupOutcome,
    sender: OutcomeSender,
}

/// Owns the state machines of one host and, on the voter, the log.
pub(crate) struct ReplicaTask {
    state: GroupState,
    log: Option<LogFile>,
    commands: Vec<Vec<u8>>,
    voter: SocketAddr,
    peers: PeerDirectory,
    clock: Arc<dyn ClockSource>,
    events: mpsc::UnboundedReceiver<ReplicaEvent>,
    views: watch::Sender<ReplicaView>,
    next_proposal: u64,
    proposals: HashMap<u64, OutcomeSender>,
    ordered: BTreeMap<LogIndex, OrderedProposal>,
    lease: KeyLease,
}

impl ReplicaTask {
    /// Opens the state; `folder` is given on the voter only.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be read.
    pub(crate) fn open(
        folder: Option<&Path>,
        voter: SocketAddr,
        peers: PeerDirectory,
        clock: Arc<dyn ClockSource>,
        lease: Duration,
    ) -> Result<(Self, ReplicaHandle, ReplicaInbox), ReplicaError> {
        let mut state = GroupState::open(folder).map_err(ReplicaError::Items)?;
        let (log, commands) = match folder {
            None => (None, Vec::new()),
            Some(folder) => {
                let (log, commands) = LogFile::open(folder).map_err(ReplicaError::Log)?;
                (Some(log), commands)
            }
        };
        for command in &commands {
            state.apply(&decode(command).map_err(ReplicaError::Command)?);
        }
        let (sender, events) = mpsc::unbounded_channel();
        let (views, receiver) = watch::channel(ReplicaView {
            fleet: Arc::new(state.view()),
            level_at: log.is_some().then(|| clock.now()),
        });
        let handle = ReplicaHandle {
            events: sender.clone(),
            views: receiver,
            clock: clock.clone(),
            lease,
            voter,
        };
        let task = Self {
            state,
            log,
            commands,
            voter,
            peers,
            clock,
            events,
            views,
            next_proposal: 0,
            proposals: HashMap::new(),
            ordered: BTreeMap::new(),
            lease: KeyLease::new(lease),
        };
        Ok((task, handle, ReplicaInbox { events: sender }))
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TAIL_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn tick(&mut self) {
        self.proposals.retain(|_, sender| !sender.is_closed());
        self.ordered
            .retain(|_, proposal| !proposal.sender.is_closed());
        if self.log.is_some() {
            self.note_level();
        } else {
            self.request_tail();
        }
    }

    fn request_tail(&mut self) {
        let after = self.state.applied();
        let question = self.lease.ask(self.clock.now());
        self.tell(self.voter, ReplicaMessage::TailRequest { after, question });
    }

    fn handle(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Propose(command, sender) => self.propose(&command, sender),
            ReplicaEvent::Query(query) => self.answer(query),
            ReplicaEvent::Tombstones(tombstones, sender) => {
                let _ = sender.send(self.merge_tombstones(&tombstones));
            }
            ReplicaEvent::Peer(peer, message) => self.receive(peer, message),
        }
    }

    fn propose(&mut self, command: &GroupCommand, sender: OutcomeSender) {
        let Ok(bytes) = postcard::to_stdvec(command) else {
            let _ = sender.send(Err(ProposeError::StorageFailed));
            return;
        };
        if self.log.is_some() {
            let result = self.order(bytes).map(|(_, outcome)| outcome);
            let _ = sender.send(result);
            return;
        }
        self.next_proposal += 1;
        let proposal = self.next_proposal;
        self.proposals.insert(proposal, sender);
        let message = ReplicaMessage::Propose {
            proposal,
            command: bytes,
        };
        self.tell(self.voter, message);
    }

    /// Makes a command durable, then applies it.
    fn order(&mut self, bytes: Vec<u8>) -> Result<(LogIndex, GroupOutcome), ProposeError> {
        let command = decode(&bytes).map_err(|_| ProposeError::StorageFailed)?;
        let log = self.log.as_mut().ok_or(ProposeError::NoQuorum)?;
        if let Err(error) = log.append(&bytes) {
            log::error!("replica: the log cannot be written, stops ordering: {error}.");
            self.log = None;
            return Err(ProposeError::NoQuorum);
        }
        self.commands.push(bytes);
        let outcome = self.state.apply(&command);
        self.note_level();
        Ok((self.state.applied(), outcome))
    }

    fn receive(&mut self, peer: SocketAddr, message: ReplicaMessage) {
        match message {
            ReplicaMessage::Propose { proposal, command } => {
                let answer = match self.order(command) {
                    Ok((index, outcome)) => ReplicaMessage::Ordered {
                        proposal,
                        index,
                        outcome,
                    },
                    Err(_) => ReplicaMessage::Failed { proposal },
                };
                self.tell(peer, answer);
            }
            ReplicaMessage::Ordered {
                proposal,
                index,
                outcome,
            } => self.note_ordered(proposal, index, outcome),
            ReplicaMessage::Failed { proposal } => {
                if let Some(sender) = self.proposals.remove(&proposal) {
                    let _ = sender.send(Err(ProposeError::NoQuorum));
                }
            }
            ReplicaMessage::TailRequest { after, question } => {
                self.send_tail(peer, after, question);
            }
            ReplicaMessage::Tail {
                after,
                commands,
                committed,
                question,
            } => {
                self.lease.note_answer(question, committed);
                self.follow(after, &commands, committed);
            }
        }
    }

    fn note_ordered(&mut self, proposal: u64, index: LogIndex, outcome: GroupOutcome) {
        let Some(sender) = self.proposals.remove(&proposal) else {
            return;
        };
        self.ordered
            .insert(index, OrderedProposal { outcome, sender });
        self.settle_ordered();
        self.request_tail();
    }

    /// Answers proposals whose position is applied here, so that the proposer
    /// reads its own writes.
    fn settle_ordered(&mut self) {
        let applied = self.state.applied();
        let later = self.ordered.split_off(&applied.next());
        for (_, proposal) in std::mem::replace(&mut self.ordered, later) {
            let _ = proposal.sender.send(Ok(proposal.outcome));
        }
    }

    fn send_tail(&self, peer: SocketAddr, after: LogIndex, question: LeaseQuestion) {
        if self.log.is_none() {
            return;
        }
        let begin = usize::try_from(after.0).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let tail = self.commands.get(begin..).unwrap_or_default().iter();
        let commands = tail
            .take_while(|command| {
                let first = bytes == 0;
                bytes += command.len();
                first || bytes <= TAIL_MAX_BYTES
            })
            .cloned()
            .collect();
        let committed = self.state.applied();
        let message = ReplicaMessage::Tail {
            after,
            commands,
            committed,
            question,
        };
        self.tell(peer, message);
    }

    fn follow(&mut self, after: LogIndex, commands: &[Vec<u8>], committed: LogIndex) {
        let Some(known) = self.state.applied().0.checked_sub(after.0) else {
            return;
        };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for bytes in commands.iter().skip(known) {
            match decode(bytes) {
                Ok(command) => {
                    self.state.apply(&command);
                }
                Err(error) => {
                    log::error!("replica: cannot decode a command of the voter: {error}.");
                    return;
                }
            }
        }
        self.settle_ordered();
        self.lease.note_applied(self.state.applied());
        self.publish(self.lease.level_since());
        if self.state.applied() < committed {
            self.request_tail();
        }
    }

    /// The voter itself is always level with the log.
    fn note_level(&mut self) {
        self.publish(Some(self.clock.now()));
    }

    fn publish(&mut self, level_at: Option<Instant>) {
        self.views.send_replace(ReplicaView {
            fleet: Arc::new(self.state.view()),
            level_at,
        });
    }

    fn merge_tombstones(&mut self, tombstones: &KeyTombstones) -> bool {
        let news = self.state.fleet.merge_tombstones(tombstones);
        if news {
            let fleet = Arc::new(self.state.view());
            self.views.send_modify(|view| view.fleet = fleet);
        }
        news
    }

    fn answer(&self, query: JobQuery) {
        // A closed channel means that the asker has left.
        match query {
            JobQuery::Status(team, job, sender) => {
                let now = UnixMillis::from(self.clock.wall());
                let _ = sender.send(self.state.jobs.status(&team, job, now));
            }
            JobQuery::Results(query, sender) => {
                let jobs = &self.state.jobs;
                let page = jobs.results(&query.team, query.job, query.from, query.limit);
                let _ = sender.send(page);
            }
            JobQuery::Request(job, item, sender) => {
                let _ = sender.send(self.state.jobs.request(job, item));
            }
            JobQuery::Dispatch(host, sender) => {
                let _ = sender.send(self.state.jobs.dispatch_view(&host));
            }
            JobQuery::SweepDue(sender) => {
                let now = UnixMillis::from(self.clock.wall());
                let _ = sender.send(self.state.jobs.is_sweep_due(now));
            }
        }
    }

    fn tell(&self, peer: SocketAddr, message: ReplicaMessage) {
        self.peers.send(peer, &PeerMessage::Replica(message));
    }
}

fn decode(bytes: &[u8]) -> Result<GroupCommand, postcard::Error> {
    postcard::from_bytes(bytes)
}

//! The task that runs the replica: it handles events and timers, writes the log
//! and publishes views of the state.

mod messages;
mod proposing;

use super::command::{GroupCommand, MembershipOutcome, ProposalContent, ReplicaMessage};
use super::handle::{
    GroupView, JobQuery, ProposeError, ReplicaEvent, ReplicaHandle, ReplicaInbox, ReplicaView,
};
use super::proposals::{OutcomeSender, ProposalTracker};
use super::role::{ReplicaError, ReplicaRole, ReplicaSettings};
use super::sources::tail_sources;
use super::state::GroupState;
use crate::peers::{PeerDirectory, PeerMessage};
use chicoryladder_consensus::{GroupReplica, LogStorage, ReplicaOutput, SeatRole};
use chicoryladder_jobs::UnixMillis;
use chicoryladder_state::KeyTombstones;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, SeatId};
use messages::HeldRequest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::{Handle, RuntimeFlavor};
use tokio::sync::{mpsc, oneshot, watch};

/// The longest time between two checks of the timers.
const TICK_MAX: Duration = Duration::from_millis(50);

/// The time between two published views that differ only in freshness.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The pause before a seat whose disk failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);

/// A seat whose disk failed.
struct SuspendedSeat {
    /// Its storage, until it is recovered.
    storage: Option<Box<dyn LogStorage>>,
    reopen_at: Instant,
}

/// The maximum number of events that share one sync of the log.
const BATCH_MAX_EVENTS: usize = 256;

/// Owns the state machines of one host and its role in the group.
pub(crate) struct ReplicaTask {
    role: ReplicaRole,
    suspended: Option<SuspendedSeat>,
    /// How often the seat was opened again.
    reopened: u64,
    settings: ReplicaSettings,
    peers: PeerDirectory,
    clock: Arc<dyn ClockSource>,
    events: mpsc::UnboundedReceiver<ReplicaEvent>,
    views: watch::Sender<ReplicaView>,
    view_due_at: Instant,
    proposals: ProposalTracker,
    /// The leader as reported by other hosts, for hosts without a seat.
    reported_leader: Option<SocketAddr>,
    /// The last known addresses of seats, for those that are not members yet.
    seat_addresses: HashMap<SeatId, SocketAddr>,
    pending_transfers: Vec<oneshot::Sender<()>>,
    held: Vec<HeldRequest>,
    /// The leader at the last check.
    last_leader: Option<SocketAddr>,
}

impl ReplicaTask {
    /// Opens the state, and the seat if the host has one.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be read.
    pub(crate) fn open(
        settings: ReplicaSettings,
        peers: PeerDirectory,
        clock: Arc<dyn ClockSource>,
    ) -> Result<(Self, ReplicaHandle, ReplicaInbox), ReplicaError> {
        let now = clock.now();
        let role = ReplicaRole::open(&settings, None, settings.seed, now)?;
        let (sender, events) = mpsc::unbounded_channel();
        let (views, receiver) = watch::channel(ReplicaView {
            fleet: Arc::new(role.state().view()),
            applied: role.applied(),
            fresh_at: None,
            group: Arc::default(),
        });
        let handle = ReplicaHandle {
            events: sender.clone(),
            views: receiver,
            clock: clock.clone(),
            lease: settings.lease,
        };
        let task = Self {
            role,
            suspended: None,
            reopened: 0,
            proposals: ProposalTracker::new(settings.seed),
            settings,
            peers,
            clock,
            events,
            views,
            view_due_at: now,
            reported_leader: None,
            seat_addresses: HashMap::new(),
            pending_transfers: Vec::new(),
            held: Vec::new(),
            last_leader: None,
        };
        Ok((task, handle, ReplicaInbox { events: sender }))
    }

    pub(crate) async fn run(mut self) {
        loop {
            self.step();
            let now = self.clock.now();
            let pause = self.role.wake_at().saturating_duration_since(now);
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle_batch(event),
                    None => return,
                },
                () = tokio::time::sleep(pause.min(TICK_MAX)) => {}
            }
        }
    }

    /// Handles an event and those queued behind it, which share one log sync.
    fn handle_batch(&mut self, first: ReplicaEvent) {
        self.handle(first);
        for _ in 1..BATCH_MAX_EVENTS {
            match self.events.try_recv() {
                Ok(event) => self.handle(event),
                Err(_) => return,
            }
        }
    }

    fn handle(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Propose(command, sender) => self.open_proposal(&command, sender),
            ReplicaEvent::ChangeMembership(change, sender) => {
                let content = ProposalContent::Membership(change);
                let number = self.proposals.open(content, false, sender);
                self.submit(number);
            }
            ReplicaEvent::Query(query) => self.answer_query(query),
            ReplicaEvent::Tombstones(tombstones, sender) => {
                let _ = sender.send(self.merge_tombstones(&tombstones));
            }
            ReplicaEvent::Peer(peer, message) => self.receive(peer, message),
            ReplicaEvent::TransferLeadership(sender) => self.transfer_leadership(sender),
        }
    }

    /// Processes expired timers and the effects of the events handled so far.
    fn step(&mut self) {
        let now = self.clock.now();
        self.reopen_seat(now);
        match &mut self.role {
            ReplicaRole::Seat(replica) => replica.tick(now),
            ReplicaRole::Observer(_) => self.follow_tail(now),
        }
        self.check_leader();
        for number in self.proposals.due(now) {
            self.submit(number);
        }
        self.flush();
        self.publish();
        // After `publish`, so that a caller with a result finds its change in the
        // view.
        self.proposals.complete_applied(self.role.applied());
        self.complete_transfers();
        self.answer_held();
    }

    /// Requeues proposals that a previous leader may have lost.
    fn check_leader(&mut self) {
        let leader = self.leader_address();
        if leader.is_some() && leader != self.last_leader {
            self.last_leader = leader;
            self.proposals.requeue_sent();
        }
    }

    fn follow_tail(&mut self, now: Instant) {
        let live = self.peers.live();
        let voters: Vec<SocketAddr> = self.settings.voters.values().copied().collect();
        let own_address = self.peers.own_address();
        let sources = tail_sources(own_address, &self.settings.zone, &live, &voters);
        let ReplicaRole::Observer(observer) = &mut self.role else {
            return;
        };
        observer.set_sources(sources);
        if let Some(due) = observer.tick(now) {
            self.send(due.source, ReplicaMessage::TailRequest(due.request));
        }
    }

    /// Writes and syncs the log entries that the events so far produced.
    fn flush(&mut self) {
        let now = self.clock.now();
        let ReplicaRole::Seat(replica) = &mut self.role else {
            return;
        };
        let written = replica.write(now);
        let synced = match written {
            Ok(outputs) => {
                self.execute(outputs);
                let ReplicaRole::Seat(replica) = &mut self.role else {
                    return;
                };
                run_blocking(|| replica.flush(now))
            }
            Err(error) => Err(error),
        };
        match synced {
            Ok(outputs) => self.execute(outputs),
            Err(error) => self.suspend_seat(&error),
        }
        if let Some(error) = self.role.state().jobs.failure() {
            log::error!("replica: the items of batch jobs cannot be stored: {error}.");
            self.become_observer();
            log::error!("replica: replace the disk and add it under a new seat.");
        }
    }

    /// Continues as an observer until the disk can be written again.
    fn suspend_seat(&mut self, error: &chicoryladder_consensus::ReplicaError) {
        let reopen_at = self.clock.now() + REOPEN_PAUSE;
        let Some(replica) = self.become_observer() else {
            return;
        };
        if error.is_transient() {
            let storage = Some(replica.into_storage());
            self.suspended = Some(SuspendedSeat { storage, reopen_at });
        } else {
            log::error!("replica: replace the disk and add it under a new seat.");
        }
    }

    /// Opens the seat again, if one is suspended and it is time.
    fn reopen_seat(&mut self, now: Instant) {
        let Some(mut suspended) = self.suspended.take_if(|seat| now >= seat.reopen_at) else {
            return;
        };
        self.reopened += 1;
        let seed = self.settings.seed ^ self.reopened;
        let opening = || {
            if let Some(storage) = &mut suspended.storage {
                storage.recover()?;
            }
            ReplicaRole::open(&self.settings, suspended.storage.take(), seed, now)
        };
        match run_blocking(opening) {
            Ok(role) => {
                log::info!("replica: the seat is open again.");
                let tombstones = self.role.state().view().tombstones().clone();
                self.role = role;
                self.role.state_mut().fleet.merge_tombstones(&tombstones);
            }
            Err(error) => {
                log::warn!("replica: the seat cannot be opened yet: {error}.");
                suspended.reopen_at = now + REOPEN_PAUSE;
                self.suspended = Some(suspended);
            }
        }
    }

    fn execute(&mut self, outputs: Vec<ReplicaOutput>) {
        for output in outputs {
            match output {
                ReplicaOutput::Send(envelope) => self.send_seat(envelope),
                ReplicaOutput::Answered {
                    token,
                    index,
                    answer,
                } => self.deliver_outcome(token, index, &answer),
                ReplicaOutput::Dropped { token, reason } => self.handle_dropped(token, reason),
            }
        }
    }

    /// Continues as an observer after a disk failure; the seat, which is returned, sends nothing
    /// from then on.
    fn become_observer(&mut self) -> Option<Box<GroupReplica<GroupState>>> {
        if matches!(self.role, ReplicaRole::Observer(_)) {
            return None;
        }
        log::error!("replica: continuing as an observer.");
        let voters = self.settings.voters.values().copied().collect();
        let tombstones = self.role.state().view().tombstones().clone();
        let observer = ReplicaRole::observer(voters, self.clock.now());
        let role = std::mem::replace(&mut self.role, observer);
        self.role.state_mut().fleet.merge_tombstones(&tombstones);
        self.proposals.abandon_log();
        match role {
            ReplicaRole::Seat(replica) => Some(replica),
            ReplicaRole::Observer(_) => None,
        }
    }

    /// Publishes the state to the other tasks; its log position never decreases.
    fn publish(&mut self) {
        let now = self.clock.now();
        let applied = self.role.applied();
        let published = self.views.borrow().applied;
        if applied < published || (applied == published && now < self.view_due_at) {
            return;
        }
        self.view_due_at = now + VIEW_INTERVAL;
        self.views.send_replace(ReplicaView {
            fleet: Arc::new(self.role.state().view()),
            applied,
            fresh_at: self.role.fresh_at(now),
            group: Arc::new(self.group_view()),
        });
    }

    /// Applies key withdrawals to this host's view before they are committed;
    /// returns whether any of them was new.
    fn merge_tombstones(&mut self, tombstones: &KeyTombstones) -> bool {
        let changed = self.role.state_mut().fleet.merge_tombstones(tombstones);
        if changed {
            let fleet = Arc::new(self.role.state().view());
            self.views.send_modify(|view| view.fleet = fleet);
        }
        changed
    }

    fn group_view(&self) -> GroupView {
        let leader = self.leader_address();
        match &self.role {
            ReplicaRole::Seat(replica) => GroupView {
                leader,
                term: Some(replica.seat().term()),
                membership: Some(replica.seat().membership().clone()),
            },
            ReplicaRole::Observer(_) => GroupView {
                leader,
                term: None,
                membership: None,
            },
        }
    }

    fn leads(&self) -> bool {
        match &self.role {
            ReplicaRole::Seat(replica) => replica.seat().role() == SeatRole::Leader,
            ReplicaRole::Observer(_) => false,
        }
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        match &self.role {
            ReplicaRole::Seat(replica) => self.seat_address(replica.seat().leader()?),
            ReplicaRole::Observer(_) => self.reported_leader,
        }
    }

    fn seat_address(&self, seat: SeatId) -> Option<SocketAddr> {
        let ReplicaRole::Seat(replica) = &self.role else {
            return None;
        };
        let address = replica.seat().membership().address(seat);
        address.or_else(|| self.seat_addresses.get(&seat).copied())
    }

    /// Starts a leadership transfer; drops the sender if there is none to wait for.
    fn transfer_leadership(&mut self, sender: oneshot::Sender<()>) {
        let now = self.clock.now();
        if let ReplicaRole::Seat(replica) = &mut self.role
            && replica.transfer(None, now).is_ok()
        {
            self.pending_transfers.push(sender);
        }
    }

    /// Completes pending transfers once the successor is known.
    fn complete_transfers(&mut self) {
        if !self.leads() && self.leader_address().is_some() {
            for sender in self.pending_transfers.drain(..) {
                let _ = sender.send(());
            }
        }
    }

    fn answer_query(&self, query: JobQuery) {
        let jobs = &self.role.state().jobs;
        // A closed channel means that the requester no longer waits.
        match query {
            JobQuery::Status(team, job, sender) => {
                let now = UnixMillis::from(self.clock.wall());
                let _ = sender.send(jobs.status(&team, job, now));
            }
            JobQuery::Results(query, sender) => {
                let page = jobs.results(&query.team, query.job, query.from, query.limit);
                let _ = sender.send(page);
            }
            JobQuery::Request(job, item, sender) => {
                let _ = sender.send(jobs.request(job, item));
            }
            JobQuery::Dispatch(host, sender) => {
                let now = UnixMillis::from(self.clock.wall());
                let _ = sender.send(jobs.dispatch_view(&host, now));
            }
            JobQuery::FirstSubmission(team, key, sender) => {
                let _ = sender.send(jobs.first_submission(&team, &key));
            }
            JobQuery::SweepDue(sender) => {
                let now = UnixMillis::from(self.clock.wall());
                let _ = sender.send(jobs.is_sweep_due(now));
            }
        }
    }

    fn send(&self, peer: SocketAddr, message: ReplicaMessage) {
        self.peers.send(peer, &PeerMessage::Replica(message));
    }
}

/// Runs a blocking disk operation without stalling other tasks, on a
/// multi-threaded runtime.
fn run_blocking<T>(step: impl FnOnce() -> T) -> T {
    let threaded = Handle::try_current()
        .is_ok_and(|handle| handle.runtime_flavor() == RuntimeFlavor::MultiThread);
    if threaded {
        tokio::task::block_in_place(step)
    } else {
        step()
    }
}

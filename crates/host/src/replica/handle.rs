//! Handles through which other tasks use the replica.

use super::command::{GroupCommand, GroupOutcome, MembershipOutcome, ReplicaMessage};
use chicoryladder_consensus::{GroupMembership, MembershipChange};
use chicoryladder_jobs::{
    DispatchView, FirstSubmission, ItemRequest, JobCommand, JobOutcome, JobStatus, MachineError,
    ResultPage, SubmissionKey, UnixMillis,
};
use chicoryladder_state::{FleetCommand, FleetOutcome, FleetView, KeyTombstones};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, LogIndex, TermNumber};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};

/// The longest time for a command to be committed and applied.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The retry hint for callers when no quorum replies.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The longest time for a leadership transfer at shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ProposeError {
    /// The command exceeds the size limit of the log; it was not proposed.
    #[error("the command is too large to be replicated")]
    TooLarge,
    /// No reply arrived in time; the command may still be committed.
    #[error("no quorum of voters answered in time")]
    NoQuorum,
}

impl ProposeError {
    /// The refusal for a request that depends on the command.
    pub(crate) fn refusal(self) -> RequestRefusal {
        let (reason, verdict) = match self {
            Self::TooLarge => (RefusalReason::BodyTooLarge, RunVerdict::NotRun),
            Self::NoQuorum => (RefusalReason::NoQuorum, RunVerdict::MayHaveRun),
        };
        RequestRefusal::new(reason, verdict, self.to_string())
            .with_retry_after(NO_QUORUM_RETRY_AFTER)
    }
}

/// A read of the job state.
pub(crate) enum JobQuery {
    Status(TeamName, JobId, oneshot::Sender<Option<JobStatus>>),
    Results(
        ResultQuery,
        oneshot::Sender<Result<ResultPage, MachineError>>,
    ),
    Request(
        JobId,
        u32,
        oneshot::Sender<Result<ItemRequest, MachineError>>,
    ),
    Dispatch(HostName, oneshot::Sender<DispatchView>),
    SweepDue(oneshot::Sender<bool>),
    FirstSubmission(
        TeamName,
        SubmissionKey,
        oneshot::Sender<Option<FirstSubmission>>,
    ),
}

/// A request for a page of job results.
#[derive(Clone, Debug)]
pub(crate) struct ResultQuery {
    pub(crate) team: TeamName,
    pub(crate) job: JobId,
    pub(crate) from: u32,
    pub(crate) limit: u32,
}

/// An event for the replica task.
pub(super) enum ReplicaEvent {
    Propose(
        GroupCommand,
        oneshot::Sender<Result<GroupOutcome, ProposeError>>,
    ),
    ChangeMembership(
        MembershipChange,
        oneshot::Sender<Result<GroupOutcome, ProposeError>>,
    ),
    Query(JobQuery),
    Tombstones(KeyTombstones, oneshot::Sender<bool>),
    Peer(SocketAddr, ReplicaMessage),
    TransferLeadership(oneshot::Sender<()>),
}

/// The consensus group as seen by this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// The leader.
    pub(crate) leader: Option<SocketAddr>,
    /// The term; unknown to observers.
    pub(crate) term: Option<TermNumber>,
    /// The seats; unknown to observers.
    pub(crate) membership: Option<GroupMembership>,
}

/// The state that requests are served from.
#[derive(Clone, Debug)]
pub(super) struct ReplicaView {
    pub(super) fleet: Arc<FleetView>,
    /// The last log position applied to the view.
    pub(super) applied: LogIndex,
    /// The latest instant at which the view was known to contain every
    /// acknowledged change.
    pub(super) fresh_at: Option<Instant>,
    pub(super) group: Arc<GroupView>,
}

/// Delivers messages of other hosts to the replica task.
#[derive(Clone)]
pub(crate) struct ReplicaInbox {
    pub(super) events: mpsc::UnboundedSender<ReplicaEvent>,
}

impl ReplicaInbox {
    pub(crate) fn deliver(&self, sender: SocketAddr, message: ReplicaMessage) {
        // A closed channel means that the host has stopped.
        let _ = self.events.send(ReplicaEvent::Peer(sender, message));
    }
}

/// Handle of the replica task; clones share the task.
#[derive(Clone)]
pub(crate) struct ReplicaHandle {
    pub(super) events: mpsc::UnboundedSender<ReplicaEvent>,
    pub(super) views: watch::Receiver<ReplicaView>,
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) lease: Duration,
}

impl ReplicaHandle {
    /// The fleet document and the keys in this host's current view.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.views.borrow().fleet.clone()
    }

    /// Whether requests with a key may be served: the view's lease has not expired.
    pub(crate) fn is_fresh(&self) -> bool {
        let fresh_at = self.views.borrow().fresh_at;
        let now = self.clock.now();
        fresh_at.is_some_and(|at| now.saturating_duration_since(at) <= self.lease)
    }

    /// Waits for the next change of the view or its freshness; returns false once
    /// the replica task has stopped.
    pub(crate) async fn changed(&mut self) -> bool {
        self.views.changed().await.is_ok()
    }

    /// The peer address of the leader, if known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.group().leader
    }

    /// The time after its confirmation during which a view of the keys is valid.
    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// Applies key withdrawals to this host's view before they are committed;
    /// returns whether any of them was new.
    pub(crate) async fn merge_tombstones(&self, tombstones: KeyTombstones) -> bool {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .events
            .send(ReplicaEvent::Tombstones(tombstones, sender));
        receiver.await.unwrap_or(false)
    }

    /// Proposes a fleet command and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Fails if the command is too large or no quorum replies in time.
    pub(crate) async fn propose_fleet(
        &self,
        command: FleetCommand,
    ) -> Result<FleetOutcome, ProposeError> {
        match self.propose(GroupCommand::Fleet(command)).await? {
            GroupOutcome::Fleet(outcome) => Ok(outcome),
            GroupOutcome::Jobs(_) | GroupOutcome::Membership(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// Proposes a command on batch jobs and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Fails if the command is too large or no quorum replies in time.
    pub(crate) async fn propose_jobs(
        &self,
        command: JobCommand,
    ) -> Result<JobOutcome, ProposeError> {
        match self.propose(GroupCommand::Jobs(command)).await? {
            GroupOutcome::Jobs(outcome) => Ok(outcome),
            GroupOutcome::Fleet(_) | GroupOutcome::Membership(_) => Err(ProposeError::NoQuorum),
        }
    }

    async fn propose(&self, command: GroupCommand) -> Result<GroupOutcome, ProposeError> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(ReplicaEvent::Propose(command, sender));
        Self::outcome(receiver).await
    }

    /// Proposes a membership change and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Fails if no leader reports an outcome in time.
    pub(crate) async fn change_membership(
        &self,
        change: MembershipChange,
    ) -> Result<MembershipOutcome, ProposeError> {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .events
            .send(ReplicaEvent::ChangeMembership(change, sender));
        match Self::outcome(receiver).await? {
            GroupOutcome::Membership(outcome) => Ok(outcome),
            GroupOutcome::Fleet(_) | GroupOutcome::Jobs(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// The last log position applied to the view.
    pub(crate) fn applied(&self) -> LogIndex {
        self.views.borrow().applied
    }

    /// The consensus group as seen by this host.
    pub(crate) fn group(&self) -> Arc<GroupView> {
        self.views.borrow().group.clone()
    }

    /// Transfers the leadership to another host, if this one is the leader.
    pub(crate) async fn transfer_leadership(&self) {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(ReplicaEvent::TransferLeadership(sender));
        // If no successor takes over in time, the group holds an election.
        let _ = tokio::time::timeout(TRANSFER_TIMEOUT, receiver).await;
    }

    async fn outcome(
        receiver: oneshot::Receiver<Result<GroupOutcome, ProposeError>>,
    ) -> Result<GroupOutcome, ProposeError> {
        match tokio::time::timeout(PROPOSE_TIMEOUT, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// The state of a job of the team.
    pub(crate) async fn job_status(&self, team: &TeamName, job: JobId) -> Option<JobStatus> {
        let query = |sender| JobQuery::Status(team.clone(), job, sender);
        self.query(query).await.flatten()
    }

    /// A page of results of a job.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown or the results cannot be read.
    pub(crate) async fn job_results(
        &self,
        query: ResultQuery,
    ) -> Option<Result<ResultPage, MachineError>> {
        self.query(|sender| JobQuery::Results(query, sender)).await
    }

    /// The request of an item.
    pub(crate) async fn item_request(
        &self,
        job: JobId,
        item: u32,
    ) -> Option<Result<ItemRequest, MachineError>> {
        self.query(|sender| JobQuery::Request(job, item, sender))
            .await
    }

    /// The part of the job state that the host's batch dispatcher needs.
    pub(crate) async fn dispatch_view(&self, host: &HostName) -> DispatchView {
        let query = |sender| JobQuery::Dispatch(host.clone(), sender);
        self.query(query).await.unwrap_or_default()
    }

    /// The job first submitted by a team under a submission key, if this host's
    /// state contains it.
    pub(crate) async fn first_submission(
        &self,
        team: &TeamName,
        key: &SubmissionKey,
    ) -> Option<FirstSubmission> {
        let query = |sender| JobQuery::FirstSubmission(team.clone(), key.clone(), sender);
        self.query(query).await.flatten()
    }

    /// Whether a sweep would change any job.
    pub(crate) async fn is_sweep_due(&self) -> bool {
        self.query(JobQuery::SweepDue).await.unwrap_or(false)
    }

    /// The wall-clock time, for use in commands.
    pub(crate) fn wall(&self) -> UnixMillis {
        UnixMillis::from(self.clock.wall())
    }

    async fn query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> JobQuery) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(ReplicaEvent::Query(query(sender)));
        receiver.await.ok()
    }
}

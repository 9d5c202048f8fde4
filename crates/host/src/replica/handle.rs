//! The handles that other tasks use.

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

/// The longest time for a command to be ordered and applied.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which a caller should come back when no voter answers.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The longest time for the leadership to move at a shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a command was not ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ProposeError {
    /// The command is too large for the log; it was not ordered.
    #[error("the command is too large to be replicated")]
    TooLarge,
    /// No answer came; the command may still be ordered.
    #[error("no quorum of voters answered in time")]
    NoQuorum,
}

impl ProposeError {
    /// The refusal of a request that needed the command.
    pub(crate) fn refusal(self) -> RequestRefusal {
        let (reason, verdict) = match self {
            Self::TooLarge => (RefusalReason::BodyTooLarge, RunVerdict::NotRun),
            Self::NoQuorum => (RefusalReason::NoQuorum, RunVerdict::MayHaveRun),
        };
        RequestRefusal::new(reason, verdict, self.to_string())
            .with_retry_after(NO_QUORUM_RETRY_AFTER)
    }
}

/// Reads of the job state.
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

/// Asks for results of a job.
#[derive(Clone, Debug)]
pub(crate) struct ResultQuery {
    pub(crate) team: TeamName,
    pub(crate) job: JobId,
    pub(crate) from: u32,
    pub(crate) limit: u32,
}

/// What the replica task is told.
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

/// The group as this host knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// The leader.
    pub(crate) leader: Option<SocketAddr>,
    /// The term; unknown to observers.
    pub(crate) term: Option<TermNumber>,
    /// The seats; unknown to observers.
    pub(crate) membership: Option<GroupMembership>,
}

/// What requests are served from.
#[derive(Clone, Debug)]
pub(super) struct ReplicaView {
    pub(super) fleet: Arc<FleetView>,
    /// The last log position that the view holds.
    pub(super) applied: LogIndex,
    /// The instant up to which the view holds every acknowledged change.
    pub(super) fresh_at: Option<Instant>,
    pub(super) group: Arc<GroupView>,
}

/// Takes messages of other hosts for the replica.
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

/// Talks to the replica task; clones share it.
#[derive(Clone)]
pub(crate) struct ReplicaHandle {
    pub(super) events: mpsc::UnboundedSender<ReplicaEvent>,
    pub(super) views: watch::Receiver<ReplicaView>,
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) lease: Duration,
}

impl ReplicaHandle {
    /// The fleet document and the keys as this host has them.
    pub(crate) fn view(&self) -> Arc<FleetView> {
        self.views.borrow().fleet.clone()
    }

    /// Whether the view may serve keyed requests: its lease has not run out.
    pub(crate) fn is_fresh(&self) -> bool {
        let fresh_at = self.views.borrow().fresh_at;
        let now = self.clock.now();
        fresh_at.is_some_and(|at| now.saturating_duration_since(at) <= self.lease)
    }

    /// Waits for the next change of the view or its freshness; false once the
    /// replica has stopped.
    pub(crate) async fn changed(&mut self) -> bool {
        self.views.changed().await.is_ok()
    }

    /// The peer address of the host that orders commands, if one is known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.group().leader
    }

    /// The time for which a view of the keys is trusted.
    pub(crate) fn lease(&self) -> Duration {
        self.lease
    }

    /// Applies key withdrawals to the view of this host before they are logged;
    /// tells whether any was news.
    pub(crate) async fn merge_tombstones(&self, tombstones: KeyTombstones) -> bool {
        let (sender, receiver) = oneshot::channel();
        let _ = self
            .events
            .send(ReplicaEvent::Tombstones(tombstones, sender));
        receiver.await.unwrap_or(false)
    }

    /// Has a command on the fleet ordered and applied.
    ///
    /// # Errors
    ///
    /// Fails if the voter cannot be reached or cannot store the command.
    pub(crate) async fn propose_fleet(
        &self,
        command: FleetCommand,
    ) -> Result<FleetOutcome, ProposeError> {
        match self.propose(GroupCommand::Fleet(command)).await? {
            GroupOutcome::Fleet(outcome) => Ok(outcome),
            GroupOutcome::Jobs(_) | GroupOutcome::Membership(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// Has a command on batch jobs ordered and applied.
    ///
    /// # Errors
    ///
    /// Fails if the voter cannot be reached or cannot store the command.
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

    /// Has a membership change ordered.
    ///
    /// # Errors
    ///
    /// Fails if no leader took the change in time.
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

    /// The last log position that the view holds.
    pub(crate) fn applied(&self) -> LogIndex {
        self.views.borrow().applied
    }

    /// The group as this host knows it.
    pub(crate) fn group(&self) -> Arc<GroupView> {
        self.views.borrow().group.clone()
    }

    /// Hands the leadership to another host, if this one has it.
    pub(crate) async fn transfer_leadership(&self) {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(ReplicaEvent::TransferLeadership(sender));
        // Without a successor the group elects one by itself.
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

    /// Some results of a job.
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

    /// What the dispatcher of the host has to know of the jobs.
    pub(crate) async fn dispatch_view(&self, host: &HostName) -> DispatchView {
        let query = |sender| JobQuery::Dispatch(host.clone(), sender);
        self.query(query).await.unwrap_or_default()
    }

    /// The job that a team submitted under a key, as far as this host knows.
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

    /// The calendar time, for commands.
    pub(crate) fn wall(&self) -> UnixMillis {
        UnixMillis::from(self.clock.wall())
    }

    async fn query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> JobQuery) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(ReplicaEvent::Query(query(sender)));
        receiver.await.ok()
    }
}

//! Commands, outcomes and messages of the consensus group.

use chicoryladder_consensus::{
    CommandBytes, MembershipChange, SeatEnvelope, TailAnswer, TailRequest,
};
use chicoryladder_jobs::{JobCommand, JobOutcome};
use chicoryladder_state::{FleetCommand, FleetOutcome};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A command that the group replicates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupCommand {
    /// Changes the fleet document or the keys.
    Fleet(FleetCommand),
    /// Changes batch jobs.
    Jobs(JobCommand),
}

impl GroupCommand {
    /// Whether the command can be committed twice without a second effect: the
    /// second application returns the first outcome or changes nothing.
    pub(super) fn is_idempotent(&self) -> bool {
        match self {
            Self::Fleet(_) => true,
            Self::Jobs(command) => matches!(
                command,
                JobCommand::Submit { .. }
                    | JobCommand::BeginUpload { .. }
                    | JobCommand::AppendItems { .. }
                    | JobCommand::CommitUpload { .. }
                    | JobCommand::CancelJob { .. }
                    | JobCommand::RenewLeases { .. }
                    | JobCommand::Sweep { .. }
            ),
        }
    }
}

/// The outcome of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MembershipOutcome {
    /// The change is committed.
    Changed,
    /// The change violates a membership rule.
    Refused {
        /// The violated rule, described for the operator.
        detail: String,
    },
}

/// The outcome of a proposal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupOutcome {
    /// The outcome of a [`GroupCommand::Fleet`].
    Fleet(FleetOutcome),
    /// The outcome of a [`GroupCommand::Jobs`].
    Jobs(JobOutcome),
    /// The outcome of a membership change.
    Membership(MembershipOutcome),
}

/// The content of a proposal to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ProposalContent {
    /// An encoded [`GroupCommand`].
    Command(CommandBytes),
    /// A membership change.
    Membership(MembershipChange),
}

/// A message between replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReplicaMessage {
    /// A consensus message between two seats.
    Seat(SeatEnvelope),
    /// Submits a proposal to the leader.
    Propose {
        /// The proposal number, chosen by the sender.
        proposal: u64,
        /// The content to replicate.
        content: ProposalContent,
    },
    /// Reports the log position and the outcome of a proposal.
    Committed {
        /// The number from the proposal.
        proposal: u64,
        /// The position in the log; 0 if a membership rule refused the proposal.
        index: LogIndex,
        /// The outcome.
        outcome: GroupOutcome,
    },
    /// Reports that a proposal was not committed and never will be.
    NotCommitted {
        /// The number from the proposal.
        proposal: u64,
        /// The leader, as far as the sender knows.
        leader: Option<SocketAddr>,
    },
    /// Requests the committed entries after a position.
    TailRequest(TailRequest),
    /// Replies to a [`ReplicaMessage::TailRequest`].
    Tail {
        /// The entries or a snapshot.
        answer: TailAnswer,
        /// The leader, as far as the sender knows.
        leader: Option<SocketAddr>,
    },
}

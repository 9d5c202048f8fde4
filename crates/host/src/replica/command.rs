//! Commands, outcomes and messages of the replicated group.

use chicoryladder_consensus::{
    CommandBytes, MembershipChange, SeatEnvelope, TailAnswer, TailRequest,
};
use chicoryladder_jobs::{JobCommand, JobOutcome};
use chicoryladder_state::{FleetCommand, FleetOutcome};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A command of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupCommand {
    /// Changes the fleet document or the keys.
    Fleet(FleetCommand),
    /// Changes batch jobs.
    Jobs(JobCommand),
}

impl GroupCommand {
    /// Whether the command may be ordered twice without harm: its second outcome
    /// repeats the first, or nothing is left for it to change.
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

/// What became of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum MembershipOutcome {
    /// The change is committed.
    Changed,
    /// The change breaks a rule.
    Refused {
        /// The rule, in a sentence for the operator.
        detail: String,
    },
}

/// What became of a proposal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupOutcome {
    /// Of a [`GroupCommand::Fleet`].
    Fleet(FleetOutcome),
    /// Of a [`GroupCommand::Jobs`].
    Jobs(JobOutcome),
    /// Of a membership change.
    Membership(MembershipOutcome),
}

/// What the leader is asked to order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ProposalContent {
    /// An encoded [`GroupCommand`].
    Command(CommandBytes),
    /// A membership change.
    Membership(MembershipChange),
}

/// What replicas tell one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReplicaMessage {
    /// Carries a message between two seats.
    Seat(SeatEnvelope),
    /// Asks the leader to order a proposal.
    Propose {
        /// Chosen by the sender.
        proposal: u64,
        /// What to order.
        content: ProposalContent,
    },
    /// Tells where a proposal stands in the log and what became of it.
    Committed {
        /// As in the proposal.
        proposal: u64,
        /// The position in the log; 0 if it was refused by a rule.
        index: LogIndex,
        /// What became of it.
        outcome: GroupOutcome,
    },
    /// Tells that a proposal was not ordered and will not be.
    NotCommitted {
        /// As in the proposal.
        proposal: u64,
        /// The leader, as far as the sender knows.
        leader: Option<SocketAddr>,
    },
    /// Asks for the committed entries behind a position.
    TailRequest(TailRequest),
    /// Answers a request for the tail.
    Tail {
        /// The entries or the state.
        answer: TailAnswer,
        /// The leader, as far as the sender knows.
        leader: Option<SocketAddr>,
    },
}

//! Commands, outcomes and messages of the replicated group.

use chicoryladder_jobs::{JobCommand, JobOutcome};
use chicoryladder_state::{FleetCommand, FleetOutcome, LeaseQuestion};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};

/// A command of the group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupCommand {
    /// Changes the fleet document or the keys.
    Fleet(FleetCommand),
    /// Changes batch jobs.
    Jobs(JobCommand),
}

/// What became of a command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupOutcome {
    /// Of a [`GroupCommand::Fleet`].
    Fleet(FleetOutcome),
    /// Of a [`GroupCommand::Jobs`].
    Jobs(JobOutcome),
}

/// What replicas tell one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReplicaMessage {
    /// Asks the voter to order a command.
    Propose {
        /// Chosen by the sender.
        proposal: u64,
        /// The encoded [`GroupCommand`].
        command: Vec<u8>,
    },
    /// Tells where a command stands in the log and what became of it.
    Ordered {
        /// As in the proposal.
        proposal: u64,
        /// The position of the command.
        index: LogIndex,
        /// What became of it.
        outcome: GroupOutcome,
    },
    /// Tells that the voter cannot order the command.
    Failed {
        /// As in the proposal.
        proposal: u64,
    },
    /// Asks for the commands behind a position.
    TailRequest {
        /// The last position that the sender has applied.
        after: LogIndex,
        /// Numbers the question, for the sender's lease on the key view.
        question: LeaseQuestion,
    },
    /// Commands of the log, in order.
    Tail {
        /// The position before the first of the commands.
        after: LogIndex,
        /// The encoded commands.
        commands: Vec<Vec<u8>>,
        /// The last position that is safe.
        committed: LogIndex,
        /// As in the request.
        question: LeaseQuestion,
    },
}

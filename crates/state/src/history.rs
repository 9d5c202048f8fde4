//! The recorded outcomes of operations, returned to resends.

use crate::command::{FleetCommand, FleetOutcome};
use chicoryladder_types::OperationId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The number of recorded outcomes; the oldest are evicted first.
const OUTCOMES_MAX: usize = 4096;

/// A hash of the caller-supplied content of an operation, without the values that
/// a host generated at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ContentHash([u8; 32]);

impl ContentHash {
    fn of(command: &FleetCommand) -> Self {
        let mut hasher = blake3::Hasher::new();
        match command {
            FleetCommand::ApplyDocument(command) => {
                hasher.update(b"document");
                hasher.update(&command.expected_revision.0.to_le_bytes());
                hasher.update(command.text.as_bytes());
            }
            FleetCommand::GrantKey(command) => {
                hasher.update(b"grant");
                hasher.update(command.team.as_str().as_bytes());
            }
            FleetCommand::WithdrawKey(command) => {
                hasher.update(b"withdraw");
                hasher.update(&command.key_id.bits().to_le_bytes());
            }
            FleetCommand::ClaimRequest(command) => {
                hasher.update(b"claim");
                hasher.update(&command.request.bits().to_le_bytes());
            }
            FleetCommand::SettleRequest(command) => {
                hasher.update(b"settle");
                hasher.update(&command.request.bits().to_le_bytes());
            }
            FleetCommand::SetZoneDrain(command) => {
                hasher.update(b"drain");
                hasher.update(command.order.step.as_str().as_bytes());
                hasher.update(&[0]);
                hasher.update(command.order.zone.as_str().as_bytes());
            }
        }
        Self(*hasher.finalize().as_bytes())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedOutcome {
    content: ContentHash,
    outcome: FleetOutcome,
}

/// The first outcome of each recent operation, by operation id.
///
/// It is part of the replicated state and its snapshots, so a resend gets the
/// first outcome on any host, also after a leader change or a restart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OutcomeHistory {
    outcomes: BTreeMap<OperationId, RecordedOutcome>,
    order: VecDeque<OperationId>,
}

impl OutcomeHistory {
    /// The recorded outcome of a resent operation. `OperationReused` if the id was
    /// used for an operation with other content.
    pub(crate) fn first_outcome(&self, command: &FleetCommand) -> Option<FleetOutcome> {
        let recorded = self.outcomes.get(command.operation_id()?)?;
        if recorded.content == ContentHash::of(command) {
            Some(recorded.outcome.clone())
        } else {
            Some(FleetOutcome::OperationReused)
        }
    }

    /// Records the first outcome of an operation.
    pub(crate) fn record(&mut self, command: &FleetCommand, outcome: &FleetOutcome) {
        let Some(id) = command.operation_id() else {
            return;
        };
        let recorded = RecordedOutcome {
            content: ContentHash::of(command),
            outcome: outcome.clone(),
        };
        self.outcomes.insert(id.clone(), recorded);
        self.order.push_back(id.clone());
        if self.order.len() > OUTCOMES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }
}

//! The commands that change the fleet state, and their outcomes.

use crate::claims::{ClaimOutcome, ClaimRequest, SettleRequest};
use crate::keys::{KeyId, KeySalt, SecretHash};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, OperationId, ZoneDrainOrder};
use serde::{Deserialize, Serialize};

/// A change of the fleet state, as encoded in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the fleet document.
    ApplyDocument(ApplyDocument),
    /// Grants a key to a team.
    GrantKey(GrantKey),
    /// Withdraws a key permanently.
    WithdrawKey(WithdrawKey),
    /// Claims the name of an at-most-once request.
    ClaimRequest(ClaimRequest),
    /// Records how a claimed request ended.
    SettleRequest(SettleRequest),
    // The log encodes the position of a command: new ones come last. Hosts of earlier builds
    // cannot decode this one and ignore it.
    /// Drains a zone or withdraws that.
    SetZoneDrain(SetZoneDrain),
}

/// Replaces the fleet document if its revision is still `expected_revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyDocument {
    /// The canonical text of the new document.
    pub text: String,
    /// The revision that the operator's change is based on.
    pub expected_revision: FleetRevision,
    /// Identifies the operation, so that a resend gets the recorded outcome.
    pub operation_id: OperationId,
    /// The entry host that accepted the operation.
    pub host: HostName,
}

/// Grants a key to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantKey {
    /// The team that the key authenticates.
    pub team: TeamName,
    /// The id of the key, generated at random by the host that accepted the
    /// operation.
    pub key_id: KeyId,
    /// The salt of the key, generated at random by the same host.
    pub salt: KeySalt,
    /// The salted hash of the key's secret.
    pub secret_hash: SecretHash,
    /// Identifies the operation, so that a resend gets the recorded outcome.
    pub operation_id: OperationId,
}

/// Withdraws a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawKey {
    /// The key to withdraw.
    pub key_id: KeyId,
}

/// Drains a zone or withdraws that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetZoneDrain {
    /// The order.
    pub order: ZoneDrainOrder,
    /// Identifies the operation: a copy of it that is committed late must not take effect over
    /// an order that came in between.
    pub operation_id: OperationId,
}

/// An error in encoding or decoding a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot encode or decode a fleet command: {0}")]
pub struct CommandError(#[from] postcard::Error);

impl FleetCommand {
    /// Encodes the command as the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be serialized, which does not occur for
    /// commands built from validated types.
    pub fn to_bytes(&self) -> Result<Vec<u8>, CommandError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes the command of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid command.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CommandError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The id under which the outcome is recorded for resends.
    ///
    /// `None` for commands that are idempotent and need no recorded outcome.
    #[must_use]
    pub fn operation_id(&self) -> Option<&OperationId> {
        match self {
            Self::ApplyDocument(command) => Some(&command.operation_id),
            Self::GrantKey(command) => Some(&command.operation_id),
            Self::SetZoneDrain(command) => Some(&command.operation_id),
            Self::WithdrawKey(_) | Self::ClaimRequest(_) | Self::SettleRequest(_) => None,
        }
    }
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOutcome {
    /// The document was accepted.
    Accepted {
        /// The new revision.
        revision: FleetRevision,
    },
    /// Another document was accepted first, so the expected revision is outdated.
    Conflict {
        /// The expected revision of the command.
        expected: FleetRevision,
        /// The revision in force.
        current: FleetRevision,
        /// The operation that won the race; absent for the initial empty document.
        winner: Option<OperationId>,
        /// The entry host that accepted the winning operation.
        winner_host: Option<HostName>,
    },
    /// The text is not a valid fleet document.
    Malformed {
        /// The errors in the text, one per line.
        faults: String,
    },
    /// The key was granted.
    Granted {
        /// The team that the key authenticates.
        team: TeamName,
        /// The id of the key.
        key_id: KeyId,
        /// The salt of the key.
        salt: KeySalt,
    },
    /// The key was not granted.
    NotGranted {
        /// The reason.
        refusal: KeyRefusal,
    },
    /// The key was withdrawn.
    Withdrawn {
        /// The id of the key.
        key_id: KeyId,
        /// Whether the key had been granted before.
        known: bool,
    },
    /// The operation id was already used for a different operation.
    OperationReused,
    /// The result of a claim.
    Claimed(ClaimOutcome),
    /// The end of a request was recorded.
    Settled,
    /// The log entry had already been applied.
    AlreadyApplied,
    /// The order on the drain of a zone is in force.
    ZoneDrainSet,
}

/// The reason why a key was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum KeyRefusal {
    /// The fleet document has no such team.
    #[error("the fleet document has no such team")]
    UnknownTeam,
    /// The id was withdrawn, which is permanent.
    #[error("the key was withdrawn")]
    Withdrawn,
    /// The id belongs to another key.
    #[error("another key has this id")]
    IdTaken,
}

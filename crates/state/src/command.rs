//! Commands of group 0 and their outcomes.

use crate::keys::{KeyId, KeySalt, SecretHash};
use crate::ledger::{ClaimOutcome, ClaimRequest, SettleRequest};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{FleetRevision, OperationId};
use serde::{Deserialize, Serialize};

/// A change of the fleet state, as it stands in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the fleet document.
    ApplyDocument(ApplyDocument),
    /// Grants a key to a team.
    GrantKey(GrantKey),
    /// Withdraws a key for good.
    WithdrawKey(WithdrawKey),
    /// Claims the name of a request that may run at most once.
    ClaimRequest(ClaimRequest),
    /// Tells how a claimed request ended.
    SettleRequest(SettleRequest),
}

/// Replaces the fleet document if nobody else did since `expected_revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyDocument {
    /// The canonical text of the new document.
    pub text: String,
    /// The revision that the operator saw.
    pub expected_revision: FleetRevision,
    /// Names the operation for resends.
    pub operation_id: OperationId,
    /// The entry host that took the operation.
    pub host: HostName,
}

/// Grants a key to a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantKey {
    /// The team that the key speaks for.
    pub team: TeamName,
    /// The id of the key, drawn at random by the host that took the operation.
    pub key_id: KeyId,
    /// The salt of the key, drawn at random by the same host.
    pub salt: KeySalt,
    /// The salted hash of the key's secret.
    pub secret_hash: SecretHash,
    /// Names the operation for resends.
    pub operation_id: OperationId,
}

/// Withdraws a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawKey {
    /// The key to withdraw.
    pub key_id: KeyId,
}

/// Why bytes are not a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the bytes are not a fleet command: {0}")]
pub struct CommandError(#[from] postcard::Error);

impl FleetCommand {
    /// The command as bytes of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the command cannot be serialised, which no command built from
    /// checked types does.
    pub fn to_bytes(&self) -> Result<Vec<u8>, CommandError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// The command of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a command.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CommandError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// The id under which the outcome is remembered, where there is one.
    ///
    /// The others need none: they are idempotent.
    #[must_use]
    pub fn operation_id(&self) -> Option<&OperationId> {
        match self {
            Self::ApplyDocument(command) => Some(&command.operation_id),
            Self::GrantKey(command) => Some(&command.operation_id),
            Self::WithdrawKey(_) | Self::ClaimRequest(_) | Self::SettleRequest(_) => None,
        }
    }
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOutcome {
    /// The document is accepted under the revision.
    Accepted {
        /// The new revision.
        revision: FleetRevision,
    },
    /// Another document took the expected revision first.
    Conflict {
        /// The revision that the operator expected.
        expected: FleetRevision,
        /// The revision in force.
        current: FleetRevision,
        /// The operation that set it; absent for the empty document.
        winner: Option<OperationId>,
        /// The entry host that took the winner.
        winner_host: Option<HostName>,
    },
    /// The text is not a fleet document.
    Malformed {
        /// Its faults, one a line.
        faults: String,
    },
    /// The key is granted.
    Granted {
        /// The team that the key speaks for.
        team: TeamName,
        /// The id of the key.
        key_id: KeyId,
        /// The salt of the key.
        salt: KeySalt,
    },
    /// The key is not granted.
    NotGranted {
        /// Why.
        refusal: KeyRefusal,
    },
    /// The key is withdrawn.
    Withdrawn {
        /// The id of the key.
        key_id: KeyId,
        /// Whether the key had been granted.
        known: bool,
    },
    /// The operation id was used for another operation.
    OperationReused,
    /// What a claim found.
    Claimed(ClaimOutcome),
    /// The end of a request is taken in.
    Settled,
    /// The log entry was applied before.
    AlreadyApplied,
}

/// Why a key is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum KeyRefusal {
    /// The fleet document has no such team.
    #[error("the fleet document has no such team")]
    UnknownTeam,
    /// The id was withdrawn; a withdrawn key never works again.
    #[error("the key was withdrawn")]
    Withdrawn,
    /// Another key has the id.
    #[error("another key has this id")]
    IdTaken,
}

//! The state machine behind a replicated log.

use chicoryladder_types::LogIndex;

/// Why a snapshot could not be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the snapshot cannot be restored: {detail}")]
pub struct RestoreError {
    /// What is wrong with it.
    pub detail: String,
}

/// Why no snapshot could be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no snapshot can be taken: {detail}")]
pub struct SnapshotError {
    /// What went wrong.
    pub detail: String,
}

/// A deterministic state machine: equal commands give equal states and answers.
pub trait StateMachine: Send {
    /// Applies one committed command and returns its answer.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;

    /// The whole state as bytes.
    ///
    /// # Errors
    ///
    /// Fails if a part of the state cannot be read.
    fn snapshot(&self) -> Result<Vec<u8>, SnapshotError>;

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if the bytes are no snapshot of this state machine.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
}

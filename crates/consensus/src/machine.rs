//! The interface of the state machine that applies committed commands.

use chicoryladder_types::LogIndex;
use std::io::{Read, Write};

/// A snapshot could not be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the snapshot cannot be restored: {detail}")]
pub struct RestoreError {
    /// The cause, for the log.
    pub detail: String,
}

/// A snapshot could not be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no snapshot can be taken: {detail}")]
pub struct SnapshotError {
    /// The cause, for the log.
    pub detail: String,
}

/// A deterministic state machine: the same commands in the same order produce the
/// same state and the same results.
pub trait StateMachine: Send {
    /// Applies one committed command and returns its result.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;

    /// Writes the complete state.
    ///
    /// # Errors
    ///
    /// Fails if a part of the state cannot be read, serialized or written.
    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError>;

    /// Replaces the state with the one in a snapshot. The state is unknown after a failure.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be read or are not a snapshot of this state machine.
    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError>;
}

/// The snapshot of a state machine, in memory.
///
/// # Errors
///
/// Fails if the state cannot be serialized.
pub fn snapshot_bytes(machine: &dyn StateMachine) -> Result<Vec<u8>, SnapshotError> {
    let mut bytes = Vec::new();
    machine.snapshot(&mut bytes)?;
    Ok(bytes)
}

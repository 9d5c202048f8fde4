//! A key-value state machine for tests.

use chicoryladder_consensus::{
    RestoreError, SnapshotError, StateDecoder, StateMachine, encode_state,
};
use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Read, Write};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum KvCommand {
    Write {
        key: u8,
        value: u32,
    },
    /// Writes `to` if the value is `from`.
    CompareAndSwap {
        key: u8,
        from: u32,
        to: u32,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KvState {
    pub(crate) values: BTreeMap<u8, u32>,
    /// The index of the last applied command.
    pub(crate) last_applied: LogIndex,
    /// A checksum of all commands up to `last_applied`.
    pub(crate) checksum: u32,
    /// The number of applied commands.
    pub(crate) applied_count: u64,
}

impl KvState {
    pub(crate) fn get(&self, key: u8) -> u32 {
        self.values.get(&key).copied().unwrap_or_default()
    }
}

#[derive(Debug, Default)]
pub(crate) struct KvMachine(pub KvState);

impl StateMachine for KvMachine {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        let state = &mut self.0;
        state.last_applied = index;
        state.applied_count += 1;
        let mut hasher = crc32fast::Hasher::new_with_initial(state.checksum);
        hasher.update(command);
        state.checksum = hasher.finalize();
        let written = match postcard::from_bytes(command).expect("the command decodes") {
            KvCommand::Write { key, value } => {
                state.values.insert(key, value);
                true
            }
            KvCommand::CompareAndSwap { key, from, to } => {
                let equal = state.get(key) == from;
                if equal {
                    state.values.insert(key, to);
                }
                equal
            }
        };
        vec![u8::from(written)]
    }

    fn snapshot(&self, output: &mut dyn Write) -> Result<(), SnapshotError> {
        encode_state(&self.0, output)
    }

    fn restore(&mut self, input: &mut dyn Read) -> Result<(), RestoreError> {
        self.0 = StateDecoder::new(input).decode()?;
        Ok(())
    }
}

//! Messages that are longer than one envelope.
//!
//! A long message travels as numbered parts. The parts of one message come in
//! order; if any is lost, the message is lost as a whole. A receiver keeps few
//! incomplete messages of each sender, so that lost parts hold no memory.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The longest part, in bytes.
pub(crate) const PART_MAX_BYTES: usize = 512 * 1024;

/// The longest message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The incomplete messages kept of one sender.
const INCOMPLETE_MAX: usize = 4;

/// One part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MessagePart {
    /// Numbers the long messages of a sender's start.
    pub(crate) message: u64,
    /// The place of the part, from 0.
    pub(crate) part: u32,
    /// The number of parts.
    pub(crate) parts: u32,
    /// The bytes of the part.
    pub(crate) bytes: Vec<u8>,
}

/// Cuts a message into parts.
pub(crate) fn split(message: u64, payload: &[u8]) -> Vec<MessagePart> {
    let chunks = payload.chunks(PART_MAX_BYTES);
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part = |(part, bytes): (u32, &[u8])| MessagePart {
        message,
        part,
        parts,
        bytes: bytes.to_vec(),
    };
    (0..parts).zip(chunks).map(part).collect()
}

#[derive(Debug)]
struct IncompleteMessage {
    message: u64,
    next_part: u32,
    bytes: Vec<u8>,
}

/// Joins the parts of one sender's messages.
#[derive(Debug, Default)]
pub(crate) struct PartJoiner {
    incomplete: VecDeque<IncompleteMessage>,
}

impl PartJoiner {
    /// Takes one part; gives the message with its last part.
    pub(crate) fn take(&mut self, part: &MessagePart) -> Option<Vec<u8>> {
        let known = self.incomplete.iter();
        let position = known
            .enumerate()
            .find(|(_, one)| one.message == part.message);
        let mut joined = match position.map(|(position, _)| position) {
            Some(position) => self.incomplete.remove(position)?,
            None => IncompleteMessage {
                message: part.message,
                next_part: 0,
                bytes: Vec::new(),
            },
        };
        let fits = joined.bytes.len() + part.bytes.len() <= MESSAGE_MAX_BYTES;
        if part.part != joined.next_part || !fits {
            return None;
        }
        joined.bytes.extend_from_slice(&part.bytes);
        joined.next_part += 1;
        if joined.next_part == part.parts {
            return Some(joined.bytes);
        }
        self.incomplete.push_back(joined);
        if self.incomplete.len() > INCOMPLETE_MAX {
            self.incomplete.pop_front();
        }
        None
    }
}

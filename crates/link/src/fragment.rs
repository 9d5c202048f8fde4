//! Splits messages that are too long for one envelope, and reassembles them.
//!
//! A long message is sent as numbered parts, in order; if any part is lost, the
//! whole message is lost. A receiver keeps only a few incomplete messages of each
//! sender, which bounds the memory held by messages with lost parts.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The maximum length of a part, in bytes.
pub(crate) const PART_MAX_BYTES: usize = 512 * 1024;

/// The maximum length of a message, in bytes.
pub const MESSAGE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// The maximum number of incomplete messages kept for one sender.
const INCOMPLETE_MAX_MESSAGES: usize = 4;

/// One part of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MessagePart {
    /// Identifies the message within the sender's incarnation.
    pub(crate) message: u64,
    /// The index of the part, from 0.
    pub(crate) part: u32,
    /// The number of parts.
    pub(crate) parts: u32,
    /// The bytes of the part.
    pub(crate) bytes: Vec<u8>,
}

/// Splits a message into parts.
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

/// Reassembles the messages of one sender from their parts.
#[derive(Debug, Default)]
pub(crate) struct PartAssembler {
    incomplete: VecDeque<IncompleteMessage>,
}

impl PartAssembler {
    /// Adds one part; returns the message when its last part was added.
    pub(crate) fn add(&mut self, part: &MessagePart) -> Option<Vec<u8>> {
        let known = self.incomplete.iter();
        let position = known
            .enumerate()
            .find(|(_, one)| one.message == part.message);
        let mut assembled = match position.map(|(position, _)| position) {
            Some(position) => self.incomplete.remove(position)?,
            None => IncompleteMessage {
                message: part.message,
                next_part: 0,
                bytes: Vec::new(),
            },
        };
        let fits = assembled.bytes.len() + part.bytes.len() <= MESSAGE_MAX_BYTES;
        if part.part != assembled.next_part || !fits {
            return None;
        }
        assembled.bytes.extend_from_slice(&part.bytes);
        assembled.next_part += 1;
        if assembled.next_part == part.parts {
            return Some(assembled.bytes);
        }
        self.incomplete.push_back(assembled);
        if self.incomplete.len() > INCOMPLETE_MAX_MESSAGES {
            self.incomplete.pop_front();
        }
        None
    }
}

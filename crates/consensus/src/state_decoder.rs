//! Encodes a snapshot into a stream, and decodes it in parts.

use crate::{RestoreError, SnapshotError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{self, Read, Write};

/// The bytes that are read at once, unless a value is larger.
const READ_BYTES: usize = 64 * 1024;

/// Writes a value of a snapshot.
///
/// # Errors
///
/// Fails if the value cannot be serialized or written.
pub fn encode_state(value: &impl Serialize, output: &mut dyn Write) -> Result<(), SnapshotError> {
    let written = postcard::to_io(value, output);
    written.map(|_| ()).map_err(|error| SnapshotError {
        detail: error.to_string(),
    })
}

/// Decodes the values of a snapshot one after the other. About as much of the snapshot is in
/// memory as its largest value takes.
pub struct StateDecoder<'a> {
    input: &'a mut dyn Read,
    /// The part of the snapshot that was read last. The next value begins at `start` of it.
    buffer: Vec<u8>,
    start: usize,
    has_ended: bool,
}

impl<'a> StateDecoder<'a> {
    /// Decodes a snapshot from its beginning.
    pub fn new(input: &'a mut dyn Read) -> Self {
        Self {
            input,
            buffer: Vec::new(),
            start: 0,
            has_ended: false,
        }
    }

    /// Decodes the next value.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be read, or no such value follows.
    pub fn decode<T: DeserializeOwned>(&mut self) -> Result<T, RestoreError> {
        loop {
            match postcard::take_from_bytes(self.unread()) {
                Ok((value, rest)) => {
                    self.start = self.buffer.len() - rest.len();
                    return Ok(value);
                }
                Err(postcard::Error::DeserializeUnexpectedEnd) if !self.has_ended => {
                    self.fill().map_err(restore_error)?;
                }
                Err(error) => return Err(restore_error(error)),
            }
        }
    }

    /// Whether no value follows.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be read.
    pub fn is_at_end(&mut self) -> Result<bool, RestoreError> {
        while self.unread().is_empty() && !self.has_ended {
            self.fill().map_err(restore_error)?;
        }
        Ok(self.unread().is_empty())
    }

    fn unread(&self) -> &[u8] {
        self.buffer.get(self.start..).unwrap_or_default()
    }

    /// Reads more: as much as there is already, so that a large value is not decoded from its
    /// beginning more than a few times.
    fn fill(&mut self) -> io::Result<()> {
        self.buffer.drain(..self.start);
        self.start = 0;
        let wanted = self.buffer.len().max(READ_BYTES);
        let mut limited = (&mut *self.input).take(wanted as u64);
        let read = limited.read_to_end(&mut self.buffer)?;
        self.has_ended = read < wanted;
        Ok(())
    }
}

fn restore_error(error: impl std::fmt::Display) -> RestoreError {
    let detail = error.to_string();
    RestoreError { detail }
}

//! Parses submissions: JSONL with one request per line.
//!
//! The parser is incremental. It keeps only the current line and a 16-byte hash
//! of each `custom_id`, so its memory is bounded even for the largest job. It also
//! computes the digest of the whole body, which identifies resends.

use crate::{BodyBytes, ItemRequest};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;

/// The longest accepted line, in bytes.
pub const ITEM_LINE_MAX_BYTES: usize = 1024 * 1024;

/// The maximum number of items in one job.
pub const JOB_ITEMS_MAX: usize = 410_000;

/// The longest accepted `custom_id`, in bytes.
const CUSTOM_ID_MAX_BYTES: usize = 512;

/// The BLAKE3 digest of a submitted body.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Computes the digest of a complete body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(*blake3::hash(body).as_bytes())
    }
}

impl fmt::Debug for BodyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&blake3::Hash::from_bytes(self.0), f)
    }
}

/// An error in a submission. Line numbers start at 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The body contains no item.
    #[error("the submission holds no item")]
    Empty,
    /// A line is longer than [`ITEM_LINE_MAX_BYTES`].
    #[error("line {line}: longer than {ITEM_LINE_MAX_BYTES} bytes")]
    LineTooLong {
        /// The number of the line.
        line: usize,
    },
    /// A line is not valid UTF-8.
    #[error("line {line}: not valid UTF-8")]
    NotUtf8 {
        /// The number of the line.
        line: usize,
    },
    /// A line is not a JSON object with the fields of an item.
    #[error("line {line}: {detail}")]
    BadItem {
        /// The number of the line.
        line: usize,
        /// The reason.
        detail: String,
    },
    /// A `custom_id` is empty or too long.
    #[error("line {line}: a custom_id has 1 to {CUSTOM_ID_MAX_BYTES} bytes")]
    BadCustomId {
        /// The number of the line.
        line: usize,
    },
    /// Two lines have the same `custom_id`.
    #[error("line {line}: the custom_id is used by an earlier line")]
    DuplicateCustomId {
        /// The number of the second line.
        line: usize,
    },
    /// The body contains more than [`JOB_ITEMS_MAX`] items.
    #[error("line {line}: more than {JOB_ITEMS_MAX} items")]
    TooManyItems {
        /// The number of the first line over the limit.
        line: usize,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawItem<'a> {
    custom_id: String,
    method: String,
    url: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

/// An incremental parser for submissions.
#[derive(Debug, Default)]
pub struct ItemParser {
    partial: Vec<u8>,
    line: usize,
    seen: HashSet<[u8; 16]>,
    hasher: blake3::Hasher,
}

impl ItemParser {
    /// Creates a parser for a new submission.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Parses a complete submission.
    ///
    /// # Errors
    ///
    /// Fails if a line is malformed or the body contains no item.
    pub fn parse(body: &[u8]) -> Result<(Vec<ItemRequest>, BodyDigest), ParseError> {
        let mut parser = Self::new();
        let mut items = Vec::new();
        parser.push(body, &mut items)?;
        let digest = parser.finish(&mut items)?;
        Ok((items, digest))
    }

    /// Parses the next piece of the body and appends the items of the lines that it
    /// completes to `items`.
    ///
    /// # Errors
    ///
    /// Fails if a line is malformed. The parser must not be used after an error.
    pub fn push(&mut self, piece: &[u8], items: &mut Vec<ItemRequest>) -> Result<(), ParseError> {
        self.hasher.update(piece);
        let mut rest = piece;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.extend_line(&rest[..end])?;
            self.end_line(items)?;
            rest = &rest[end + 1..];
        }
        self.extend_line(rest)
    }

    /// Parses the last line and returns the digest of the body.
    ///
    /// # Errors
    ///
    /// Fails if the last line is malformed or the body contains no item.
    pub fn finish(mut self, items: &mut Vec<ItemRequest>) -> Result<BodyDigest, ParseError> {
        self.end_line(items)?;
        if self.seen.is_empty() {
            return Err(ParseError::Empty);
        }
        Ok(BodyDigest(*self.hasher.finalize().as_bytes()))
    }

    /// The number of items parsed so far.
    #[must_use]
    pub fn item_count(&self) -> usize {
        self.seen.len()
    }

    fn extend_line(&mut self, part: &[u8]) -> Result<(), ParseError> {
        if self.partial.len() + part.len() > ITEM_LINE_MAX_BYTES {
            let line = self.line + 1;
            return Err(ParseError::LineTooLong { line });
        }
        self.partial.extend_from_slice(part);
        Ok(())
    }

    fn end_line(&mut self, items: &mut Vec<ItemRequest>) -> Result<(), ParseError> {
        self.line += 1;
        let bytes = std::mem::take(&mut self.partial);
        let parsed = self.parse_line(&bytes);
        self.partial = bytes;
        self.partial.clear();
        items.extend(parsed?);
        Ok(())
    }

    fn parse_line(&mut self, bytes: &[u8]) -> Result<Option<ItemRequest>, ParseError> {
        let line = self.line;
        let text = std::str::from_utf8(bytes).map_err(|_| ParseError::NotUtf8 { line })?;
        if text.trim().is_empty() {
            return Ok(None);
        }
        let raw: RawItem<'_> = serde_json::from_str(text).map_err(|error| ParseError::BadItem {
            line,
            detail: error.to_string(),
        })?;
        self.check_item(&raw)?;
        Ok(Some(ItemRequest {
            custom_id: raw.custom_id,
            method: raw.method,
            url: raw.url,
            body: BodyBytes::from(raw.body.get().as_bytes()),
        }))
    }

    fn check_item(&mut self, raw: &RawItem<'_>) -> Result<(), ParseError> {
        let line = self.line;
        let bad_item = |detail: &str| ParseError::BadItem {
            line,
            detail: detail.to_owned(),
        };
        if raw.custom_id.is_empty() || raw.custom_id.len() > CUSTOM_ID_MAX_BYTES {
            return Err(ParseError::BadCustomId { line });
        }
        if raw.method != "POST" {
            return Err(bad_item("the method must be POST"));
        }
        if !raw.url.starts_with('/') || !raw.url.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(bad_item("the url must be a path"));
        }
        if self.seen.len() >= JOB_ITEMS_MAX {
            return Err(ParseError::TooManyItems { line });
        }
        if !self.seen.insert(custom_id_hash(&raw.custom_id)) {
            return Err(ParseError::DuplicateCustomId { line });
        }
        Ok(())
    }
}

fn custom_id_hash(custom_id: &str) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::hash(custom_id.as_bytes()).as_bytes()[..16]);
    short
}

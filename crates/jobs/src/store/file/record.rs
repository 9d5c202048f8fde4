//! The encoding of a record in a file.

use crate::store::{RecordKind, StoreError, StoreRecord};
use std::io::Read;

/// The size of a record header, in bytes.
pub(super) const HEADER_BYTES: usize = 13;

/// The fixed-size header of a record.
pub(super) struct RecordHeader {
    pub(super) length: u32,
    checksum: u32,
    kind: u8,
    pub(super) item: u32,
}

impl RecordHeader {
    pub(super) fn new(record: &StoreRecord<'_>) -> Result<Self, StoreError> {
        let bytes = record.bytes.len();
        let length = u32::try_from(bytes).map_err(|_| StoreError::TooLarge { bytes })?;
        let kind = kind_code(record.kind);
        Ok(Self {
            length,
            checksum: checksum(kind, record.item, record.bytes),
            kind,
            item: record.item,
        })
    }

    pub(super) fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[0..4].copy_from_slice(&self.length.to_le_bytes());
        bytes[4..8].copy_from_slice(&self.checksum.to_le_bytes());
        bytes[8] = self.kind;
        bytes[9..13].copy_from_slice(&self.item.to_le_bytes());
        bytes
    }

    pub(super) fn decode(bytes: [u8; HEADER_BYTES]) -> Self {
        let word = |at: usize| {
            u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        Self {
            length: word(0),
            checksum: word(4),
            kind: bytes[8],
            item: word(9),
        }
    }

    /// Whether the record belongs to the item and has the kind.
    pub(super) fn identifies(&self, item: u32, kind: RecordKind) -> bool {
        self.item == item && self.kind == kind_code(kind)
    }

    /// Whether the checksum matches the payload.
    pub(super) fn checksum_matches(&self, payload: &[u8]) -> bool {
        self.checksum == checksum(self.kind, self.item, payload)
    }
}

fn kind_code(kind: RecordKind) -> u8 {
    match kind {
        RecordKind::Request => 1,
        RecordKind::Result => 2,
    }
}

fn kind_from_code(code: u8) -> Option<RecordKind> {
    match code {
        1 => Some(RecordKind::Request),
        2 => Some(RecordKind::Result),
        _ => None,
    }
}

fn checksum(kind: u8, item: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(&item.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Reads the next record. Returns `None` at the end of the file, of which `remaining`
/// bytes are unread, and for a record that is incomplete or fails its checksum.
pub(super) fn read_record(
    reader: &mut impl Read,
    remaining: u64,
) -> Result<Option<(RecordHeader, RecordKind)>, StoreError> {
    if remaining < HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut header = [0; HEADER_BYTES];
    reader.read_exact(&mut header)?;
    let header = RecordHeader::decode(header);
    let Some(kind) = kind_from_code(header.kind) else {
        return Ok(None);
    };
    if remaining - (HEADER_BYTES as u64) < u64::from(header.length) {
        return Ok(None);
    }
    let mut payload = vec![0; header.length as usize];
    reader.read_exact(&mut payload)?;
    Ok(header.checksum_matches(&payload).then_some((header, kind)))
}

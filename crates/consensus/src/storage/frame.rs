//! Frames of the log and snapshot files.
//!
//! A frame consists of a marker, the length of the payload, a CRC-32 of length and
//! payload, and the payload. Each frame is synced before the next one is written. Hence an invalid frame followed by a valid one is
//! corruption, whereas an invalid frame at the end is a torn write.

use super::folder::StorageFolder;
use std::io;

/// The bytes that are read from a file at once, unless a frame is larger.
const READ_BYTES: usize = 64 * 1024;

/// The magic bytes at the start of each frame.
const FRAME_MARKER: [u8; 4] = *b"CLF1";

/// The size of the header in bytes: marker, length and CRC.
pub(super) const HEADER_BYTES: usize = 12;

/// Why a frame could not be read.
#[derive(Debug)]
pub(super) enum FrameError {
    /// The frame is incomplete or invalid, and no valid frame follows.
    Torn,
    /// The frame is invalid, but a valid frame follows.
    Corrupt,
    /// The file could not be read.
    Io(io::Error),
}

/// Reads the frames of a file one after the other, with one of them in memory.
pub(super) struct FrameReader<'a> {
    folder: &'a dyn StorageFolder,
    name: &'a str,
    file_bytes: u64,
    /// The part of the file that was read last. The next frame begins at `start` of it.
    buffer: Vec<u8>,
    start: usize,
    /// The offset of the next frame in the file.
    offset: u64,
}

impl<'a> FrameReader<'a> {
    pub(super) fn open(folder: &'a dyn StorageFolder, name: &'a str) -> io::Result<Self> {
        Ok(Self {
            folder,
            name,
            file_bytes: folder.length(name)?,
            buffer: Vec::new(),
            start: 0,
            offset: 0,
        })
    }

    /// The offset of the next frame, in bytes.
    pub(super) fn offset(&self) -> u64 {
        self.offset
    }

    /// Reads the payload of the next frame; `None` at the end of the file.
    pub(super) fn next(&mut self) -> Result<Option<&[u8]>, FrameError> {
        if self.offset == self.file_bytes {
            return Ok(None);
        }
        self.fill(HEADER_BYTES).map_err(FrameError::Io)?;
        let rest = self.buffer.get(self.start..).unwrap_or_default();
        let frame_bytes = rest.first_chunk().and_then(frame_end);
        let frame_bytes = frame_bytes.and_then(|bytes| usize::try_from(bytes).ok());
        self.fill(frame_bytes.unwrap_or(HEADER_BYTES))
            .map_err(FrameError::Io)?;
        let rest = self.buffer.get(self.start..).unwrap_or_default();
        if parse(rest).is_none() {
            return Err(self.classify_invalid());
        }
        let frame_bytes = frame_bytes.unwrap_or(HEADER_BYTES);
        let frame = self.start..self.start + frame_bytes;
        self.start = frame.end;
        self.offset += frame_bytes as u64;
        Ok(self.buffer.get(frame).and_then(|f| f.get(HEADER_BYTES..)))
    }

    /// Reads until `length` bytes of the next frame are in the buffer, or the file ends.
    fn fill(&mut self, length: usize) -> io::Result<()> {
        let buffered = self.buffer.len() - self.start;
        let left = self.file_bytes - self.offset;
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        if buffered >= length.min(left) {
            return Ok(());
        }
        let wanted = length.max(READ_BYTES).min(left);
        // A buffer that grew for a large frame is not kept.
        let mut buffer = Vec::with_capacity(wanted);
        buffer.extend_from_slice(self.buffer.get(self.start..).unwrap_or_default());
        buffer.resize(wanted, 0);
        let read_from = self.offset + buffered as u64;
        let unread = buffer.get_mut(buffered..).unwrap_or_default();
        self.folder.read_at(self.name, read_from, unread)?;
        self.buffer = buffer;
        self.start = 0;
        Ok(())
    }

    /// Whether a valid frame follows an invalid one, which the rest of the file tells.
    fn classify_invalid(&mut self) -> FrameError {
        if let Err(error) = self.fill(usize::MAX) {
            return FrameError::Io(error);
        }
        let rest = self.buffer.get(self.start..).unwrap_or_default();
        if frame_follows(rest) {
            FrameError::Corrupt
        } else {
            FrameError::Torn
        }
    }
}

/// Encodes `payload` as a frame; `None` if it does not fit the 32-bit length.
pub(super) fn encode_frame(payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?.to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&FRAME_MARKER);
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum(length, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    Some(frame)
}

/// The offset of the end of the frame with this header, in bytes; `None` if the header
/// has no marker.
pub(super) fn frame_end(header: &[u8; HEADER_BYTES]) -> Option<u64> {
    let length: [u8; 4] = header.get(4..8)?.try_into().ok()?;
    let end = HEADER_BYTES as u64 + u64::from(u32::from_le_bytes(length));
    header.starts_with(&FRAME_MARKER).then_some(end)
}

/// Reads the frame at the start of `bytes`; returns its payload and the remaining
/// bytes.
pub(super) fn read_frame(bytes: &[u8]) -> Result<(&[u8], &[u8]), FrameError> {
    match parse(bytes) {
        Some(parts) => Ok(parts),
        None if frame_follows(bytes) => Err(FrameError::Corrupt),
        None => Err(FrameError::Torn),
    }
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}

fn parse(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let length: [u8; 4] = header.get(4..8)?.try_into().ok()?;
    let expected: [u8; 4] = header.get(8..12)?.try_into().ok()?;
    if !header.starts_with(&FRAME_MARKER) {
        return None;
    }
    let size = usize::try_from(u32::from_le_bytes(length)).ok()?;
    let (payload, after) = rest.split_at_checked(size)?;
    let is_valid = checksum(length, payload) == u32::from_le_bytes(expected);
    is_valid.then_some((payload, after))
}

fn frame_follows(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .filter_map(|offset| bytes.get(offset..))
        .any(|rest| rest.starts_with(&FRAME_MARKER) && parse(rest).is_some())
}

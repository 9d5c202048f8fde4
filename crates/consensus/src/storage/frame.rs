//! Frames of the log and snapshot files.
//!
//! A frame consists of a marker, the length of the payload, a CRC-32 of length and
//! payload, and the payload. Each sync writes one frame, and the next frame is written
//! only after that sync succeeded. Hence an invalid frame followed by a valid one is
//! corruption, whereas an invalid frame at the end is a torn write.

/// The magic bytes at the start of each frame.
const FRAME_MARKER: [u8; 4] = *b"CLF1";

/// The size of the header in bytes: marker, length and CRC.
pub(super) const HEADER_BYTES: usize = 12;

/// Why a frame could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameError {
    /// The frame is incomplete or invalid, and no valid frame follows.
    Torn,
    /// The frame is invalid, but a valid frame follows.
    Corrupt,
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

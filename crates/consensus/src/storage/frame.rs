//! Frames of the log and snapshot files.
//!
//! A frame is a marker, the length of the payload, a CRC-32 of length and payload,
//! and the payload. Each sync writes one frame, and the next frame is written only
//! after that sync succeeded. So a bad frame with a good one behind it is damage,
//! while a bad frame at the end is a write that was cut off.

/// Begins each frame.
const FRAME_MARKER: [u8; 4] = *b"CLF1";

/// The bytes before the payload: marker, length, CRC.
pub(super) const HEADER_BYTES: usize = 12;

/// Why no frame could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameFault {
    /// The bytes end before the frame does, or the frame is not whole.
    Torn,
    /// Another whole frame follows the bad one.
    DamagedMiddle,
}

/// One frame holding `payload`, or nothing if it is longer than 4 GiB.
pub(super) fn encode_frame(payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?.to_le_bytes();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(&FRAME_MARKER);
    frame.extend_from_slice(&length);
    frame.extend_from_slice(&checksum(length, payload).to_le_bytes());
    frame.extend_from_slice(payload);
    Some(frame)
}

/// Where the frame with this header ends, in bytes from its start.
pub(super) fn frame_end(header: &[u8; HEADER_BYTES]) -> Option<u64> {
    let length: [u8; 4] = header.get(4..8)?.try_into().ok()?;
    let end = HEADER_BYTES as u64 + u64::from(u32::from_le_bytes(length));
    header.starts_with(&FRAME_MARKER).then_some(end)
}

/// Reads the frame at the start of `bytes`: its payload and what follows it.
pub(super) fn read_frame(bytes: &[u8]) -> Result<(&[u8], &[u8]), FrameFault> {
    match parse(bytes) {
        Some(parts) => Ok(parts),
        None if frame_follows(bytes) => Err(FrameFault::DamagedMiddle),
        None => Err(FrameFault::Torn),
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
    let intact = checksum(length, payload) == u32::from_le_bytes(expected);
    intact.then_some((payload, after))
}

fn frame_follows(bytes: &[u8]) -> bool {
    (1..bytes.len())
        .filter_map(|offset| bytes.get(offset..))
        .any(|rest| rest.starts_with(&FRAME_MARKER) && parse(rest).is_some())
}

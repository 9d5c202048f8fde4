//! The frames of a connection.
//!
//! A frame is a kind, a number and a payload. The payload is not copied into a
//! serializer, since parts of snapshots and batch jobs are long.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::LengthDelimitedCodec;

/// The longest frame, in bytes; the longest message is a batch job.
const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

const HEAD_BYTES: usize = 9;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// Tells who opened the connection; the first frame.
    Hello = 0,
    /// Asks for an answer under the same number.
    Call = 1,
    /// Answers a call.
    Answer = 2,
    /// Needs no answer.
    Notice = 3,
    /// Asks whether the connection is alive.
    Probe = 4,
    /// Answers a probe.
    ProbeAnswer = 5,
}

/// One frame.
#[derive(Clone, Debug)]
pub(crate) struct RpcFrame {
    pub(crate) kind: FrameKind,
    pub(crate) number: u64,
    pub(crate) payload: Bytes,
}

impl RpcFrame {
    pub(crate) fn new(kind: FrameKind, number: u64, payload: Bytes) -> Self {
        Self {
            kind,
            number,
            payload,
        }
    }

    pub(crate) fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::with_capacity(HEAD_BYTES + self.payload.len());
        bytes.put_u8(self.kind as u8);
        bytes.put_u64(self.number);
        bytes.put_slice(&self.payload);
        bytes.freeze()
    }

    /// Reads a frame; `None` if the bytes are no frame.
    pub(crate) fn decode(mut bytes: Bytes) -> Option<Self> {
        if bytes.len() < HEAD_BYTES {
            return None;
        }
        let kind = match bytes.get_u8() {
            0 => FrameKind::Hello,
            1 => FrameKind::Call,
            2 => FrameKind::Answer,
            3 => FrameKind::Notice,
            4 => FrameKind::Probe,
            5 => FrameKind::ProbeAnswer,
            _ => return None,
        };
        let number = bytes.get_u64();
        Some(Self::new(kind, number, bytes))
    }
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

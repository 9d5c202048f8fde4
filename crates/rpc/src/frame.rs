//! Encoding of the frames sent over a connection.
//!
//! A frame consists of a kind, a number and a payload. The payload is appended
//! as it is, without a pass through a serializer, since parts of snapshots and
//! batch jobs are large.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::LengthDelimitedCodec;

/// The maximum length of a frame, in bytes; the largest messages are batch jobs.
pub(crate) const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// The length of a frame's kind and number, in bytes.
pub(crate) const HEADER_BYTES: usize = 9;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// The identity of the process that opened the connection; the first frame.
    Hello = 0,
    /// A call, which expects a reply with the same number.
    Call = 1,
    /// The reply to a call.
    Reply = 2,
    /// A one-way message.
    Notice = 3,
    /// Checks whether the connection still works.
    Probe = 4,
    /// The reply to a probe.
    ProbeReply = 5,
    /// Requests the tunnel in the payload. The connection carries nothing else
    /// from then on.
    Tunnel = 6,
    /// The tunnel is open; the bytes of the target follow.
    TunnelOpened = 7,
    /// The tunnel was not opened.
    TunnelDeclined = 8,
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
        let mut bytes = BytesMut::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.put_u8(self.kind as u8);
        bytes.put_u64(self.number);
        bytes.put_slice(&self.payload);
        bytes.freeze()
    }

    /// Decodes a frame; returns `None` if the bytes are malformed.
    pub(crate) fn decode(mut bytes: Bytes) -> Option<Self> {
        if bytes.len() < HEADER_BYTES {
            return None;
        }
        let kind = match bytes.get_u8() {
            0 => FrameKind::Hello,
            1 => FrameKind::Call,
            2 => FrameKind::Reply,
            3 => FrameKind::Notice,
            4 => FrameKind::Probe,
            5 => FrameKind::ProbeReply,
            6 => FrameKind::Tunnel,
            7 => FrameKind::TunnelOpened,
            8 => FrameKind::TunnelDeclined,
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

//! Envelopes: framing and authentication of messages.

use crate::fragment::MessagePart;
use crate::secret::{PeerSecret, TAG_BYTES};
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of a sealed envelope, in bytes; nng's default limit.
pub const SEALED_MAX_BYTES: usize = 1_000_000;

/// Confirms that a probe arrived.
///
/// It repeats the address that was dialed, since the replying host may listen on
/// another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ProbeReply {
    pub(crate) number: u64,
    pub(crate) dialed: SocketAddr,
}

/// The content of an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LinkFrame {
    /// Asks the peer for a reply, to check the connection.
    Probe(u64),
    /// The reply to a probe.
    ProbeReply(ProbeReply),
    /// A complete message of the layers above.
    Data(Vec<u8>),
    /// A part of a long message of the layers above.
    Part(MessagePart),
}

/// A message with its sender, before sealing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The host that sent the message.
    pub sender: HostName,
    /// The availability zone of the sender.
    pub zone: ZoneName,
    /// The address at which the sender receives messages.
    pub reply_address: SocketAddr,
    /// The incarnation of the sender's process; a later start has a higher number.
    pub incarnation: u64,
    /// The sequence number of the message within its incarnation.
    pub sequence: u64,
    /// The address that the message was sent to.
    pub destination: SocketAddr,
    pub(crate) frame: LinkFrame,
}

/// Why an envelope could not be sealed or opened.
#[derive(Debug, thiserror::Error)]
pub enum EnvelopeError {
    /// The sealed envelope would be longer than [`SEALED_MAX_BYTES`].
    #[error("a message of {length} bytes is longer than {SEALED_MAX_BYTES}")]
    TooLong {
        /// The length of the sealed envelope, in bytes.
        length: usize,
    },
    /// The tag does not match.
    #[error("the envelope has a wrong tag")]
    WrongTag,
    /// The bytes are not an envelope.
    #[error("the envelope is malformed")]
    Malformed(#[from] postcard::Error),
}

impl PeerEnvelope {
    /// Encodes the envelope, prefixed with its authentication tag.
    ///
    /// # Errors
    ///
    /// Fails if the result is longer than [`SEALED_MAX_BYTES`].
    pub fn seal(&self, secret: &PeerSecret) -> Result<Vec<u8>, EnvelopeError> {
        let body = postcard::to_stdvec(self)?;
        let length = TAG_BYTES + body.len();
        if length > SEALED_MAX_BYTES {
            return Err(EnvelopeError::TooLong { length });
        }
        let mut sealed = Vec::with_capacity(length);
        sealed.extend_from_slice(&secret.tag(&body));
        sealed.extend_from_slice(&body);
        Ok(sealed)
    }

    /// Checks the tag and decodes the envelope.
    ///
    /// # Errors
    ///
    /// Fails if the tag is wrong or the bytes do not decode to an envelope.
    pub fn open(secret: &PeerSecret, sealed: &[u8]) -> Result<Self, EnvelopeError> {
        let (tag, body) = sealed
            .split_at_checked(TAG_BYTES)
            .ok_or(EnvelopeError::WrongTag)?;
        if !secret.verify(body, tag) {
            return Err(EnvelopeError::WrongTag);
        }
        Ok(postcard::from_bytes(body)?)
    }
}

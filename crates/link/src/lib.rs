//! Authenticated messages between hosts over nng.
//!
//! Every host listens on one nng pull socket and dials one push socket to each
//! peer. Messages are one-way and best effort: the layers above (replicated log,
//! limits, membership) tolerate loss, delay and duplication, so the link never
//! blocks them and never retries a message.
//!
//! One-way pipelines are used instead of nng's request and reply sockets, since a
//! lost reply would occupy a request context until its timeout, and most messages
//! between hosts need no reply.
//!
//! Each message carries a keyed BLAKE3 tag over the whole envelope, computed
//! with a secret that all hosts share. A message with a wrong tag is dropped and
//! counted, and so is one whose sequence number is not above the last one received
//! from its sender at the same destination address.
//!
//! A message that does not fit into one envelope is split into parts.
//!
//! An established connection can stop delivering data without being closed while
//! new connections still work. Each sender therefore probes its peer, and replaces
//! the connection when probes are not answered in time.

mod envelope;
mod fragment;
mod handle;
mod inbound;
mod outbound;
mod secret;
mod settings;
mod stats;

pub use envelope::{EnvelopeError, PeerEnvelope, SEALED_MAX_BYTES};
pub use fragment::MESSAGE_MAX_BYTES;
pub use handle::{InboundMessage, LinkError, PeerLink, SendError};
pub use secret::{PeerSecret, SecretError};
pub use settings::{LinkIdentity, LinkTiming};
pub use stats::{LinkCounts, LinkStats};

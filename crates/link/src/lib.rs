//! Authenticated messages between hosts over nng.
//!
//! Every host listens on one nng pull socket and dials one push socket to each
//! peer that it talks to. Messages are one-way and best effort: the parts above
//! (replicated log, limits, membership) are built to stand loss, delay and
//! duplication, so the link never blocks them and never retries a message.
//!
//! One-way pipelines were preferred to request and reply sockets since a lost
//! reply would hold a context until its timeout, and most messages between
//! hosts need no answer.
//!
//! Each message carries a keyed BLAKE3 tag over the whole envelope, made with a
//! secret that all hosts share. A message with a wrong tag, or with a number
//! that its sender already used, is dropped and counted.
//!
//! A message that is longer than nng takes travels in parts.
//!
//! A connection can go silent for good while new ones work. So each sender
//! probes its peer; when probes stay unanswered it drops the connection and
//! dials a new one.

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

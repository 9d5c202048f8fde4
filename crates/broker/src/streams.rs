//! The software versions of servers, and the streams that are bound to one of them.
//!
//! What two versions write does not fit together, so a stream goes on only at the version
//! that began it.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the software of a server. Versions have no order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// Identifies a stream by the attempt of its caller that brought the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Creates the id from the id of the attempt.
    #[must_use]
    pub fn of_attempt(request: &str) -> Self {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&blake3::hash(request.as_bytes()).as_bytes()[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}

/// The part of a stream that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamPart {
    /// The stream from its first event on, at any version.
    Beginning(StreamId),
    /// What follows the events that the caller has, at the version that wrote them.
    Rest {
        /// The stream; `None` if the caller does not name it.
        stream: Option<StreamId>,
        /// The version that began the stream; `None` if the requester does not know it.
        version: Option<SoftwareVersion>,
    },
}

//! Fingerprints that identify identical requests.

use super::SegmentFingerprint;
use crate::limits::ShardNumber;
use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// A hash of the team, route, path and body of a request. It identifies a request
/// that its caller resends to any host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let bytes = self.0.iter();
        bytes
            .into_iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request; `team` is `None` on a public route.
    #[must_use]
    pub fn new(team: Option<&TeamName>, route: &RouteName, path: &str, body: &[u8]) -> Self {
        let team = team.map_or("", TeamName::as_str);
        let mut hasher = blake3::Hasher::new();
        for name in [team, route.as_str(), path] {
            // Names and paths contain no line feed, so the encoding is unambiguous.
            hasher.update(name.as_bytes()).update(b"\n");
        }
        hasher.update(body);
        let mut head = [0; 16];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(head)
    }

    /// The fingerprint by which trials of a prompt segment are coordinated.
    #[must_use]
    pub fn of_segment(segment: SegmentFingerprint) -> Self {
        let mut head = [0; 16];
        head.copy_from_slice(&blake3::hash(&segment.0.to_le_bytes()).as_bytes()[..16]);
        Self(head)
    }

    /// Returns the shard whose owner coordinates trials of the request.
    #[must_use]
    pub fn shard(self, shards: u16) -> ShardNumber {
        let number = u16::from_le_bytes([self.0[0], self.0[1]]);
        ShardNumber(number % shards.max(1))
    }
}

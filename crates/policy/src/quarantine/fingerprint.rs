//! What makes two requests the same request.

use crate::limits::ShardNumber;
use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies a request by its team, route, path and body, so that a resend by its
/// caller to any host is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// The fingerprint of a request; an open route has no team.
    #[must_use]
    pub fn new(team: Option<&TeamName>, route: &RouteName, path: &str, body: &[u8]) -> Self {
        let team = team.map_or("", TeamName::as_str);
        let mut hasher = blake3::Hasher::new();
        for name in [team, route.as_str(), path] {
            // Neither names nor paths hold a line end, so the parts cannot run together.
            hasher.update(name.as_bytes()).update(b"\n");
        }
        hasher.update(body);
        let mut head = [0; 16];
        head.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(head)
    }

    /// The shard whose owner permits trials of the request.
    #[must_use]
    pub fn shard(self, shards: u16) -> ShardNumber {
        let number = u16::from_le_bytes([self.0[0], self.0[1]]);
        ShardNumber(number % shards.max(1))
    }
}

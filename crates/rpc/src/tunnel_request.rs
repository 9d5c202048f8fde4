//! The request for a tunnel, and its authentication between hosts that share a secret.

use crate::identity::PeerIdentity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The context string for deriving the key of tunnel requests from the secret.
const KEY_CONTEXT: &str = "chicoryladder tunnel request 1";

/// The age up to which an authenticated request is accepted, which also bounds the difference
/// between the clocks of hosts.
const REQUEST_AGE_MAX: Duration = Duration::from_secs(30);

/// A secret with which hosts authenticate requests for tunnels to each other.
#[derive(Clone)]
pub struct TunnelSecret {
    key: [u8; blake3::KEY_LEN],
}

impl TunnelSecret {
    /// Derives the key from a secret that all hosts share.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        let key = blake3::derive_key(KEY_CONTEXT, secret.trim().as_bytes());
        Self { key }
    }

    fn tag(&self, peer: &PeerIdentity, target: SocketAddr, issued_at: Duration) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        let parts = [
            peer.host.to_string(),
            target.to_string(),
            issued_at.as_millis().to_string(),
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize()
    }
}

impl std::fmt::Debug for TunnelSecret {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("TunnelSecret(..)")
    }
}

/// A request for a tunnel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The address to connect to.
    pub target: SocketAddr,
    /// When the request was made, since the Unix epoch.
    issued_at: Duration,
    /// The authentication of the request, from hosts that have a secret.
    tag: Option<[u8; blake3::OUT_LEN]>,
}

impl TunnelRequest {
    pub(crate) fn new(
        peer: &PeerIdentity,
        target: SocketAddr,
        secret: Option<&TunnelSecret>,
        since_epoch: Duration,
    ) -> Self {
        let issued_at = Duration::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(0));
        let tag = secret.map(|secret| *secret.tag(peer, target, issued_at).as_bytes());
        Self {
            target,
            issued_at,
            tag,
        }
    }

    /// Whether a host that has the secret made the request lately.
    #[must_use]
    pub fn is_authentic(
        &self,
        peer: &PeerIdentity,
        secret: &TunnelSecret,
        since_epoch: Duration,
    ) -> bool {
        let expected = secret.tag(peer, self.target, self.issued_at);
        // The comparison of hashes takes constant time.
        let is_tagged = self.tag.is_some_and(|tag| expected == tag);
        is_tagged && self.issued_at.abs_diff(since_epoch) <= REQUEST_AGE_MAX
    }
}

//! The mapping of teams to shards, and of shards to hosts.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The number of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardNumber(pub u16);

impl ShardNumber {
    /// Returns the shard of a team, out of `shards` shards.
    #[must_use]
    pub fn of_team(team: &TeamName, shards: u16) -> Self {
        let hash = hash_u64(&[team.as_str().as_bytes()]);
        let shard = hash % u64::from(shards.max(1));
        Self(u16::try_from(shard).unwrap_or(0))
    }

    /// Returns the host that ranks first for the shard by rendezvous hashing.
    #[must_use]
    pub fn first_ranked(self, hosts: &[HostName]) -> Option<&HostName> {
        let number = self.0.to_le_bytes();
        let rank = |host: &&HostName| hash_u64(&[&number, host.as_str().as_bytes()]);
        hosts.iter().max_by_key(rank)
    }
}

fn hash_u64(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

//! Messages between claimants and voters.

use super::ShardNumber;
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One shard that a host claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardNumber,
    /// The epoch of the claimant as its owner.
    pub epoch: OwnerEpoch,
}

/// A host asks every voter for shards, or renews them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The host that claims.
    pub claimant: HostName,
    /// Numbers the claims of the host.
    pub sequence: u64,
    /// The shards claimed.
    pub shards: Vec<ShardClaim>,
}

/// A voter's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseVote {
    /// The voter.
    pub voter: HostName,
    /// The host that claimed.
    pub claimant: HostName,
    /// The sequence of the claim.
    pub sequence: u64,
    /// The shards promised, with the claimed epochs.
    pub granted: Vec<ShardClaim>,
    /// The shards refused, with the highest epochs seen.
    pub refused: Vec<ShardClaim>,
}

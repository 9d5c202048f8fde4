//! Messages between claimants and voters.

use super::ShardNumber;
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One shard with the epoch of its claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardNumber,
    /// The owner epoch of the claimant.
    pub epoch: OwnerEpoch,
}

/// A claim or renewal of shards, sent to every voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaim {
    /// The claiming host.
    pub claimant: HostName,
    /// The sequence number of the claim at its host.
    pub sequence: u64,
    /// The claimed shards.
    pub shards: Vec<ShardClaim>,
}

/// A voter's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseVote {
    /// The voter.
    pub voter: HostName,
    /// The claiming host.
    pub claimant: HostName,
    /// The sequence number of the claim.
    pub sequence: u64,
    /// The granted shards, with the claimed epochs.
    pub granted: Vec<ShardClaim>,
    /// The refused shards, with the highest epochs that the voter granted.
    pub refused: Vec<ShardClaim>,
}

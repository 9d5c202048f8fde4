//! Majority leases on shards of teams; the holder owns the buckets of the shard.
//!
//! Each team maps to a shard. A host holds a shard while a majority of the voters
//! has granted it a vote for the shard, each for a fixed time. The highest-ranked live
//! host claims a shard (rendezvous hashing); a holder that renews its lease is not
//! displaced. Every claim after a lost lease uses a higher epoch.
//!
//! The claimant counts the lifetime of a vote from the sending of the claim, the
//! voter from its receipt, so two hosts never hold one shard at the same time. A
//! restarted voter grants no votes until every vote that it may have granted before
//! the restart has expired.

mod holder;
mod message;
mod shard;
mod voter;

pub use holder::{LeaseAction, OwnerLease};
pub use message::{LeaseClaim, LeaseVote, ShardClaim};
pub use shard::ShardNumber;
pub use voter::LeaseVoter;

use std::time::Duration;

/// Timing of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// The lifetime of a vote at its claimant, counted from the sending of the claim.
    pub vote_ttl: Duration,
    /// The additional lifetime at the voter, as a margin for clock drift.
    pub drift_margin: Duration,
    /// The minimum time between two claims of one host.
    pub claim_interval: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            vote_ttl: Duration::from_millis(1_500),
            drift_margin: Duration::from_millis(50),
            claim_interval: Duration::from_millis(250),
        }
    }
}

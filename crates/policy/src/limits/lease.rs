//! Which host keeps the buckets of a shard of teams.
//!
//! Teams fall into shards. A host keeps a shard while a majority of the voters
//! has promised it, each for a fixed time. The highest-ranked live host claims
//! a shard (rendezvous hashing); a holder that renews is not displaced. Each
//! claim after a loss has a higher epoch. A vote lasts at its claimant from the
//! sending of the claim, and at its voter from the receipt, so two hosts never
//! hold one shard at the same time. A restarted voter promises nothing until
//! each promise it may have forgotten has ended.

mod holder;
mod message;
mod shard;
mod voter;

pub use holder::{LeaseAction, OwnerLease};
pub use message::{LeaseClaim, LeaseVote, ShardClaim};
pub use shard::ShardNumber;
pub use voter::LeaseVoter;

use std::time::Duration;

/// How long promises last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// The life of a vote at its claimant, from the sending of the claim.
    pub vote_ttl: Duration,
    /// How much longer the voter keeps its promise, for clocks that drift.
    pub drift_margin: Duration,
    /// The time between two claims.
    pub claim_every: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            vote_ttl: Duration::from_millis(1_500),
            drift_margin: Duration::from_millis(50),
            claim_every: Duration::from_millis(250),
        }
    }
}

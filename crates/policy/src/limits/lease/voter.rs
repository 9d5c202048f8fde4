//! The voter side of the lease protocol.

use super::{LeaseClaim, LeaseTimes, LeaseVote, ShardClaim, ShardNumber};
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;

#[derive(Clone, Debug)]
struct LeasePromise {
    epoch: OwnerEpoch,
    holder: HostName,
    until: Instant,
}

/// Votes on claims; a granted vote is a promise with an expiry.
#[derive(Clone, Debug)]
pub struct LeaseVoter {
    host: HostName,
    times: LeaseTimes,
    votes_from: Instant,
    promises: BTreeMap<ShardNumber, LeasePromise>,
}

impl LeaseVoter {
    /// Creates a voter that started at `now` without its earlier promises.
    #[must_use]
    pub fn new(host: HostName, times: LeaseTimes, now: Instant) -> Self {
        Self {
            host,
            times,
            votes_from: now + times.vote_ttl + times.drift_margin,
            promises: BTreeMap::new(),
        }
    }

    /// Votes on each shard of a claim.
    pub fn handle_claim(&mut self, claim: &LeaseClaim, now: Instant) -> LeaseVote {
        let mut vote = LeaseVote {
            voter: self.host.clone(),
            claimant: claim.claimant.clone(),
            sequence: claim.sequence,
            granted: Vec::new(),
            refused: Vec::new(),
        };
        for claimed in &claim.shards {
            match self.promise(claimed, &claim.claimant, now) {
                Ok(()) => vote.granted.push(*claimed),
                Err(epoch) => vote.refused.push(ShardClaim {
                    shard: claimed.shard,
                    epoch,
                }),
            }
        }
        vote
    }

    /// Returns the host to which the shard is promised now.
    #[must_use]
    pub fn holder(&self, shard: ShardNumber, now: Instant) -> Option<&HostName> {
        let promise = self.promises.get(&shard)?;
        (promise.until > now).then_some(&promise.holder)
    }

    fn promise(
        &mut self,
        claimed: &ShardClaim,
        claimant: &HostName,
        now: Instant,
    ) -> Result<(), OwnerEpoch> {
        if now < self.votes_from {
            return Err(OwnerEpoch::default());
        }
        if let Some(promise) = self.promises.get(&claimed.shard) {
            let same_holder = promise.holder == *claimant;
            let free = promise.until <= now && claimed.epoch > promise.epoch;
            let renewed = same_holder && claimed.epoch >= promise.epoch;
            if !free && !renewed {
                return Err(promise.epoch);
            }
        }
        let promise = LeasePromise {
            epoch: claimed.epoch,
            holder: claimant.clone(),
            until: now + self.times.vote_ttl + self.times.drift_margin,
        };
        self.promises.insert(claimed.shard, promise);
        Ok(())
    }
}

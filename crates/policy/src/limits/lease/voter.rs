//! The voter's side of a lease.

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

/// Promises shards to claimants.
#[derive(Clone, Debug)]
pub struct LeaseVoter {
    host: HostName,
    times: LeaseTimes,
    silent_until: Instant,
    promises: BTreeMap<ShardNumber, LeasePromise>,
}

impl LeaseVoter {
    /// A voter that started at `now` and has forgotten its earlier promises.
    #[must_use]
    pub fn new(host: HostName, times: LeaseTimes, now: Instant) -> Self {
        Self {
            host,
            times,
            silent_until: now + times.vote_ttl + times.drift_margin,
            promises: BTreeMap::new(),
        }
    }

    /// Answers a claim.
    pub fn handle_claim(&mut self, claim: &LeaseClaim, now: Instant) -> LeaseVote {
        let mut vote = LeaseVote {
            voter: self.host.clone(),
            claimant: claim.claimant.clone(),
            sequence: claim.sequence,
            granted: Vec::new(),
            refused: Vec::new(),
        };
        for wanted in &claim.shards {
            match self.promise(wanted, &claim.claimant, now) {
                Ok(()) => vote.granted.push(*wanted),
                Err(epoch) => vote.refused.push(ShardClaim {
                    shard: wanted.shard,
                    epoch,
                }),
            }
        }
        vote
    }

    /// The host to which the shard is promised.
    #[must_use]
    pub fn holder(&self, shard: ShardNumber, now: Instant) -> Option<&HostName> {
        let promise = self.promises.get(&shard)?;
        (promise.until > now).then_some(&promise.holder)
    }

    fn promise(
        &mut self,
        wanted: &ShardClaim,
        claimant: &HostName,
        now: Instant,
    ) -> Result<(), OwnerEpoch> {
        if now < self.silent_until {
            return Err(OwnerEpoch::default());
        }
        if let Some(promise) = self.promises.get(&wanted.shard) {
            let same_holder = promise.holder == *claimant;
            let free = promise.until <= now && wanted.epoch > promise.epoch;
            let renewed = same_holder && wanted.epoch >= promise.epoch;
            if !free && !renewed {
                return Err(promise.epoch);
            }
        }
        let promise = LeasePromise {
            epoch: wanted.epoch,
            holder: claimant.clone(),
            until: now + self.times.vote_ttl + self.times.drift_margin,
        };
        self.promises.insert(wanted.shard, promise);
        Ok(())
    }
}

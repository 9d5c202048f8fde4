//! The voter side of the lease protocol: grants shards to claimants for a limited time.

use super::{LeaseClaim, LeaseTimes, LeaseVote, ShardClaim, ShardNumber};
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::Instant;

/// A granted vote: until it expires, the voter grants the shard to no other host.
#[derive(Clone, Debug)]
struct GrantedVote {
    epoch: OwnerEpoch,
    holder: HostName,
    until: Instant,
}

/// Votes on the claims of hosts. Each granted vote expires.
#[derive(Clone, Debug)]
pub struct LeaseVoter {
    host: HostName,
    times: LeaseTimes,
    /// The time before which all claims are refused.
    votes_from: Instant,
    /// The latest granted vote for each shard. It is kept after its expiry, since a
    /// later claim of another host needs a higher epoch.
    granted_votes: BTreeMap<ShardNumber, GrantedVote>,
}

impl LeaseVoter {
    /// Creates a voter that starts at `now` and does not know the votes granted in an
    /// earlier start. It refuses all claims until those have expired.
    #[must_use]
    pub fn new(host: HostName, times: LeaseTimes, now: Instant) -> Self {
        Self {
            host,
            times,
            votes_from: now + times.vote_ttl + times.drift_margin,
            granted_votes: BTreeMap::new(),
        }
    }

    /// Votes on each shard of a claim separately.
    pub fn handle_claim(&mut self, claim: &LeaseClaim, now: Instant) -> LeaseVote {
        let mut vote = LeaseVote {
            voter: self.host.clone(),
            claimant: claim.claimant.clone(),
            sequence: claim.sequence,
            granted: Vec::new(),
            refused: Vec::new(),
        };
        for claimed in &claim.shards {
            match self.grant(claimed, &claim.claimant, now) {
                Ok(()) => vote.granted.push(*claimed),
                Err(epoch) => vote.refused.push(ShardClaim {
                    shard: claimed.shard,
                    epoch,
                }),
            }
        }
        vote
    }

    /// Returns the host that holds this voter's vote for the shard now.
    #[must_use]
    pub fn holder(&self, shard: ShardNumber, now: Instant) -> Option<&HostName> {
        let vote = self.granted_votes.get(&shard)?;
        (vote.until > now).then_some(&vote.holder)
    }

    /// Grants the shard to the claimant. Otherwise returns the highest epoch that was
    /// granted, which is 0 if the voter does not know it.
    fn grant(
        &mut self,
        claimed: &ShardClaim,
        claimant: &HostName,
        now: Instant,
    ) -> Result<(), OwnerEpoch> {
        if now < self.votes_from {
            return Err(OwnerEpoch::default());
        }
        if let Some(vote) = self.granted_votes.get(&claimed.shard) {
            let same_holder = vote.holder == *claimant;
            let is_free = vote.until <= now && claimed.epoch > vote.epoch;
            let is_renewal = same_holder && claimed.epoch >= vote.epoch;
            if !is_free && !is_renewal {
                return Err(vote.epoch);
            }
        }
        let vote = GrantedVote {
            epoch: claimed.epoch,
            holder: claimant.clone(),
            until: now + self.times.vote_ttl + self.times.drift_margin,
        };
        self.granted_votes.insert(claimed.shard, vote);
        Ok(())
    }
}

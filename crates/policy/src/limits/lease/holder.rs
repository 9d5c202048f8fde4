//! The claimant side of the lease protocol.

use super::{LeaseClaim, LeaseTimes, LeaseVote, ShardClaim, ShardNumber};
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// The number of sent claims whose send time is retained.
const SENT_MAX: usize = 32;

/// An action for the task that drives an [`OwnerLease`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send the claim to every voter.
    Claim(LeaseClaim),
    /// The host holds the shard from now on.
    Gained(ShardClaim),
    /// The host no longer holds the shard and must drop its buckets.
    Lost(ShardClaim),
}

#[derive(Clone, Debug)]
struct ClaimedShard {
    epoch: OwnerEpoch,
    claimed_at: Instant,
    votes: BTreeMap<HostName, Instant>,
    held: bool,
}

impl ClaimedShard {
    /// Returns the expiry of the lease: the earliest expiry among the votes of the
    /// majority that lasts longest.
    fn held_until(&self, majority: usize) -> Option<Instant> {
        let mut ends: Vec<Instant> = self.votes.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(majority - 1).copied()
    }
}

/// The shards that one host holds or claims.
#[derive(Clone, Debug)]
pub struct OwnerLease {
    host: HostName,
    majority: usize,
    shards: u16,
    times: LeaseTimes,
    claimed: BTreeMap<ShardNumber, ClaimedShard>,
    highest: BTreeMap<ShardNumber, OwnerEpoch>,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl OwnerLease {
    /// Creates the state of a host that holds no shard yet. `voters` is the fixed
    /// number of voters.
    #[must_use]
    pub fn new(host: HostName, voters: usize, shards: u16, times: LeaseTimes) -> Self {
        Self {
            host,
            majority: voters / 2 + 1,
            shards,
            times,
            claimed: BTreeMap::new(),
            highest: BTreeMap::new(),
            sequence: 0,
            sent: VecDeque::new(),
        }
    }

    /// Returns the epoch in which the host holds the shard now.
    ///
    /// Must be checked before each grant, because a lease can expire between two
    /// polls.
    #[must_use]
    pub fn held_epoch(&self, shard: ShardNumber, now: Instant) -> Option<OwnerEpoch> {
        let claimed = self.claimed.get(&shard).filter(|claimed| claimed.held)?;
        let until = claimed.held_until(self.majority)?;
        (until > now).then_some(claimed.epoch)
    }

    /// Drops expired leases, renews held ones, and claims the shards for which this
    /// host ranks first among the `live` hosts. New epochs are at least
    /// `epoch_floor`, which must increase over time and across restarts, such as the
    /// milliseconds since the Unix epoch.
    pub fn poll(&mut self, live: &[HostName], epoch_floor: u64, now: Instant) -> Vec<LeaseAction> {
        let mut actions = self.drop_expired(now);
        if !self.claim_due(now) {
            return actions;
        }
        let shards = self.shards_to_claim(live, epoch_floor, now);
        if shards.is_empty() {
            return actions;
        }
        self.sequence += 1;
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        actions.push(LeaseAction::Claim(LeaseClaim {
            claimant: self.host.clone(),
            sequence: self.sequence,
            shards,
        }));
        actions
    }

    /// Returns the shards that this host holds now.
    #[must_use]
    pub fn held_shards(&self, now: Instant) -> Vec<ShardClaim> {
        let shards = self.claimed.keys();
        let held = shards.filter_map(|shard| {
            let epoch = self.held_epoch(*shard, now)?;
            let shard = *shard;
            Some(ShardClaim { shard, epoch })
        });
        held.collect()
    }

    /// Applies a vote.
    pub fn handle_vote(&mut self, vote: &LeaseVote, now: Instant) -> Vec<LeaseAction> {
        let mut actions = self.drop_expired(now);
        let sent = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == vote.sequence);
        let Some((_, sent_at)) = sent.copied() else {
            return actions;
        };
        if vote.claimant != self.host {
            return actions;
        }
        for refused in &vote.refused {
            let highest = self.highest.entry(refused.shard).or_default();
            *highest = refused.epoch.max(*highest);
        }
        let until = sent_at + self.times.vote_ttl;
        for granted in &vote.granted {
            actions.extend(self.count_vote(granted, &vote.voter, until, now));
        }
        actions
    }

    fn count_vote(
        &mut self,
        granted: &ShardClaim,
        voter: &HostName,
        until: Instant,
        now: Instant,
    ) -> Option<LeaseAction> {
        let claimed = self.claimed.get_mut(&granted.shard)?;
        if claimed.epoch != granted.epoch || until <= now {
            return None;
        }
        let end = claimed.votes.entry(voter.clone()).or_insert(until);
        *end = until.max(*end);
        let gained = !claimed.held && claimed.held_until(self.majority)? > now;
        claimed.held |= gained;
        gained.then_some(LeaseAction::Gained(*granted))
    }

    fn drop_expired(&mut self, now: Instant) -> Vec<LeaseAction> {
        let majority = self.majority;
        let expired = self.claimed.iter().filter(|(_, claimed)| {
            let until = claimed.held_until(majority);
            claimed.held && until.is_none_or(|until| until <= now)
        });
        let expired: Vec<ShardClaim> = expired
            .map(|(shard, claimed)| ShardClaim {
                shard: *shard,
                epoch: claimed.epoch,
            })
            .collect();
        for lost in &expired {
            self.claimed.remove(&lost.shard);
            self.highest.insert(lost.shard, lost.epoch);
        }
        expired.into_iter().map(LeaseAction::Lost).collect()
    }

    fn claim_due(&self, now: Instant) -> bool {
        self.sent.back().is_none_or(|(_, sent_at)| {
            now.saturating_duration_since(*sent_at) >= self.times.claim_interval
        })
    }

    /// Returns the shards to renew or claim: held shards, and those for which this
    /// host ranks first.
    fn shards_to_claim(
        &mut self,
        live: &[HostName],
        epoch_floor: u64,
        now: Instant,
    ) -> Vec<ShardClaim> {
        let mut shards = Vec::new();
        for number in 0..self.shards {
            let shard = ShardNumber(number);
            let held = self.claimed.get(&shard).is_some_and(|claimed| claimed.held);
            if held || shard.first_ranked(live) == Some(&self.host) {
                let epoch = self.claim_epoch(shard, epoch_floor, now);
                shards.push(ShardClaim { shard, epoch });
            } else {
                self.claimed.remove(&shard);
            }
        }
        shards
    }

    /// Returns the epoch for the next claim. A claim without a majority within the
    /// lifetime of a vote is restarted in a higher epoch, so that epochs increase
    /// even if the voters have forgotten the ones in between.
    fn claim_epoch(&mut self, shard: ShardNumber, epoch_floor: u64, now: Instant) -> OwnerEpoch {
        let highest = self.highest.get(&shard).copied().unwrap_or_default();
        if let Some(claimed) = self.claimed.get(&shard) {
            let age = now.saturating_duration_since(claimed.claimed_at);
            let current = claimed.epoch > highest && age < self.times.vote_ttl;
            if claimed.held || current {
                return claimed.epoch;
            }
        }
        let epoch = OwnerEpoch(epoch_floor.max(highest.0 + 1));
        let fresh = ClaimedShard {
            epoch,
            claimed_at: now,
            votes: BTreeMap::new(),
            held: false,
        };
        self.claimed.insert(shard, fresh);
        epoch
    }
}

//! The claimant's side of a lease.

use super::{LeaseClaim, LeaseTimes, LeaseVote, ShardClaim, ShardNumber};
use crate::limits::OwnerEpoch;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Sent claims whose time is remembered.
const SENT_MAX: usize = 32;

/// What the holder side asks of the task that drives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send the claim to every voter.
    Claim(LeaseClaim),
    /// The host keeps the shard from this instant on.
    Gained(ShardClaim),
    /// The host no longer keeps the shard; its buckets must be dropped.
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
    /// The end of the shortest vote of the best majority.
    fn held_until(&self, majority: usize) -> Option<Instant> {
        let mut ends: Vec<Instant> = self.votes.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(majority - 1).copied()
    }
}

/// The shards that one host keeps or claims.
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
    /// A host that keeps no shard yet, among a fixed number of voters.
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

    /// The epoch in which the host keeps the shard now.
    ///
    /// Must be asked before each grant: a lease can end between two polls.
    #[must_use]
    pub fn held_epoch(&self, shard: ShardNumber, now: Instant) -> Option<OwnerEpoch> {
        let claimed = self.claimed.get(&shard).filter(|claimed| claimed.held)?;
        let until = claimed.held_until(self.majority)?;
        (until > now).then_some(claimed.epoch)
    }

    /// Ends lapsed leases, and claims what this host should keep among the
    /// `live` hosts. New epochs start at `epoch_floor`, which rises over
    /// time and over restarts, such as the milliseconds of the calendar.
    pub fn poll(&mut self, live: &[HostName], epoch_floor: u64, now: Instant) -> Vec<LeaseAction> {
        let mut actions = self.drop_lapsed(now);
        if !self.claim_due(now) {
            return actions;
        }
        let shards = self.wanted(live, epoch_floor, now);
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

    /// The shards that this host keeps now.
    #[must_use]
    pub fn held_shards(&self, now: Instant) -> Vec<ShardClaim> {
        let shards = self.claimed.keys();
        let kept = shards.filter_map(|shard| {
            let epoch = self.held_epoch(*shard, now)?;
            let shard = *shard;
            Some(ShardClaim { shard, epoch })
        });
        kept.collect()
    }

    /// Takes over a vote.
    pub fn handle_vote(&mut self, vote: &LeaseVote, now: Instant) -> Vec<LeaseAction> {
        let mut actions = self.drop_lapsed(now);
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

    fn drop_lapsed(&mut self, now: Instant) -> Vec<LeaseAction> {
        let majority = self.majority;
        let lapsed = self.claimed.iter().filter(|(_, claimed)| {
            let until = claimed.held_until(majority);
            claimed.held && until.is_none_or(|until| until <= now)
        });
        let lapsed: Vec<ShardClaim> = lapsed
            .map(|(shard, claimed)| ShardClaim {
                shard: *shard,
                epoch: claimed.epoch,
            })
            .collect();
        for lost in &lapsed {
            self.claimed.remove(&lost.shard);
            self.highest.insert(lost.shard, lost.epoch);
        }
        lapsed.into_iter().map(LeaseAction::Lost).collect()
    }

    fn claim_due(&self, now: Instant) -> bool {
        self.sent.back().is_none_or(|(_, sent_at)| {
            now.saturating_duration_since(*sent_at) >= self.times.claim_every
        })
    }

    /// Held shards are renewed; others are claimed if this host ranks first.
    fn wanted(&mut self, live: &[HostName], epoch_floor: u64, now: Instant) -> Vec<ShardClaim> {
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

    /// The epoch to claim with. A claim that found no majority for the life of
    /// a vote begins again in a higher epoch, so that epochs rise even if the
    /// voters forgot those in between.
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

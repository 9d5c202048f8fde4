//! Which host keeps the buckets of a shard of teams.
//!
//! Teams fall into shards. A host keeps a shard while a majority of the voters
//! has promised it, each for a fixed time. The highest-ranked live host claims
//! a shard (rendezvous hashing); a holder that renews is not displaced. Each
//! claim after a loss has a higher epoch. A vote lasts at its claimant from the
//! sending of the claim, and at its voter from the receipt, so two hosts never
//! hold one shard at the same time. A restarted voter promises nothing until
//! each promise it may have forgotten has ended.

use super::KeeperEpoch;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Sent claims whose time is remembered.
const SENT_MAX: usize = 32;

/// Numbers the shards of teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShardNumber(pub u16);

impl ShardNumber {
    /// The shard of a team among `shards`.
    #[must_use]
    pub fn of_team(team: &TeamName, shards: u16) -> Self {
        let hash = hash_u64(&[team.as_str().as_bytes()]);
        let shard = hash % u64::from(shards.max(1));
        Self(u16::try_from(shard).unwrap_or(0))
    }

    /// The host that ranks first for the shard among `hosts`.
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

/// One shard that a host claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardClaim {
    /// The shard.
    pub shard: ShardNumber,
    /// The epoch of the claimant as its keeper.
    pub epoch: KeeperEpoch,
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

#[derive(Clone, Debug)]
struct LeasePromise {
    epoch: KeeperEpoch,
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
    ) -> Result<(), KeeperEpoch> {
        if now < self.silent_until {
            return Err(KeeperEpoch::default());
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
    epoch: KeeperEpoch,
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
pub struct KeeperLease {
    host: HostName,
    majority: usize,
    shards: u16,
    times: LeaseTimes,
    claimed: BTreeMap<ShardNumber, ClaimedShard>,
    highest: BTreeMap<ShardNumber, KeeperEpoch>,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
}

impl KeeperLease {
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
    pub fn held_epoch(&self, shard: ShardNumber, now: Instant) -> Option<KeeperEpoch> {
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
    pub fn kept(&self, now: Instant) -> Vec<ShardClaim> {
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
    fn claim_epoch(&mut self, shard: ShardNumber, epoch_floor: u64, now: Instant) -> KeeperEpoch {
        let highest = self.highest.get(&shard).copied().unwrap_or_default();
        if let Some(claimed) = self.claimed.get(&shard) {
            let age = now.saturating_duration_since(claimed.claimed_at);
            let current = claimed.epoch > highest && age < self.times.vote_ttl;
            if claimed.held || current {
                return claimed.epoch;
            }
        }
        let epoch = KeeperEpoch(epoch_floor.max(highest.0 + 1));
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

//! Two hosts never hold the lease of one shard at the same time.

use crate::fleet::host;
use chicoryladder_policy::limits::{
    LeaseAction, LeaseClaim, LeaseTimes, LeaseVoter, OwnerEpoch, OwnerLease, ShardNumber,
};
use chicoryladder_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const SHARDS: u16 = 4;
const STEP: Duration = Duration::from_millis(10);

struct LeaseGroup {
    holders: Vec<OwnerLease>,
    voters: Vec<LeaseVoter>,
    start: Instant,
    rng: ChaCha8Rng,
    loss_percent: u32,
    highest: Vec<OwnerEpoch>,
}

impl LeaseGroup {
    fn new(hosts: usize, loss_percent: u32, seed: u64, now: Instant) -> Self {
        let times = LeaseTimes::default();
        let holder = |index| OwnerLease::new(host(index), hosts, SHARDS, times);
        let voter = |index| LeaseVoter::new(host(index), times, now);
        Self {
            holders: (0..hosts).map(holder).collect(),
            voters: (0..hosts).map(voter).collect(),
            start: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent,
            highest: vec![OwnerEpoch(0); usize::from(SHARDS)],
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_percent
    }

    /// Polls each host with its own view of the live hosts and delivers its claims to
    /// the voters that it can reach.
    fn step(&mut self, live: &[Vec<HostName>], reach: impl Fn(usize, usize) -> bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let floor = u64::try_from(elapsed.as_millis()).expect("short run");
        for (index, view) in live.iter().enumerate() {
            for action in self.holders[index].poll(view, floor, now) {
                if let LeaseAction::Claim(claim) = action {
                    self.send_claim(index, &claim, &reach, now);
                }
            }
        }
    }

    fn send_claim(
        &mut self,
        index: usize,
        claim: &LeaseClaim,
        reach: impl Fn(usize, usize) -> bool,
        now: Instant,
    ) {
        for voter in 0..self.voters.len() {
            if !reach(index, voter) || self.is_lost() {
                continue;
            }
            let vote = self.voters[voter].handle_claim(claim, now);
            if self.is_lost() {
                continue;
            }
            for action in self.holders[index].handle_vote(&vote, now) {
                if let LeaseAction::Gained(claim) = action {
                    let highest = &mut self.highest[usize::from(claim.shard.0)];
                    assert!(claim.epoch > *highest, "an epoch was reused");
                    *highest = claim.epoch;
                }
            }
        }
    }

    fn holders_of(&self, shard: u16, now: Instant) -> Vec<usize> {
        let held = |index: &usize| {
            let lease = &self.holders[*index];
            lease.held_epoch(ShardNumber(shard), now).is_some()
        };
        (0..self.holders.len()).filter(held).collect()
    }
}

fn all_hosts(hosts: usize) -> Vec<HostName> {
    (0..hosts).map(host).collect()
}

/// The number of steps after which all old votes have expired and new claims have a
/// majority.
fn steps_to_stable_leases() -> u128 {
    let times = LeaseTimes::default();
    let duration = (times.vote_ttl + times.drift_margin + times.claim_interval) * 2;
    duration.as_millis() / STEP.as_millis()
}

#[test]
fn each_shard_has_one_owner_and_a_lost_owner_is_replaced() {
    let start = Instant::now();
    let mut group = LeaseGroup::new(5, 0, 1, start);
    let mut live = vec![all_hosts(5); 5];
    let mut now = start;
    for _ in 0..steps_to_stable_leases() {
        now += STEP;
        group.step(&live, |_, _| true, now);
    }
    let owners = group.holders_of(0, now);
    let [owner] = owners[..] else {
        panic!("one owner expected, found {owners:?}");
    };
    for view in &mut live {
        view.retain(|name| *name != host(owner));
    }
    for _ in 0..steps_to_stable_leases() {
        now += STEP;
        group.step(&live, |from, to| from != owner && to != owner, now);
        assert!(group.holders_of(0, now).len() <= 1);
    }
    let successors = group.holders_of(0, now);
    assert_eq!(successors.len(), 1);
    assert_ne!(successors[0], owner);
}

#[test]
fn random_views_loss_and_restarts_never_produce_two_owners() {
    for seed in 0..60 {
        let start = Instant::now();
        let mut group = LeaseGroup::new(5, 20, seed, start);
        let mut now = start;
        let mut live = vec![all_hosts(5); 5];
        let mut partition = [0_usize; 5];
        for step in 0..600 {
            now += STEP;
            if step % 60 == 0 {
                for index in 0..5 {
                    partition[index] = group.rng.random_range(0..2);
                    let view = all_hosts(5).into_iter();
                    live[index] = view.filter(|_| group.rng.random_bool(0.7)).collect();
                }
            }
            if step % 100 == 50 {
                let restarted = group.rng.random_range(0..5);
                let times = LeaseTimes::default();
                group.voters[restarted] = LeaseVoter::new(host(restarted), times, now);
            }
            group.step(&live, |from, to| partition[from] == partition[to], now);
            for shard in 0..SHARDS {
                assert!(group.holders_of(shard, now).len() <= 1, "seed {seed}");
            }
        }
    }
}

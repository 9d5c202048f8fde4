//! Two hosts never keep one shard at the same time.

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

struct Claims {
    holders: Vec<OwnerLease>,
    voters: Vec<LeaseVoter>,
    start: Instant,
    rng: ChaCha8Rng,
    loss_percent: u32,
    highest: Vec<OwnerEpoch>,
}

impl Claims {
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

    fn lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_percent
    }

    /// Lets each host that is not cut off claim, with its own view of the fleet.
    fn step(&mut self, live: &[Vec<HostName>], reach: impl Fn(usize, usize) -> bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start);
        let floor = u64::try_from(elapsed.as_millis()).expect("short run");
        for (index, view) in live.iter().enumerate() {
            for action in self.holders[index].poll(view, floor, now) {
                if let LeaseAction::Claim(claim) = action {
                    self.spread(index, &claim, &reach, now);
                }
            }
        }
    }

    fn spread(
        &mut self,
        index: usize,
        claim: &LeaseClaim,
        reach: impl Fn(usize, usize) -> bool,
        now: Instant,
    ) {
        for voter in 0..self.voters.len() {
            if !reach(index, voter) || self.lost() {
                continue;
            }
            let vote = self.voters[voter].handle_claim(claim, now);
            if self.lost() {
                continue;
            }
            for action in self.holders[index].handle_vote(&vote, now) {
                if let LeaseAction::Gained(claim) = action {
                    let highest = &mut self.highest[usize::from(claim.shard.0)];
                    assert!(claim.epoch > *highest, "an epoch came back");
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

/// Steps in which every old promise ends and new claims find their majority.
fn settle_steps() -> u128 {
    let times = LeaseTimes::default();
    let settled = (times.vote_ttl + times.drift_margin + times.claim_interval) * 2;
    settled.as_millis() / STEP.as_millis()
}

#[test]
fn each_shard_gets_one_keeper_and_a_lost_one_is_replaced() {
    let start = Instant::now();
    let mut claims = Claims::new(5, 0, 1, start);
    let mut live = vec![all_hosts(5); 5];
    let mut now = start;
    for _ in 0..settle_steps() {
        now += STEP;
        claims.step(&live, |_, _| true, now);
    }
    let owners = claims.holders_of(0, now);
    let [owner] = owners[..] else {
        panic!("one owner expected, found {owners:?}");
    };
    for view in &mut live {
        view.retain(|name| *name != host(owner));
    }
    for _ in 0..settle_steps() {
        now += STEP;
        claims.step(&live, |from, to| from != owner && to != owner, now);
        assert!(claims.holders_of(0, now).len() <= 1);
    }
    let successors = claims.holders_of(0, now);
    assert_eq!(successors.len(), 1);
    assert_ne!(successors[0], owner);
}

#[test]
fn random_views_loss_and_restarts_never_give_two_keepers() {
    for seed in 0..60 {
        let start = Instant::now();
        let mut claims = Claims::new(5, 20, seed, start);
        let mut now = start;
        let mut live = vec![all_hosts(5); 5];
        let mut side = [0_usize; 5];
        for step in 0..600 {
            now += STEP;
            if step % 60 == 0 {
                for index in 0..5 {
                    side[index] = claims.rng.random_range(0..2);
                    let view = all_hosts(5).into_iter();
                    live[index] = view.filter(|_| claims.rng.random_bool(0.7)).collect();
                }
            }
            if step % 100 == 50 {
                let restarted = claims.rng.random_range(0..5);
                let times = LeaseTimes::default();
                claims.voters[restarted] = LeaseVoter::new(host(restarted), times, now);
            }
            claims.step(&live, |from, to| side[from] == side[to], now);
            for shard in 0..SHARDS {
                assert!(claims.holders_of(shard, now).len() <= 1, "seed {seed}");
            }
        }
    }
}

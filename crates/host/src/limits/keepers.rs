//! The shards that this host votes on and the buckets that it keeps.

use super::message::{LimitMessage, LimitReceiver, OutgoingMessage};
use crate::replica::ReplicaHandle;
use chicoryladder_policy::limits::{
    KeeperAction, KeeperLease, KeeperTimes, LeaseAction, LeaseClaim, LeaseTimes, LeaseVote,
    LeaseVoter, RateLimit, ShardClaim, ShardNumber, StockRequest, TokenKeeper, TokenPool,
};
use chicoryladder_settings::TeamTerms;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Shards that teams fall into.
pub(super) const SHARDS: u16 = 64;

/// The time between two notices of what this host keeps.
const NOTICE_INTERVAL: Duration = Duration::from_millis(250);

/// The time after its last notice for which a host may be given shards.
const NOTICE_LIVE_FOR: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct KnownKeeper {
    host: HostName,
    claim: ShardClaim,
    heard_at: Instant,
}

/// Votes, leases and buckets of one host.
pub(super) struct KeeperSet {
    host: HostName,
    replica: ReplicaHandle,
    voter: Option<LeaseVoter>,
    lease: KeeperLease,
    gained_at: HashMap<ShardNumber, Instant>,
    keepers: HashMap<TeamName, TokenKeeper>,
    known: HashMap<ShardNumber, KnownKeeper>,
    heard: BTreeMap<HostName, Instant>,
    noticed_at: Option<Instant>,
}

impl KeeperSet {
    pub(super) fn new(
        host: HostName,
        replica: ReplicaHandle,
        voters: usize,
        is_voter: bool,
        now: Instant,
    ) -> Self {
        let times = LeaseTimes::default();
        let voter = is_voter.then(|| LeaseVoter::new(host.clone(), times, now));
        Self {
            lease: KeeperLease::new(host.clone(), voters, SHARDS, times),
            host,
            replica,
            voter,
            gained_at: HashMap::new(),
            keepers: HashMap::new(),
            known: HashMap::new(),
            heard: BTreeMap::new(),
            noticed_at: None,
        }
    }

    /// The host that keeps the team's bucket, as far as this host knows.
    pub(super) fn keeper_of(&self, team: &TeamName) -> Option<&HostName> {
        let shard = ShardNumber::of_team(team, SHARDS);
        self.known.get(&shard).map(|known| &known.host)
    }

    /// Renews leases, serves waiting hosts and tells what is kept.
    pub(super) fn poll(&mut self, epoch_floor: u64, now: Instant) -> Vec<OutgoingMessage> {
        let live = self.live(now);
        let actions = self.lease.poll(&live, epoch_floor, now);
        let mut out = self.apply(actions, now);
        self.poll_buckets(now, &mut out);
        out.extend(self.notice(now));
        out
    }

    /// Whether a waiting host may be served soon.
    pub(super) fn is_busy(&self) -> bool {
        let mut keepers = self.keepers.values();
        keepers.any(|keeper| keeper.next_wakeup().is_some())
    }

    pub(super) fn handle_claim(
        &mut self,
        claim: &LeaseClaim,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let Some(voter) = &mut self.voter else {
            return Vec::new();
        };
        let vote = LimitMessage::Vote(voter.handle_claim(claim, now));
        vec![OutgoingMessage::to_host(&claim.claimant, vote)]
    }

    pub(super) fn handle_vote(&mut self, vote: &LeaseVote, now: Instant) -> Vec<OutgoingMessage> {
        let actions = self.lease.handle_vote(vote, now);
        let changed = !actions.is_empty();
        let mut out = self.apply(actions, now);
        if changed {
            self.noticed_at = None;
            out.extend(self.notice(now));
        }
        out
    }

    pub(super) fn handle_keeping(&mut self, sender: &HostName, kept: &[ShardClaim], now: Instant) {
        self.heard.insert(sender.clone(), now);
        for claim in kept {
            let known = self.known.get(&claim.shard);
            let replaced = known.is_none_or(|known| {
                let age = now.saturating_duration_since(known.heard_at);
                known.claim.epoch <= claim.epoch || age >= NOTICE_LIVE_FOR
            });
            if replaced {
                let keeper = KnownKeeper {
                    host: sender.clone(),
                    claim: *claim,
                    heard_at: now,
                };
                self.known.insert(claim.shard, keeper);
            }
        }
    }

    /// Answers a host, if this host keeps the bucket.
    pub(super) fn handle_request(
        &mut self,
        request: &StockRequest,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let shard = ShardNumber::of_team(&request.team, SHARDS);
        let Some(epoch) = self.lease.held_epoch(shard, now) else {
            return Vec::new();
        };
        let (Some(limit), Some(since)) = (self.limit_of(&request.team), self.gained_at.get(&shard))
        else {
            return Vec::new();
        };
        let keeper = self.keepers.entry(request.team.clone()).or_insert_with(|| {
            let team = request.team.clone();
            let times = KeeperTimes::default();
            TokenKeeper::new(team, TokenPool::Fleet, epoch, limit, times, *since)
        });
        if keeper.limit() != limit {
            keeper.set_limit(limit, now);
        }
        outgoing(keeper.handle_request(request, now)).collect()
    }

    fn limit_of(&self, team: &TeamName) -> Option<RateLimit> {
        let view = self.replica.view();
        view.document.teams.get(team).and_then(rate_limit)
    }

    fn poll_buckets(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        let lease = &self.lease;
        for (team, keeper) in &mut self.keepers {
            let shard = ShardNumber::of_team(team, SHARDS);
            let waited_for = keeper.next_wakeup().is_some();
            if waited_for && lease.held_epoch(shard, now).is_some() {
                out.extend(outgoing(keeper.poll(now)));
            }
        }
    }

    fn apply(&mut self, actions: Vec<LeaseAction>, now: Instant) -> Vec<OutgoingMessage> {
        let mut out = Vec::new();
        let mut lost = Vec::new();
        for action in actions {
            match action {
                LeaseAction::Claim(claim) => out.push(OutgoingMessage {
                    receiver: LimitReceiver::Voters,
                    message: LimitMessage::Claim(claim),
                }),
                LeaseAction::Gained(claim) => {
                    self.gained_at.insert(claim.shard, now);
                }
                LeaseAction::Lost(claim) => lost.push(claim.shard),
            }
        }
        if !lost.is_empty() {
            self.drop_buckets(&lost);
        }
        out
    }

    fn drop_buckets(&mut self, lost: &[ShardNumber]) {
        log::warn!("limits: lost the lease of {} shards.", lost.len());
        self.gained_at.retain(|shard, _| !lost.contains(shard));
        self.keepers
            .retain(|team, _| !lost.contains(&ShardNumber::of_team(team, SHARDS)));
    }

    fn notice(&mut self, now: Instant) -> Option<OutgoingMessage> {
        let due = self
            .noticed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= NOTICE_INTERVAL);
        if !due {
            return None;
        }
        self.noticed_at = Some(now);
        Some(OutgoingMessage {
            receiver: LimitReceiver::Everyone,
            message: LimitMessage::Keeping(self.lease.kept(now)),
        })
    }

    fn live(&self, now: Instant) -> Vec<HostName> {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < NOTICE_LIVE_FOR;
        let heard = self.heard.iter().filter(|(_, at)| is_live(at));
        let mut live: Vec<HostName> = heard.map(|(host, _)| host.clone()).collect();
        if !live.contains(&self.host) {
            live.push(self.host.clone());
        }
        live
    }
}

/// The limit of a team's terms; `None` if they admit nothing.
pub(super) fn rate_limit(terms: &TeamTerms) -> Option<RateLimit> {
    RateLimit::new(terms.rate.milli(), u64::from(terms.burst)).ok()
}

fn outgoing(actions: Vec<KeeperAction>) -> impl Iterator<Item = OutgoingMessage> {
    actions.into_iter().map(|action| match action {
        KeeperAction::Grant(grant) => {
            let host = grant.holder.host().clone();
            OutgoingMessage::to_host(&host, LimitMessage::Grant(grant))
        }
        KeeperAction::Recall(recall) => {
            let host = recall.holder.host().clone();
            OutgoingMessage::to_host(&host, LimitMessage::Recall(recall))
        }
        KeeperAction::Ask(request) => {
            let host = request.holder.host().clone();
            OutgoingMessage::to_host(&host, LimitMessage::Request(request))
        }
    })
}

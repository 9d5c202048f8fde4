//! The shards that this host votes on and the buckets that it keeps.

use super::message::{LimitMessage, LimitReceiver, OutgoingMessage, outgoing};
use super::reserves::{ReserveSet, TermsReader, keeper_times};
use super::trials::{TrialKeepers, TrialMessage};
use chicoryladder_policy::limits::{
    BucketOwner, FleetBucketOwner, LeaseAction, LeaseClaim, LeaseTimes, LeaseVote, LeaseVoter,
    OwnerLease, QuotaGrant, QuotaRequest, QuotaSession, ShardClaim, ShardNumber, TokenPool,
};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Shards that teams fall into.
pub(super) const SHARDS: u16 = 64;

/// Sessions that one keeper may begin in a millisecond, as a power of two.
pub(super) const SESSION_BITS: u32 = 20;

/// The time between two notices of what this host keeps.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);

/// The time after its last notice for which a host may be given shards.
const NOTICE_LIVE_FOR: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
struct KnownKeeper {
    host: HostName,
    claim: ShardClaim,
    heard_at: Instant,
}

/// Votes, leases and buckets of one host.
pub(super) struct KeeperSet {
    host: HostName,
    terms: TermsReader,
    voter: Option<LeaseVoter>,
    reserve: Option<ReserveSet>,
    voters: Vec<HostName>,
    lease: OwnerLease,
    gained_at: HashMap<ShardNumber, Instant>,
    keepers: HashMap<TeamName, FleetBucketOwner>,
    trials: TrialKeepers,
    known: HashMap<ShardNumber, KnownKeeper>,
    heard: BTreeMap<HostName, Instant>,
    noticed_at: Option<Instant>,
}

impl KeeperSet {
    /// `session` is above each session of an earlier process of the host.
    pub(super) fn new(
        host: HostName,
        terms: TermsReader,
        is_voter: bool,
        session: QuotaSession,
        now: Instant,
    ) -> Self {
        let times = LeaseTimes::default();
        let voter = is_voter.then(|| LeaseVoter::new(host.clone(), times, now));
        let reserve = is_voter.then(|| ReserveSet::new(host.clone(), terms.clone(), session, now));
        Self {
            lease: OwnerLease::new(host.clone(), terms.voter_count(), SHARDS, times),
            host,
            terms,
            voter,
            reserve,
            voters: Vec::new(),
            gained_at: HashMap::new(),
            keepers: HashMap::new(),
            trials: TrialKeepers::default(),
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
        let reserve = self.reserve.as_ref();
        let mut keepers = self.keepers.values();
        reserve.is_some_and(ReserveSet::is_busy)
            || keepers.any(|keeper| keeper.next_wakeup().is_some())
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
        if !self.voters.contains(&vote.voter) {
            self.voters.push(vote.voter.clone());
        }
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
        request: &QuotaRequest,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        match &request.pool {
            TokenPool::Fleet => self.handle_fleet_request(request, now),
            TokenPool::Reserve(host) if *host == self.host => {
                let reserve = self.reserve.as_mut();
                reserve.map_or_else(Vec::new, |reserve| reserve.handle_request(request, now))
            }
            TokenPool::Reserve(_) => Vec::new(),
        }
    }

    /// The host that permits trials of the request, as far as this host knows.
    pub(super) fn trial_keeper_of(&self, fingerprint: RequestFingerprint) -> Option<&HostName> {
        let shard = fingerprint.shard(SHARDS);
        self.known.get(&shard).map(|known| &known.host)
    }

    /// Decides on a trial, if this host keeps the shard.
    pub(super) fn handle_trial(
        &mut self,
        holder: &HostName,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<OutgoingMessage> {
        self.lease.held_epoch(fingerprint.shard(SHARDS), now)?;
        let keeper = self.trials.get(fingerprint)?;
        let decision = keeper.request(fingerprint, holder, now);
        let answer = TrialMessage::Answer(fingerprint, decision);
        Some(OutgoingMessage::to_host(
            holder,
            LimitMessage::Trial(answer),
        ))
    }

    pub(super) fn release_trial(&mut self, holder: &HostName, fingerprint: RequestFingerprint) {
        if let Some(keeper) = self.trials.get(fingerprint) {
            keeper.release(fingerprint, holder);
        }
    }

    /// Takes borrowed tokens into a bucket that this host keeps.
    pub(super) fn handle_borrowed(
        &mut self,
        grant: &QuotaGrant,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let shard = ShardNumber::of_team(&grant.team, SHARDS);
        if self.lease.held_epoch(shard, now).is_none() {
            return Vec::new();
        }
        let keeper = self.keepers.get_mut(&grant.team);
        let actions = keeper.map(|keeper| keeper.handle_grant(grant, now));
        outgoing(actions.unwrap_or_default()).collect()
    }

    fn handle_fleet_request(
        &mut self,
        request: &QuotaRequest,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let shard = ShardNumber::of_team(&request.team, SHARDS);
        let Some(epoch) = self.lease.held_epoch(shard, now) else {
            return Vec::new();
        };
        let (Some(split), Some(since)) =
            (self.terms.split(&request.team), self.gained_at.get(&shard))
        else {
            return Vec::new();
        };
        let keeper = self.keepers.entry(request.team.clone()).or_insert_with(|| {
            let team = &request.team;
            let pool = TokenPool::Fleet;
            let times = keeper_times();
            let keeper = BucketOwner::new(team.clone(), pool, epoch, split.fleet, times, *since);
            FleetBucketOwner::new(
                keeper,
                team,
                &self.host,
                &self.voters,
                split.reserve,
                // Above each session that this host began as a keeper before.
                QuotaSession(epoch.0 << SESSION_BITS),
            )
        });
        for voter in &self.voters {
            keeper.add_reserve(voter);
        }
        if keeper.owner().limit() != split.fleet {
            keeper.set_limit(split.fleet, split.reserve, now);
        }
        outgoing(keeper.handle_request(request, now)).collect()
    }

    fn poll_buckets(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        if let Some(reserve) = &mut self.reserve {
            reserve.poll(now, out);
        }
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
                    self.trials.gain(claim.shard, now);
                }
                LeaseAction::Lost(claim) => {
                    self.trials.lose(claim.shard);
                    lost.push(claim.shard);
                }
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
            message: LimitMessage::Keeping(self.lease.held_shards(now)),
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

//! Shard leases of this host: its votes on leases, the shards that it owns, and
//! the token buckets and trial permits of those shards.

use super::message::{LimitMessage, LimitReceiver, OutgoingMessage, outgoing};
use super::reserves::{LimitReader, ReserveSet, quota_times};
use super::trials::{TrialCoordinators, TrialMessage};
use chicoryladder_policy::limits::{
    BucketOwner, FleetBucketOwner, LeaseAction, LeaseClaim, LeaseTimes, LeaseVote, LeaseVoter,
    OwnerLease, QuotaGrant, QuotaRequest, QuotaSession, ShardClaim, ShardNumber, TokenPool,
};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The number of shards that teams and request fingerprints map to.
pub(super) const SHARDS: u16 = 64;

/// Low bits of a session number, which count the sessions of one millisecond.
pub(super) const SESSION_BITS: u32 = 20;

/// The interval at which this host announces the shards that it owns.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The time after its last announcement for which a host counts as live when
/// shards are assigned.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug)]
struct KnownOwner {
    host: HostName,
    claim: ShardClaim,
    heard_at: Instant,
}

/// Lease votes, shard leases and bucket owners of one host.
pub(super) struct OwnerSet {
    host: HostName,
    reader: LimitReader,
    voter: Option<LeaseVoter>,
    reserve: Option<ReserveSet>,
    voters: Vec<HostName>,
    lease: OwnerLease,
    gained_at: HashMap<ShardNumber, Instant>,
    owners: HashMap<TeamName, FleetBucketOwner>,
    trials: TrialCoordinators,
    known_owners: HashMap<ShardNumber, KnownOwner>,
    last_heard: BTreeMap<HostName, Instant>,
    last_announced_at: Option<Instant>,
}

impl OwnerSet {
    /// `session` must be above every session of an earlier process on this host.
    pub(super) fn new(
        host: HostName,
        reader: LimitReader,
        is_voter: bool,
        session: QuotaSession,
        now: Instant,
    ) -> Self {
        let times = LeaseTimes::default();
        let voter = is_voter.then(|| LeaseVoter::new(host.clone(), times, now));
        let reserve = is_voter.then(|| ReserveSet::new(host.clone(), reader.clone(), session, now));
        Self {
            lease: OwnerLease::new(host.clone(), reader.voter_count(), SHARDS, times),
            host,
            reader,
            voter,
            reserve,
            voters: Vec::new(),
            gained_at: HashMap::new(),
            owners: HashMap::new(),
            trials: TrialCoordinators::default(),
            known_owners: HashMap::new(),
            last_heard: BTreeMap::new(),
            last_announced_at: None,
        }
    }

    /// Returns the owner of the team's bucket, as last announced to this host.
    pub(super) fn owner_of(&self, team: &TeamName) -> Option<&HostName> {
        let shard = ShardNumber::of_team(team, SHARDS);
        self.known_owners.get(&shard).map(|known| &known.host)
    }

    /// Renews leases, serves hosts with pending demand and announces the owned
    /// shards.
    pub(super) fn poll(&mut self, epoch_floor: u64, now: Instant) -> Vec<OutgoingMessage> {
        let live = self.live_hosts(now);
        let actions = self.lease.poll(&live, epoch_floor, now);
        let mut out = self.apply(actions, now);
        self.poll_buckets(now, &mut out);
        out.extend(self.announce(now));
        out
    }

    /// Returns whether a host with pending demand may be served soon.
    pub(super) fn is_busy(&self) -> bool {
        let reserve = self.reserve.as_ref();
        let mut owners = self.owners.values();
        reserve.is_some_and(ReserveSet::is_busy)
            || owners.any(|owner| owner.next_wakeup().is_some())
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
            self.last_announced_at = None;
            out.extend(self.announce(now));
        }
        out
    }

    pub(super) fn handle_owned_shards(
        &mut self,
        sender: &HostName,
        shards: &[ShardClaim],
        now: Instant,
    ) {
        self.last_heard.insert(sender.clone(), now);
        for claim in shards {
            let known = self.known_owners.get(&claim.shard);
            let replaced = known.is_none_or(|known| {
                let age = now.saturating_duration_since(known.heard_at);
                known.claim.epoch <= claim.epoch || age >= ANNOUNCEMENT_TTL
            });
            if replaced {
                let owner = KnownOwner {
                    host: sender.clone(),
                    claim: *claim,
                    heard_at: now,
                };
                self.known_owners.insert(claim.shard, owner);
            }
        }
    }

    /// Handles a quota request if this host owns the bucket.
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

    /// Returns the host that permits trials of the request, as last announced to
    /// this host.
    pub(super) fn trial_coordinator_of(
        &self,
        fingerprint: RequestFingerprint,
    ) -> Option<&HostName> {
        let shard = fingerprint.shard(SHARDS);
        self.known_owners.get(&shard).map(|known| &known.host)
    }

    /// Decides on a trial request if this host owns the shard.
    pub(super) fn handle_trial(
        &mut self,
        holder: &HostName,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<OutgoingMessage> {
        self.lease.held_epoch(fingerprint.shard(SHARDS), now)?;
        let coordinator = self.trials.get(fingerprint)?;
        let decision = coordinator.request(fingerprint, holder, now);
        let answer = TrialMessage::Answer(fingerprint, decision);
        Some(OutgoingMessage::to_host(
            holder,
            LimitMessage::Trial(answer),
        ))
    }

    pub(super) fn release_trial(&mut self, holder: &HostName, fingerprint: RequestFingerprint) {
        if let Some(coordinator) = self.trials.get(fingerprint) {
            coordinator.release(fingerprint, holder);
        }
    }

    /// Adds borrowed tokens to a bucket that this host owns.
    pub(super) fn handle_borrowed(
        &mut self,
        grant: &QuotaGrant,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let shard = ShardNumber::of_team(&grant.team, SHARDS);
        if self.lease.held_epoch(shard, now).is_none() {
            return Vec::new();
        }
        let owner = self.owners.get_mut(&grant.team);
        let actions = owner.map(|owner| owner.handle_grant(grant, now));
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
            (self.reader.split(&request.team), self.gained_at.get(&shard))
        else {
            return Vec::new();
        };
        let owner = self.owners.entry(request.team.clone()).or_insert_with(|| {
            let team = &request.team;
            let pool = TokenPool::Fleet;
            let times = quota_times();
            let owner = BucketOwner::new(team.clone(), pool, epoch, split.fleet, times, *since);
            FleetBucketOwner::new(
                owner,
                team,
                &self.host,
                &self.voters,
                split.reserve,
                // Above every session of an earlier ownership by this host.
                QuotaSession(epoch.0 << SESSION_BITS),
            )
        });
        for voter in &self.voters {
            owner.add_reserve(voter);
        }
        if owner.owner().limit() != split.fleet {
            owner.set_limit(split.fleet, split.reserve, now);
        }
        outgoing(owner.handle_request(request, now)).collect()
    }

    fn poll_buckets(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        if let Some(reserve) = &mut self.reserve {
            reserve.poll(now, out);
        }
        let lease = &self.lease;
        for (team, owner) in &mut self.owners {
            let shard = ShardNumber::of_team(team, SHARDS);
            let has_demand = owner.next_wakeup().is_some();
            if has_demand && lease.held_epoch(shard, now).is_some() {
                out.extend(outgoing(owner.poll(now)));
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
                    self.trials.add_shard(claim.shard, now);
                }
                LeaseAction::Lost(claim) => {
                    self.trials.remove_shard(claim.shard);
                    lost.push(claim.shard);
                }
            }
        }
        if !lost.is_empty() {
            self.remove_buckets(&lost);
        }
        out
    }

    fn remove_buckets(&mut self, lost: &[ShardNumber]) {
        log::warn!(
            "limits: lost the leases of {} shards; their token buckets are dropped.",
            lost.len()
        );
        self.gained_at.retain(|shard, _| !lost.contains(shard));
        self.owners
            .retain(|team, _| !lost.contains(&ShardNumber::of_team(team, SHARDS)));
    }

    fn announce(&mut self, now: Instant) -> Option<OutgoingMessage> {
        let due = self
            .last_announced_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ANNOUNCE_INTERVAL);
        if !due {
            return None;
        }
        self.last_announced_at = Some(now);
        Some(OutgoingMessage {
            receiver: LimitReceiver::AllHosts,
            message: LimitMessage::OwnedShards(self.lease.held_shards(now)),
        })
    }

    fn live_hosts(&self, now: Instant) -> Vec<HostName> {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < ANNOUNCEMENT_TTL;
        let heard = self.last_heard.iter().filter(|(_, at)| is_live(at));
        let mut live: Vec<HostName> = heard.map(|(host, _)| host.clone()).collect();
        if !live.contains(&self.host) {
            live.push(self.host.clone());
        }
        live
    }
}

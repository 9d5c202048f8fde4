//! Planned stops of voters, with hosts on standby: a model of the leader's membership repair
//! without processes. Hosts stop in a row or at the same time, and leaders are among them.

use chicoryladder_consensus::{MemberRole, MembershipChange};
use chicoryladder_group::{GroupStatus, JoinAnswer, JoinRequest, MemberStatus, MembershipRepair};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);

/// The interval at which hosts repeat their requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The time after which a stopping host ends in any case.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

#[derive(Default)]
struct ModelHost {
    stops_at: Option<Instant>,
    has_ended: bool,
    next_request_at: Option<Instant>,
}

struct ModelSeat {
    host: u8,
    role: MemberRole,
    /// When it first replied to a leader.
    joined_at: Option<Instant>,
}

/// How hosts behave when they are stopped.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopMode {
    HandOver,
    EndAtOnce,
}

struct ModelGroup {
    random: ChaCha8Rng,
    mode: StopMode,
    now: Instant,
    voters: usize,
    hosts: BTreeMap<u8, ModelHost>,
    seats: BTreeMap<SeatId, ModelSeat>,
    highest: u64,
    committed_at: Instant,
    leader: Option<SeatId>,
    led_from: Instant,
    repair: MembershipRepair,
}

impl ModelGroup {
    fn new(seed: u64, mode: StopMode, voters: u8, standbys: u8) -> Self {
        let now = Instant::now();
        let seat = |host| ModelSeat {
            host,
            role: MemberRole::Voter,
            joined_at: Some(now),
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            mode,
            now,
            voters: usize::from(voters),
            hosts: (1..=voters + standbys)
                .map(|host| (host, ModelHost::default()))
                .collect(),
            seats: (1..=voters)
                .map(|host| (SeatId(u64::from(host)), seat(host)))
                .collect(),
            highest: u64::from(voters),
            committed_at: now,
            leader: None,
            led_from: now,
            repair: MembershipRepair::default(),
        }
    }

    fn delay(&mut self, max_ms: u64) -> Duration {
        Duration::from_millis(self.random.random_range(10..=max_ms))
    }

    fn host(&mut self, host: u8) -> &mut ModelHost {
        self.hosts.get_mut(&host).expect("a host")
    }

    fn runs(&self, host: u8) -> bool {
        !self.hosts[&host].has_ended
    }

    fn status(&self, leader: SeatId) -> GroupStatus {
        let caught_up = |seat: &ModelSeat| {
            let copied = Duration::from_millis(300);
            seat.joined_at.is_some_and(|at| self.now >= at + copied)
        };
        let member = |(id, seat): (&SeatId, &ModelSeat)| MemberStatus {
            seat: *id,
            address: address(seat.host),
            role: seat.role,
            // A host that ended has no contact with a later leader.
            last_contact_at: seat
                .joined_at
                .filter(|_| self.runs(seat.host))
                .map(|_| self.now),
            caught_up: caught_up(seat),
        };
        GroupStatus {
            seat: leader,
            leads: true,
            members: self.seats.iter().map(member).collect(),
            membership_committed: self.now >= self.committed_at,
            next_seat: SeatId(self.highest + 1),
            ..GroupStatus::default()
        }
    }

    fn running_voters(&self) -> Vec<SeatId> {
        let is_voter = |seat: &ModelSeat| seat.role == MemberRole::Voter && self.runs(seat.host);
        let voters = self.seats.iter().filter(|(_, seat)| is_voter(seat));
        voters.map(|(id, _)| *id).collect()
    }

    fn has_quorum(&self) -> bool {
        let voters = self.seats.values().filter(|s| s.role == MemberRole::Voter);
        self.running_voters().len() * 2 > voters.count()
    }

    /// The stopping leader transfers the leadership; a missing one is replaced after a while.
    fn elect(&mut self) {
        let is_fit = |group: &Self, id: SeatId| {
            let host = group.seats.get(&id).map(|seat| seat.host);
            host.is_some_and(|host| group.runs(host) && group.hosts[&host].stops_at.is_none())
        };
        if self.leader.is_some_and(|leader| is_fit(self, leader)) || self.now < self.led_from {
            return;
        }
        if self.leader.take().is_some() {
            let delay = self.delay(600);
            self.led_from = self.now + delay;
            return;
        }
        let fit: Vec<SeatId> = self.running_voters();
        let fit: Vec<SeatId> = fit.into_iter().filter(|id| is_fit(self, *id)).collect();
        if let (true, Some(next)) = (self.has_quorum(), fit.choose(&mut self.random)) {
            self.leader = Some(*next);
            self.repair = MembershipRepair::default();
            self.repair.restart(self.now);
        }
    }

    fn change(&mut self, change: &MembershipChange) {
        match change {
            MembershipChange::AddLearner { seat, address } => {
                let host = *self
                    .hosts
                    .keys()
                    .find(|host| self::address(**host) == *address)
                    .expect("a host");
                let role = MemberRole::Learner;
                let joined_at = None;
                let added = ModelSeat {
                    host,
                    role,
                    joined_at,
                };
                self.seats.insert(*seat, added);
                self.highest = seat.0;
            }
            MembershipChange::Promote(seat) => {
                self.seats.get_mut(seat).expect("a seat").role = MemberRole::Voter;
            }
            MembershipChange::Remove(seat) => {
                self.seats.remove(seat);
            }
        }
        let delay = self.delay(200);
        self.committed_at = self.now + delay;
    }

    fn request(&mut self, host: u8) {
        let held = self.seats.iter().find(|(_, seat)| seat.host == host);
        let (seat, has_joined) = match held {
            Some((id, seat)) => (Some(*id), seat.joined_at.is_some()),
            None => (None, false),
        };
        let record = &self.hosts[&host];
        let stopping = record.stops_at.filter(|at| *at <= self.now);
        let mut request = JoinRequest {
            address: address(host),
            zone: ZoneName::try_from(format!("z{host}")).expect("a name"),
            seat: None,
        };
        if let Some(stopped_at) = stopping {
            let is_late = self.now >= stopped_at + STOP_TIMEOUT;
            let mut ends = is_late || self.mode == StopMode::EndAtOnce || !has_joined;
            if let (false, Some(leader)) = (ends, self.leader) {
                request.seat = seat;
                let status = self.status(leader);
                let answer = self
                    .repair
                    .handle_leave(&status, &request, self.voters, self.now);
                ends = matches!(answer, JoinAnswer::Removed | JoinAnswer::Member);
            }
            self.host(host).has_ended = ends;
        } else if let (false, Some(leader)) = (has_joined, self.leader) {
            let status = self.status(leader);
            let answer = self.repair.handle_join(&status, &request, self.now);
            if let JoinAnswer::Granted(granted) = answer {
                self.seats.get_mut(&granted).expect("a seat").joined_at = Some(self.now);
            }
        }
    }

    /// Plays one step; returns whether a quorum of the voters runs.
    fn step(&mut self) -> bool {
        self.now += STEP;
        self.elect();
        let is_due = |host: &ModelHost| host.next_request_at.is_none_or(|at| at <= self.now);
        let due = self
            .hosts
            .iter()
            .filter(|(_, host)| !host.has_ended && is_due(host));
        let due: Vec<u8> = due.map(|(number, _)| *number).collect();
        for host in due {
            self.request(host);
            let next = self.now + REQUEST_INTERVAL;
            self.host(host).next_request_at = Some(next);
        }
        if let (Some(leader), true) = (self.leader, self.now >= self.committed_at) {
            let status = self.status(leader);
            let retiring = HashSet::new();
            let change = self
                .repair
                .next_change(&status, &retiring, self.voters, self.now);
            if let (Some(change), true) = (change, self.has_quorum()) {
                self.change(&change);
            }
        }
        self.has_quorum()
    }
}

/// Stops as many hosts as there are on standby, up to two seconds apart; returns whether a
/// quorum ran at all times, and the group at the end.
fn play(seed: u64, mode: StopMode) -> (bool, ModelGroup) {
    let voters = [3, 5][usize::from(seed.is_multiple_of(3))];
    let standbys = 2 + u8::from(seed.is_multiple_of(2));
    let mut group = ModelGroup::new(seed, mode, voters, standbys);
    let mut has_quorum = true;
    for _ in 0..60 {
        has_quorum &= group.step();
    }
    let gap_max_ms = [20, 500, 2_000][group.random.random_range(0..3usize)];
    let mut stops_at = group.now;
    for host in 1..=standbys.min(voters - 1) {
        group.host(host).stops_at = Some(stops_at);
        stops_at += group.delay(gap_max_ms);
    }
    for _ in 0..300 {
        has_quorum &= group.step();
    }
    (has_quorum, group)
}

const SEEDS: u64 = 200;

/// A voter that stopped as planned left its seat empty until the leader took it for failed,
/// so that the next planned stop cost the group its quorum.
#[test]
fn quorum_runs_while_voters_are_stopped_in_a_row_or_at_once() {
    for seed in 0..SEEDS {
        let (has_quorum, group) = play(seed, StopMode::HandOver);
        assert!(has_quorum, "seed {seed}: no quorum of the voters runs");
        let members = group.seats.len();
        assert_eq!(members, group.voters, "seed {seed}: members at the end");
        let running = group.running_voters().len();
        assert_eq!(
            running, group.voters,
            "seed {seed}: running voters at the end"
        );
    }
}

/// The model shows the fault: without a handover the same stops end in the loss of the quorum.
#[test]
fn quorum_is_lost_when_stopped_voters_keep_their_seats() {
    let lost = (0..SEEDS).filter(|seed| !play(*seed, StopMode::EndAtOnce).0);
    assert!(lost.count() > 0);
}

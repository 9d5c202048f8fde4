//! Membership repair: the leader of a group replaces failed and retiring voters and
//! gives seats to standby hosts.

use crate::repair::{MemberView, RepairLimits, RepairView, StandbyHost, plan_repair};
use crate::seat_request::{JoinAnswer, JoinRequest};
use crate::status::GroupStatus;
use chicoryladder_consensus::{MemberRole, MembershipChange};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The silence after which a voter is replaced if a standby host can take its place.
/// A shorter time would replace hosts that merely restart, and each replacement has
/// to copy the log.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// The silence up to which a member counts as responsive: a few heartbeats.
const RESPONSIVE_WITHIN: Duration = Duration::from_millis(600);

/// The time for which a host stays on standby after it requested a seat.
const STANDBY_TTL: Duration = Duration::from_millis(1_200);

/// The time for which a host counts as stopping after it last asked to be replaced. It
/// exceeds [`REPLACE_AFTER`], so that a replacement under way when the host ends goes on.
const STOPPING_TTL: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct StandbyRecord {
    zone: ZoneName,
    /// When the host requested a seat for the first time without a gap of [`STANDBY_TTL`].
    first_requested_at: Instant,
    requested_at: Instant,
}

impl StandbyRecord {
    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested_at) < STANDBY_TTL
    }
}

/// The state that the repair of a group's membership depends on: standby hosts, stopping
/// hosts, zones of hosts, and when each member was first seen.
#[derive(Debug, Default)]
pub struct MembershipRepair {
    standbys: HashMap<SocketAddr, StandbyRecord>,
    /// When each stopping host last asked to be replaced.
    stopping: HashMap<SocketAddr, Instant>,
    /// The hosts that get no seat, as of the last check for changes.
    retiring: HashSet<SocketAddr>,
    zones: HashMap<SocketAddr, ZoneName>,
    first_seen: HashMap<SeatId, Instant>,
    /// When this leadership began. Standby hosts repeat their requests, so that they are
    /// all known a [`STANDBY_TTL`] later.
    began_at: Option<Instant>,
}

impl MembershipRepair {
    /// Drops the standbys, stopping and retiring hosts and times of an earlier leadership.
    pub fn restart(&mut self, now: Instant) {
        self.standbys.clear();
        self.stopping.clear();
        self.retiring.clear();
        self.first_seen.clear();
        self.began_at = Some(now);
    }

    /// Records the zone of a host, which decides where voters are placed.
    pub fn record_zone(&mut self, address: SocketAddr, zone: &ZoneName) {
        // Each message of a member brings its zone.
        if self.zones.get(&address) != Some(zone) {
            self.zones.insert(address, zone.clone());
        }
    }

    /// Replies to a host that requests a seat or checks that it still has one.
    ///
    /// A standby host gets its seat once the group has added it as a learner. It gets the
    /// same seat again if it repeats the request before the seat has made contact.
    pub fn handle_join(
        &mut self,
        status: &GroupStatus,
        request: &JoinRequest,
        now: Instant,
    ) -> JoinAnswer {
        self.record_zone(request.address, &request.zone);
        // The host has started again.
        self.stopping.remove(&request.address);
        if let Some(seat) = request.seat {
            return if status.has_removed(seat) {
                JoinAnswer::Removed
            } else {
                JoinAnswer::Member
            };
        }
        let member = status.members.iter().find(|m| m.address == request.address);
        if let Some(member) = member
            && member.role == MemberRole::Learner
            && member.last_contact_at.is_none()
        {
            self.standbys.remove(&request.address);
            return JoinAnswer::Granted(member.seat);
        }
        let earlier = self.standbys.get(&request.address);
        let earlier = earlier.filter(|record| record.is_current(now));
        let record = StandbyRecord {
            zone: request.zone.clone(),
            first_requested_at: earlier.map_or(now, |record| record.first_requested_at),
            requested_at: now,
        };
        self.standbys.insert(request.address, record);
        JoinAnswer::Wait
    }

    /// Replies to a host that stops and gives up its seat, which keeps its role until another
    /// host has taken its place.
    ///
    /// [`JoinAnswer::Removed`] means that the seat is gone, [`JoinAnswer::Wait`] that the
    /// host has to ask again, and [`JoinAnswer::Member`] that no host can take its place.
    pub fn handle_leave(
        &mut self,
        status: &GroupStatus,
        request: &JoinRequest,
        voters: usize,
        now: Instant,
    ) -> JoinAnswer {
        self.record_zone(request.address, &request.zone);
        if request.seat.is_none_or(|seat| status.has_removed(seat)) {
            self.stopping.remove(&request.address);
            return JoinAnswer::Removed;
        }
        self.stopping.insert(request.address, now);
        if self.can_replace(status, request.address, voters, now) {
            JoinAnswer::Wait
        } else {
            JoinAnswer::Member
        }
    }

    /// Whether the seat of a stopping host can be given up, now or soon.
    fn can_replace(
        &self,
        status: &GroupStatus,
        address: SocketAddr,
        voters: usize,
        now: Instant,
    ) -> bool {
        let is_settled = self.began_at.is_some_and(|at| now >= at + STANDBY_TTL);
        if !is_settled || !status.membership_committed {
            return true;
        }
        let of_role = |role| status.members.iter().filter(move |m| m.role == role);
        let is_learner = of_role(MemberRole::Learner).any(|m| m.address == address);
        if is_learner || of_role(MemberRole::Voter).count() > voters {
            return true;
        }
        let stays = |host: &SocketAddr| {
            *host != address && !self.stopping.contains_key(host) && !self.retiring.contains(host)
        };
        let learners = of_role(MemberRole::Learner).map(|member| &member.address);
        let current = self
            .standbys
            .iter()
            .filter(|(_, record)| record.is_current(now));
        learners.chain(current.map(|(host, _)| host)).any(stays)
    }

    /// The number of hosts that requested a seat within the last [`STANDBY_TTL`].
    #[must_use]
    pub fn standby_count(&self, now: Instant) -> usize {
        let is_current = |record: &&StandbyRecord| record.is_current(now);
        self.standbys.values().filter(is_current).count()
    }

    /// The next change of the membership, if one is due. The `retiring` hosts lose their seats
    /// and get no others.
    pub fn next_change(
        &mut self,
        status: &GroupStatus,
        retiring: &HashSet<SocketAddr>,
        voters: usize,
        now: Instant,
    ) -> Option<MembershipChange> {
        self.standbys.retain(|_, record| record.is_current(now));
        self.stopping
            .retain(|_, asked_at| now.saturating_duration_since(*asked_at) < STOPPING_TTL);
        self.retiring.clone_from(retiring);
        let stopping = self.stopping.keys().copied();
        let leaving: HashSet<SocketAddr> = stopping.chain(retiring.iter().copied()).collect();
        let view = self.view(status, &leaving, now);
        let limits = RepairLimits {
            voters,
            replace_after: REPLACE_AFTER,
            responsive_within: RESPONSIVE_WITHIN,
        };
        let change = plan_repair(&view, &limits)?;
        Some(match change {
            MembershipChange::AddLearner { address, .. } => MembershipChange::AddLearner {
                seat: status.next_seat,
                address,
            },
            other => other,
        })
    }

    fn view(
        &mut self,
        status: &GroupStatus,
        leaving: &HashSet<SocketAddr>,
        now: Instant,
    ) -> RepairView {
        let mut members = Vec::new();
        for member in &status.members {
            let first_seen = *self.first_seen.entry(member.seat).or_insert(now);
            let silent_since = member.last_contact_at.unwrap_or(first_seen).max(first_seen);
            members.push(MemberView {
                seat: member.seat,
                address: member.address,
                role: member.role,
                silent_for: now.saturating_duration_since(silent_since),
                had_contact: member.last_contact_at.is_some(),
                caught_up: member.caught_up,
                retiring: leaving.contains(&member.address),
                zone: self.zones.get(&member.address).cloned(),
            });
        }
        let standby = |(address, record): (&SocketAddr, &StandbyRecord)| {
            let members = status.members.iter().filter(|m| m.address == *address);
            let contact = members.filter_map(|member| member.last_contact_at).max();
            let since = contact.unwrap_or(record.first_requested_at);
            let since = since.max(record.first_requested_at);
            StandbyHost {
                address: *address,
                zone: record.zone.clone(),
                retiring: leaving.contains(address),
                requesting_for: record.requested_at.saturating_duration_since(since),
            }
        };
        RepairView {
            leader: status.seat,
            members,
            standbys: self.standbys.iter().map(standby).collect(),
        }
    }
}

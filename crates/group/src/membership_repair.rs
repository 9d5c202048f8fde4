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

#[derive(Debug)]
struct StandbyRecord {
    zone: ZoneName,
    requested_at: Instant,
}

/// The state that the repair of a group's membership depends on: standby hosts, zones
/// of hosts, and when each member was first seen.
#[derive(Debug, Default)]
pub struct MembershipRepair {
    standbys: HashMap<SocketAddr, StandbyRecord>,
    zones: HashMap<SocketAddr, ZoneName>,
    first_seen: HashMap<SeatId, Instant>,
}

impl MembershipRepair {
    /// Drops the standbys and times of an earlier leadership.
    pub fn restart(&mut self) {
        self.standbys.clear();
        self.first_seen.clear();
    }

    /// Records the zone of a host, which decides where voters are placed.
    pub fn record_zone(&mut self, address: SocketAddr, zone: &ZoneName) {
        self.zones.insert(address, zone.clone());
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
        let record = StandbyRecord {
            zone: request.zone.clone(),
            requested_at: now,
        };
        self.standbys.insert(request.address, record);
        JoinAnswer::Wait
    }

    /// The next change of the membership, if one is due.
    pub fn next_change(
        &mut self,
        status: &GroupStatus,
        retiring: &HashSet<SocketAddr>,
        voters: usize,
        now: Instant,
    ) -> Option<MembershipChange> {
        self.standbys
            .retain(|_, record| now.saturating_duration_since(record.requested_at) < STANDBY_TTL);
        let view = self.view(status, retiring, now);
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
        retiring: &HashSet<SocketAddr>,
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
                retiring: retiring.contains(&member.address),
                zone: self.zones.get(&member.address).cloned(),
            });
        }
        let standby = |(address, record): (&SocketAddr, &StandbyRecord)| StandbyHost {
            address: *address,
            zone: record.zone.clone(),
            retiring: retiring.contains(address),
        };
        RepairView {
            leader: status.seat,
            members,
            standbys: self.standbys.iter().map(standby).collect(),
        }
    }
}

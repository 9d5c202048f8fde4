//! Membership repair: decides which membership change a leader makes next.
//!
//! The target is a fixed number of voters. A seat whose disk was lost never returns:
//! its host requests a new seat, and the old one is removed immediately. An
//! unresponsive voter is replaced only if another host can take its place, since
//! removing it without a replacement would not let the group tolerate more failures.
//!
//! A zone that holds so many voters that its loss would leave no quorum gives up one as
//! soon as a host of another zone can take its place.
//!
//! A voter is removed only if a quorum of the remaining voters is responsive, so that
//! no step can make the group unavailable.

use crate::zones::zone_voters_max;
use chicoryladder_consensus::{MemberRole, MembershipChange};
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One member, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The seat.
    pub seat: SeatId,
    /// The peer address of its host.
    pub address: SocketAddr,
    /// Whether it counts towards quorums.
    pub role: MemberRole,
    /// The time since the last contact, or since the leader first knew of the member.
    pub silent_for: Duration,
    /// Whether the leader ever had contact with it.
    pub had_contact: bool,
    /// Whether it is responsive and lacks at most the entries in flight.
    pub caught_up: bool,
    /// Whether the host is about to leave: it stops, or an operator drains it.
    pub retiring: bool,
    /// The availability zone of the host, if known.
    pub zone: Option<ZoneName>,
}

/// A host that requests a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyHost {
    /// The peer address of the host.
    pub address: SocketAddr,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// Whether the host is about to leave: it stops, or an operator drains it.
    pub retiring: bool,
    /// The time between its first and its last request, since the last contact with a member at
    /// its address, if there is one.
    pub requesting_for: Duration,
}

/// The input of [`plan_repair`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairView {
    /// The seat of the leader.
    pub leader: SeatId,
    /// The members.
    pub members: Vec<MemberView>,
    /// The hosts that currently request a seat.
    pub standbys: Vec<StandbyHost>,
}

/// The target size and the timeouts of membership repair.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairLimits {
    /// The target number of voters.
    pub voters: usize,
    /// The time without contact after which a member may be replaced.
    pub replace_after: Duration,
    /// The time without contact up to which a member counts as responsive.
    pub responsive_within: Duration,
}

/// Decides on the next membership change; `None` if no change is needed or none is
/// possible now.
#[must_use]
pub fn plan_repair(view: &RepairView, limits: &RepairLimits) -> Option<MembershipChange> {
    let repair = RepairPlanner { view, limits };
    repair
        .remove_lost_disk()
        .or_else(|| repair.remove_replaced())
        .or_else(|| repair.remove_surplus_voter())
        .or_else(|| repair.promote())
        .or_else(|| repair.add_learner())
        .or_else(|| repair.remove_surplus_learner())
}

struct RepairPlanner<'a> {
    view: &'a RepairView,
    limits: &'a RepairLimits,
}

impl RepairPlanner<'_> {
    fn voters(&self) -> impl Iterator<Item = &MemberView> {
        let is_voter = |member: &&MemberView| member.role == MemberRole::Voter;
        self.view.members.iter().filter(is_voter)
    }

    fn learners(&self) -> impl Iterator<Item = &MemberView> {
        let is_learner = |member: &&MemberView| member.role == MemberRole::Learner;
        self.view.members.iter().filter(is_learner)
    }

    fn is_responsive(&self, member: &MemberView) -> bool {
        let is_leader = member.seat == self.view.leader;
        is_leader || (member.had_contact && member.silent_for <= self.limits.responsive_within)
    }

    fn has_failed(&self, member: &MemberView) -> bool {
        member.seat != self.view.leader && member.silent_for >= self.limits.replace_after
    }

    /// Whether the host of a member requests a new seat, which means that it has lost its
    /// disk. A request that was sent before the host became a member may arrive late, so only
    /// requests count that go on while the member is silent.
    fn has_lost_disk(&self, member: &MemberView) -> bool {
        let requests_seat = |standby: &StandbyHost| {
            standby.address == member.address
                && standby.requesting_for >= self.limits.responsive_within
        };
        // A learner without any contact may not know its seat yet.
        let has_started = member.role == MemberRole::Voter || member.had_contact;
        member.seat != self.view.leader
            && has_started
            && self.view.standbys.iter().any(requests_seat)
    }

    /// Whether a quorum of the remaining voters is responsive.
    fn may_remove(&self, removed: &MemberView) -> bool {
        if removed.role == MemberRole::Learner {
            return true;
        }
        let remaining: Vec<_> = self.voters().filter(|m| m.seat != removed.seat).collect();
        let responsive = remaining.iter().filter(|m| self.is_responsive(m)).count();
        responsive > remaining.len() / 2
    }

    fn remove(&self, member: &MemberView) -> Option<MembershipChange> {
        self.may_remove(member)
            .then_some(MembershipChange::Remove(member.seat))
    }

    fn remove_lost_disk(&self) -> Option<MembershipChange> {
        let lost = self.view.members.iter().find(|m| self.has_lost_disk(m))?;
        self.remove(lost)
    }

    /// Removes a failed voter if another member can replace it, or a retiring voter that
    /// was replaced.
    fn remove_replaced(&self) -> Option<MembershipChange> {
        let is_ready = |learner: &&MemberView| !learner.retiring && self.is_responsive(learner);
        let ready = self.learners().filter(is_ready).count();
        let voters = self.voters().count();
        if let Some(failed) = self.voters().find(|m| self.has_failed(m))
            && voters + ready > self.limits.voters
        {
            return self.remove(failed);
        }
        let leaving = self
            .voters()
            .find(|m| self.is_leaving(m) && m.seat != self.view.leader)?;
        if voters > self.limits.voters {
            return self.remove(leaving);
        }
        None
    }

    /// Removes the newest voter beyond the target number: the voter that it was to replace
    /// has stayed. A voter that does not respond may be that one, and has to fail first.
    fn remove_surplus_voter(&self) -> Option<MembershipChange> {
        let is_staying = |m: &MemberView| self.is_responsive(m) && !self.is_leaving(m);
        if self.voters().count() <= self.limits.voters || !self.voters().all(is_staying) {
            return None;
        }
        let others = self.voters().filter(|m| m.seat != self.view.leader);
        self.remove(others.max_by_key(|member| member.seat)?)
    }

    /// Whether a voter is replaced although it works: its host retires, or its zone holds
    /// too many voters.
    fn is_leaving(&self, member: &MemberView) -> bool {
        member.retiring || self.crowding_voter() == Some(member.seat)
    }

    /// A voter in a zone with too many of them, if a host of another zone can take its
    /// place and no other repair is needed.
    fn crowding_voter(&self) -> Option<SeatId> {
        let voters_max = zone_voters_max(self.limits.voters);
        let is_well = |m: &MemberView| !m.retiring && self.is_responsive(m);
        if !self.voters().all(is_well) || self.voters().count() < self.limits.voters {
            return None;
        }
        let in_crowded_zone = |member: &&MemberView| {
            let zone = member.zone.as_ref();
            zone.is_some_and(|zone| self.voters_in(zone) > voters_max)
        };
        let mut crowding = self.voters().filter(in_crowded_zone);
        let crowding = crowding.find(|member| member.seat != self.view.leader)?;
        let has_room = |zone: &ZoneName| self.voters_in(zone) < voters_max;
        let standbys = self.view.standbys.iter().filter(|host| !host.retiring);
        let learners = self.learners().filter(|m| !m.retiring);
        let mut zones = standbys
            .map(|host| &host.zone)
            .chain(learners.filter_map(|m| m.zone.as_ref()));
        let is_replaced = self.voters().count() > self.limits.voters;
        (is_replaced || zones.any(has_room)).then_some(crowding.seat)
    }

    fn promote(&self) -> Option<MembershipChange> {
        if self.voters().count() >= self.target_voters() {
            return None;
        }
        let ready = self
            .learners()
            .find(|m| !m.retiring && m.caught_up && self.is_responsive(m))?;
        Some(MembershipChange::Promote(ready.seat))
    }

    /// The target number of voters, plus one while a working voter is being replaced.
    fn target_voters(&self) -> usize {
        let leaves = self.voters().any(|m| self.is_leaving(m));
        self.limits.voters + usize::from(leaves)
    }

    fn add_learner(&self) -> Option<MembershipChange> {
        let healthy = self
            .voters()
            .filter(|m| !self.is_leaving(m) && !self.has_failed(m));
        let joining = self
            .learners()
            .filter(|m| !m.retiring && !self.has_failed(m));
        if healthy.count() + joining.count() >= self.limits.voters {
            return None;
        }
        let members = &self.view.members;
        let is_free = |standby: &&StandbyHost| {
            let is_member = members.iter().any(|m| m.address == standby.address);
            !standby.retiring && !is_member
        };
        let free = self.view.standbys.iter().filter(is_free);
        let standby =
            free.min_by_key(|standby| (self.voters_in(&standby.zone), standby.address))?;
        Some(MembershipChange::AddLearner {
            // The caller assigns the id.
            seat: SeatId::default(),
            address: standby.address,
        })
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        let mut zones: HashMap<&ZoneName, usize> = HashMap::new();
        let healthy = self.voters().filter(|m| !m.retiring && !self.has_failed(m));
        for voter in healthy {
            if let Some(zone) = &voter.zone {
                *zones.entry(zone).or_default() += 1;
            }
        }
        zones.get(zone).copied().unwrap_or_default()
    }

    /// Removes a learner that has failed, is retiring or is not needed.
    fn remove_surplus_learner(&self) -> Option<MembershipChange> {
        let healthy = self
            .voters()
            .filter(|m| !self.is_leaving(m) && !self.has_failed(m));
        let is_complete = healthy.count() >= self.limits.voters;
        let is_surplus = |m: &&MemberView| m.retiring || self.has_failed(m) || is_complete;
        let surplus = self.learners().find(is_surplus)?;
        Some(MembershipChange::Remove(surplus.seat))
    }
}

//! Which membership change a leader makes next.
//!
//! A group keeps `voters` voters. A seat whose disk is lost never comes back: its
//! host asks for a new seat, so the old one is removed at once. A voter that is
//! silent is only replaced where another host can take its place, since removing
//! it without one would not let the group bear more.
//!
//! A voter is removed only if a quorum of those that stay answers, so that no step
//! can stop the group.

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
    /// Where its host takes calls.
    pub address: SocketAddr,
    /// Whether it counts in quorums.
    pub role: MemberRole,
    /// How long it has been silent, counted from when the leader first knew of it.
    pub silent_for: Duration,
    /// Whether the leader ever heard from it.
    pub heard: bool,
    /// Whether it holds the log but for what is on its way.
    pub caught_up: bool,
    /// Whether the operator wants the host emptied.
    pub retiring: bool,
    /// The zone of the host, where known.
    pub zone: Option<ZoneName>,
}

/// A host that asks for a seat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandbyHost {
    /// Where the host takes calls.
    pub address: SocketAddr,
    /// The zone of the host.
    pub zone: ZoneName,
    /// Whether the operator wants the host emptied.
    pub retiring: bool,
}

/// What the decision depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairView {
    /// The seat of the leader.
    pub leader: SeatId,
    /// The members.
    pub members: Vec<MemberView>,
    /// The hosts that ask for a seat now.
    pub standbys: Vec<StandbyHost>,
}

/// The limits of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepairLimits {
    /// The number of voters that the group should have.
    pub voters: usize,
    /// The silence after which a voter may be replaced by another host.
    pub replace_after: Duration,
    /// The silence up to which a member counts as answering.
    pub answers_within: Duration,
}

/// Decides on the next change; `None` if the group is as it should be, or nothing
/// can be done now.
#[must_use]
pub fn plan_repair(view: &RepairView, limits: &RepairLimits) -> Option<MembershipChange> {
    let repair = RepairPlanner { view, limits };
    repair
        .remove_lost_disk()
        .or_else(|| repair.remove_replaced())
        .or_else(|| repair.promote())
        .or_else(|| repair.add_learner())
        .or_else(|| repair.remove_spare_learner())
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

    fn answers(&self, member: &MemberView) -> bool {
        let leads = member.seat == self.view.leader;
        leads || (member.heard && member.silent_for <= self.limits.answers_within)
    }

    fn is_dead(&self, member: &MemberView) -> bool {
        member.seat != self.view.leader && member.silent_for >= self.limits.replace_after
    }

    /// Whether the host of a member asks for a new seat, so that its disk is lost.
    fn lost_disk(&self, member: &MemberView) -> bool {
        let asks = |standby: &StandbyHost| standby.address == member.address;
        // A learner that was never heard from may not have learnt its seat yet.
        let has_begun = member.role == MemberRole::Voter || member.heard;
        member.seat != self.view.leader && has_begun && self.view.standbys.iter().any(asks)
    }

    /// Whether a quorum of the voters that stay answers.
    fn may_remove(&self, leaving: &MemberView) -> bool {
        if leaving.role == MemberRole::Learner {
            return true;
        }
        let staying: Vec<_> = self.voters().filter(|m| m.seat != leaving.seat).collect();
        let answering = staying.iter().filter(|m| self.answers(m)).count();
        answering > staying.len() / 2
    }

    fn remove(&self, member: &MemberView) -> Option<MembershipChange> {
        self.may_remove(member)
            .then_some(MembershipChange::Remove(member.seat))
    }

    fn remove_lost_disk(&self) -> Option<MembershipChange> {
        let lost = self.view.members.iter().find(|m| self.lost_disk(m))?;
        self.remove(lost)
    }

    /// Removes a voter whose place another member has taken, or is ready to take.
    fn remove_replaced(&self) -> Option<MembershipChange> {
        let is_ready = |learner: &&MemberView| !learner.retiring && self.answers(learner);
        let ready = self.learners().filter(is_ready).count();
        let voters = self.voters().count();
        if let Some(dead) = self.voters().find(|m| self.is_dead(m))
            && voters + ready > self.limits.voters
        {
            return self.remove(dead);
        }
        let retiring = self
            .voters()
            .find(|m| m.retiring && m.seat != self.view.leader)?;
        if voters > self.limits.voters {
            return self.remove(retiring);
        }
        None
    }

    fn promote(&self) -> Option<MembershipChange> {
        if self.voters().count() >= self.wanted_voters() {
            return None;
        }
        let ready = self
            .learners()
            .find(|m| !m.retiring && m.caught_up && self.answers(m))?;
        Some(MembershipChange::Promote(ready.seat))
    }

    /// One voter more than usual while a retiring one hands its place on.
    fn wanted_voters(&self) -> usize {
        let retires = self.voters().any(|m| m.retiring);
        self.limits.voters + usize::from(retires)
    }

    fn add_learner(&self) -> Option<MembershipChange> {
        let standing = self.voters().filter(|m| !m.retiring && !self.is_dead(m));
        let coming = self.learners().filter(|m| !m.retiring && !self.is_dead(m));
        if standing.count() + coming.count() >= self.limits.voters {
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
            // The caller gives out the id.
            seat: SeatId::default(),
            address: standby.address,
        })
    }

    fn voters_in(&self, zone: &ZoneName) -> usize {
        let mut zones: HashMap<&ZoneName, usize> = HashMap::new();
        let standing = self.voters().filter(|m| !m.retiring && !self.is_dead(m));
        for voter in standing {
            if let Some(zone) = &voter.zone {
                *zones.entry(zone).or_default() += 1;
            }
        }
        zones.get(zone).copied().unwrap_or_default()
    }

    /// Removes learners that are dead, retiring or not needed.
    fn remove_spare_learner(&self) -> Option<MembershipChange> {
        let standing = self.voters().filter(|m| !m.retiring && !self.is_dead(m));
        let complete = standing.count() >= self.limits.voters;
        let is_spare = |m: &&MemberView| m.retiring || self.is_dead(m) || complete;
        let spare = self.learners().find(is_spare)?;
        Some(MembershipChange::Remove(spare.seat))
    }
}

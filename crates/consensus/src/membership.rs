//! Who belongs to a group, and the rules for changing that.
//!
//! One voter changes at a time, so that the quorums before and after a change
//! always share a seat. Seat ids only rise: a host that lost its disk comes back
//! under a new id, and its old seat has to be removed first, so that votes and
//! acknowledgements of the lost disk can never be counted again.

mod history;

pub(crate) use history::MembershipHistory;

use chicoryladder_types::SeatId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether a seat counts in quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts in elections and acknowledgements.
    Voter,
    /// Receives the log without counting.
    Learner,
}

/// One seat of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where the host of the seat takes messages of its peers.
    pub address: SocketAddr,
    /// Whether the seat counts in quorums.
    pub role: MemberRole,
}

/// One step of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a seat that receives the log without counting.
    AddLearner {
        /// The new seat, higher than every id used before.
        seat: SeatId,
        /// Where the host of the seat takes messages of its peers.
        address: SocketAddr,
    },
    /// Makes a learner that has caught up a voter.
    Promote(SeatId),
    /// Removes a seat for good.
    Remove(SeatId),
}

/// Why a membership change is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The seat id was used before, by a present or a removed seat.
    #[error("seat {0} was used before; a replaced disk needs a new, higher seat id")]
    SeatIdReused(SeatId),
    /// The host still has another seat in the group.
    #[error("the host at {address} still holds seat {seat}; remove that seat first")]
    HostHasSeat {
        /// The address of the host.
        address: SocketAddr,
        /// The seat that it still holds.
        seat: SeatId,
    },
    /// The seat is no member, or already a voter.
    #[error("seat {0} is no learner of the group")]
    NotLearner(SeatId),
    /// The seat is no member.
    #[error("seat {0} is no member of the group")]
    NotMember(SeatId),
    /// The change would leave the group without a voter.
    #[error("seat {0} is the last voter of the group")]
    LastVoter(SeatId),
    /// The learner has not received the whole log yet.
    #[error("seat {0} has not caught up yet")]
    NotCaughtUp(SeatId),
    /// An earlier change is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangePending,
}

/// The seats of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    members: BTreeMap<SeatId, MemberRecord>,
    highest: SeatId,
}

impl GroupMembership {
    /// A group of voters, as named by the settings of its first start.
    #[must_use]
    pub fn of_voters(voters: impl IntoIterator<Item = (SeatId, SocketAddr)>) -> Self {
        let role = MemberRole::Voter;
        let members: BTreeMap<_, _> = voters
            .into_iter()
            .map(|(seat, address)| (seat, MemberRecord { address, role }))
            .collect();
        let highest = members.keys().next_back().copied().unwrap_or_default();
        Self { members, highest }
    }

    /// The seats and their records, by rising id.
    pub fn members(&self) -> impl Iterator<Item = (SeatId, &MemberRecord)> {
        self.members.iter().map(|(seat, record)| (*seat, record))
    }

    /// The seats that count in quorums, by rising id.
    pub fn voters(&self) -> impl Iterator<Item = SeatId> + '_ {
        self.members()
            .filter(|(_, record)| record.role == MemberRole::Voter)
            .map(|(seat, _)| seat)
    }

    /// Whether the seat counts in quorums.
    #[must_use]
    pub fn is_voter(&self, seat: SeatId) -> bool {
        self.role(seat) == Some(MemberRole::Voter)
    }

    /// The role of a seat, if it is a member.
    #[must_use]
    pub fn role(&self, seat: SeatId) -> Option<MemberRole> {
        self.members.get(&seat).map(|record| record.role)
    }

    /// The address of a seat's host, if it is a member.
    #[must_use]
    pub fn address(&self, seat: SeatId) -> Option<SocketAddr> {
        self.members.get(&seat).map(|record| record.address)
    }

    /// The number of voters that make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The id that the next seat has to take.
    #[must_use]
    pub fn next_seat(&self) -> SeatId {
        self.highest.next()
    }

    /// The number of seats.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the group has no seat, as on a seat that has heard of no group yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The membership after one change.
    ///
    /// # Errors
    ///
    /// Returns the rule that the change would break.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        let mut membership = self.clone();
        match change {
            MembershipChange::AddLearner { seat, address } => membership.add(*seat, *address)?,
            MembershipChange::Promote(seat) => membership.promote(*seat)?,
            MembershipChange::Remove(seat) => membership.remove(*seat)?,
        }
        Ok(membership)
    }

    fn add(&mut self, seat: SeatId, address: SocketAddr) -> Result<(), MembershipError> {
        if seat <= self.highest {
            return Err(MembershipError::SeatIdReused(seat));
        }
        if let Some((seat, _)) = self.members().find(|(_, record)| record.address == address) {
            return Err(MembershipError::HostHasSeat { address, seat });
        }
        let role = MemberRole::Learner;
        self.members.insert(seat, MemberRecord { address, role });
        self.highest = seat;
        Ok(())
    }

    fn promote(&mut self, seat: SeatId) -> Result<(), MembershipError> {
        match self.members.get_mut(&seat) {
            Some(record) if record.role == MemberRole::Learner => {
                record.role = MemberRole::Voter;
                Ok(())
            }
            _ => Err(MembershipError::NotLearner(seat)),
        }
    }

    fn remove(&mut self, seat: SeatId) -> Result<(), MembershipError> {
        if self.is_voter(seat) && self.voters().count() == 1 {
            return Err(MembershipError::LastVoter(seat));
        }
        match self.members.remove(&seat) {
            Some(_) => Ok(()),
            None => Err(MembershipError::NotMember(seat)),
        }
    }
}

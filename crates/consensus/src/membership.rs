//! The membership of a group and the rules for changing it.
//!
//! Voters are added or removed one at a time, so that every quorum before a change
//! overlaps with every quorum after it. Seat ids increase monotonically: a host that
//! lost its disk rejoins under a new id after its old seat was removed, so that votes
//! and acknowledgements given from the lost disk are never counted again.

mod history;

pub(crate) use history::MembershipHistory;

use chicoryladder_types::SeatId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Whether a seat counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberRole {
    /// Counts towards quorums in elections and for commitment.
    Voter,
    /// Receives the log without counting towards quorums.
    Learner,
}

/// The address and role of one seat of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The address at which the host of the seat accepts peer messages.
    pub address: SocketAddr,
    /// Whether the seat counts towards quorums.
    pub role: MemberRole,
}

/// One step of a membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a seat that receives the log without counting towards quorums.
    AddLearner {
        /// The id of the new seat; higher than any id used before.
        seat: SeatId,
        /// The address at which the host of the seat accepts peer messages.
        address: SocketAddr,
    },
    /// Turns a learner that has caught up into a voter.
    Promote(SeatId),
    /// Removes a seat permanently; its id is not used again.
    Remove(SeatId),
}

/// Why a membership change is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// The seat id belongs to a current or a removed seat.
    #[error("seat {0} was used before; a replaced disk needs a new, higher seat id")]
    SeatIdReused(SeatId),
    /// The host still holds another seat of the group.
    #[error("the host at {address} still holds seat {seat}; remove that seat first")]
    HostHasSeat {
        /// The address of the host.
        address: SocketAddr,
        /// The seat that the host still holds.
        seat: SeatId,
    },
    /// The seat is not a member, or it is already a voter.
    #[error("seat {0} is no learner of the group")]
    NotLearner(SeatId),
    /// The seat is not a member.
    #[error("seat {0} is no member of the group")]
    NotMember(SeatId),
    /// The change would leave the group without a voter.
    #[error("seat {0} is the last voter of the group")]
    LastVoter(SeatId),
    /// The learner lags too far behind the leader's commit position.
    #[error("seat {0} has not caught up yet")]
    NotCaughtUp(SeatId),
    /// An earlier membership change is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangePending,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    members: BTreeMap<SeatId, MemberRecord>,
    highest: SeatId,
}

impl GroupMembership {
    /// A membership of voters only, as at the bootstrap of a group.
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

    /// The seats and their records, in ascending order of their ids.
    pub fn members(&self) -> impl Iterator<Item = (SeatId, &MemberRecord)> {
        self.members.iter().map(|(seat, record)| (*seat, record))
    }

    /// The voters, in ascending order of their ids.
    pub fn voters(&self) -> impl Iterator<Item = SeatId> + '_ {
        self.members()
            .filter(|(_, record)| record.role == MemberRole::Voter)
            .map(|(seat, _)| seat)
    }

    /// Whether the seat is a voter.
    #[must_use]
    pub fn is_voter(&self, seat: SeatId) -> bool {
        self.role(seat) == Some(MemberRole::Voter)
    }

    /// The role of a seat, if it is a member.
    #[must_use]
    pub fn role(&self, seat: SeatId) -> Option<MemberRole> {
        self.members.get(&seat).map(|record| record.role)
    }

    /// The peer address of a seat's host, if the seat is a member.
    #[must_use]
    pub fn address(&self, seat: SeatId) -> Option<SocketAddr> {
        self.members.get(&seat).map(|record| record.address)
    }

    /// The number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The id for the next seat to be added.
    #[must_use]
    pub fn next_seat(&self) -> SeatId {
        self.highest.next()
    }

    /// The number of seats.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members, as on a joining seat before its first contact with
    /// the leader.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the membership that results from one change.
    ///
    /// # Errors
    ///
    /// Fails if the change violates a membership rule.
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

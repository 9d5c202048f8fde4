//! The messages between the seats of a group.
//!
//! Stamps are microseconds on the sender's own clock, from an origin that is
//! random for each start of the sender. They come back unchanged as echoes, so
//! each side learns a lower bound of when the other one wrote, without comparing
//! clocks of two hosts.

use crate::{CommandBytes, GroupMembership, LogEntry};
use chicoryladder_types::{GroupId, LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point on the sender's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClockStamp(pub u64);

/// Asks for a vote, or for the promise of one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term that the candidate wants to lead.
    pub term: TermNumber,
    /// The last entry of the candidate's log.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: TermNumber,
    /// Whether the leader gave up its lease and asked for this election.
    pub transfer: bool,
}

/// Answers a vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The requested term if granted, else the term of the answering seat.
    pub term: TermNumber,
    /// Whether the vote is given.
    pub granted: bool,
}

/// Replicates entries; without entries, a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The term of the leader.
    pub term: TermNumber,
    /// The entry before the first one sent.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: TermNumber,
    /// The entries, without gaps.
    pub entries: Vec<LogEntry>,
    /// The commit position of the leader.
    pub commit: LogIndex,
    /// When the leader wrote this.
    pub stamp: ClockStamp,
    /// The last stamp received from the addressed seat.
    pub echo: Option<ClockStamp>,
    /// How long ago a quorum last confirmed the leader, once `commit` covers
    /// every change acknowledged before that moment.
    pub quorum_age: Option<Duration>,
}

/// What came of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to this entry, durably.
    Matched(LogIndex),
    /// The logs differ.
    Mismatch {
        /// The highest entry on which they may agree.
        hint: LogIndex,
        /// The last entry of the answering seat.
        last: LogIndex,
    },
}

/// Answers an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The term of the answering seat.
    pub term: TermNumber,
    /// What came of it.
    pub outcome: AppendOutcome,
    /// The stamp of the append.
    pub echo: ClockStamp,
    /// When the answering seat wrote this.
    pub stamp: ClockStamp,
}

/// One part of a snapshot, for a seat that is behind the start of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The term of the leader.
    pub term: TermNumber,
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub index_term: TermNumber,
    /// The membership at that entry.
    pub membership: GroupMembership,
    /// The place of this part in the snapshot, in bytes.
    pub offset: u64,
    /// The size of the whole snapshot, in bytes.
    pub total: u64,
    /// The bytes of this part.
    pub data: CommandBytes,
    /// When the leader wrote this.
    pub stamp: ClockStamp,
}

/// Answers a part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The term of the answering seat.
    pub term: TermNumber,
    /// The snapshot that is being received.
    pub index: LogIndex,
    /// The bytes received so far.
    pub received: u64,
    /// The stamp of the part.
    pub echo: ClockStamp,
}

/// A message between two seats of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeatMessage {
    /// Asks whether a vote would be given, without raising any term.
    PreVote(VoteRequest),
    /// Answers a pre-vote.
    PreVoteReply(VoteReply),
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a vote.
    VoteReply(VoteReply),
    /// Replicates entries.
    Append(AppendRequest),
    /// Answers an append.
    AppendReply(AppendReply),
    /// Carries a part of a snapshot.
    Snapshot(SnapshotChunk),
    /// Answers a part of a snapshot.
    SnapshotReply(SnapshotReply),
    /// Asks the receiver to stand for election at once.
    TimeoutNow {
        /// The term of the leader that gives up.
        term: TermNumber,
    },
}

/// A message with its addresses, so that all groups share one link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatEnvelope {
    /// The group.
    pub group: GroupId,
    /// The sending seat.
    pub from: SeatId,
    /// The receiving seat.
    pub to: SeatId,
    /// The message.
    pub message: SeatMessage,
}

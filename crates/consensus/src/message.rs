//! The messages between the seats of a group.
//!
//! Stamps are microseconds on the sender's own clock, relative to an origin that is
//! drawn at random at each start of the sender. The receiver echoes them unchanged.
//! From an echo the original sender learns a lower bound on the time at which the
//! other side wrote its message, without comparing the clocks of two hosts.

use crate::{CommandBytes, GroupMembership, LogEntry};
use chicoryladder_types::{GroupId, LogIndex, SeatId, TermNumber};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A time on the sender's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClockStamp(pub u64);

/// Requests a vote or, as a pre-vote, whether the vote would be granted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term for which the candidate requests the vote.
    pub term: TermNumber,
    /// The index of the last entry in the candidate's log.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: TermNumber,
    /// Whether the leader gave up its lease: it requested this election, or it is the candidate
    /// and has restarted.
    pub transfer: bool,
}

/// The reply to a vote or pre-vote request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The requested term if granted, else the term of the replying seat.
    pub term: TermNumber,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Replicates entries; a request without entries is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The term of the leader.
    pub term: TermNumber,
    /// The index of the entry before the first one sent.
    pub prev_index: LogIndex,
    /// The term of that entry.
    pub prev_term: TermNumber,
    /// The entries, without gaps.
    pub entries: Vec<LogEntry>,
    /// The commit position of the leader.
    pub commit: LogIndex,
    /// When the leader wrote this message.
    pub stamp: ClockStamp,
    /// The last stamp that the leader received from the receiving seat.
    pub echo: Option<ClockStamp>,
    /// How long ago a quorum last confirmed the leader. `None` until `commit` covers
    /// every change acknowledged before that time.
    pub quorum_age: Option<Duration>,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The durable log matches the leader's up to this entry.
    Matched(LogIndex),
    /// The logs differ at the entry before the first one sent.
    Mismatch {
        /// The highest entry at which the logs may match.
        hint: LogIndex,
        /// The last entry of the replying seat.
        last: LogIndex,
    },
}

/// The reply to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The term of the replying seat.
    pub term: TermNumber,
    /// The result.
    pub outcome: AppendOutcome,
    /// The stamp of the append.
    pub echo: ClockStamp,
    /// When the replying seat wrote this message.
    pub stamp: ClockStamp,
}

/// One chunk of a snapshot, for a seat that needs entries before the start of the
/// leader's log.
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
    /// The offset of this chunk in the snapshot, in bytes.
    pub offset: u64,
    /// The size of the complete snapshot, in bytes.
    pub total: u64,
    /// The bytes of this chunk.
    pub data: CommandBytes,
    /// When the leader wrote this message.
    pub stamp: ClockStamp,
}

/// The reply to a snapshot chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotReply {
    /// The term of the replying seat.
    pub term: TermNumber,
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// The number of bytes received so far.
    pub received: u64,
    /// The stamp of the chunk.
    pub echo: ClockStamp,
}

/// A message between two seats of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeatMessage {
    /// Asks whether a vote would be granted, without raising any term.
    PreVote(VoteRequest),
    /// Replies to a pre-vote request.
    PreVoteReply(VoteReply),
    /// Requests a vote.
    Vote(VoteRequest),
    /// Replies to a vote request.
    VoteReply(VoteReply),
    /// Replicates entries.
    Append(AppendRequest),
    /// Replies to an append.
    AppendReply(AppendReply),
    /// Carries a chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Replies to a snapshot chunk.
    SnapshotReply(SnapshotReply),
    /// Asks the receiver to start an election immediately.
    TimeoutNow {
        /// The term of the leader that transfers its leadership.
        term: TermNumber,
    },
}

/// A message with its group, sender and receiver, so that all groups share one
/// connection.
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

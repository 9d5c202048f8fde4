//! Slot requests to the broker and its decisions.

use crate::cold_servers::ColdChange;
use crate::grants::RunOutcome;
use crate::server_limits::ServerLimit;
use crate::streams::{StreamId, StreamPart};
use crate::versions::VersionRecord;
use chicoryladder_policy::quarantine::{
    QuarantineCause, QuarantineChange, RequestFingerprint, RequestTraits, SegmentFingerprint,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, ServiceName, SoftwareVersion, Tail};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a process that requests slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequesterId {
    /// The host on which the process runs.
    pub host: HostName,
    /// Distinguishes successive starts of the process.
    pub incarnation: u64,
}

/// The kind of work that runs in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// An online request: a caller waits for the response.
    Online,
    /// An item of a batch job, which may be preempted and resumed.
    Batch,
}

/// A segment of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptSegment {
    /// Identifies the text of this segment, whatever precedes it.
    pub id: u64,
    /// The length of the segment, in tokens.
    pub tokens: u32,
}

/// A request for a slot on a server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifies the slot in calls between requester and broker; unique per requester.
    pub ticket: u64,
    /// The requested service.
    pub service: ServiceName,
    /// The kind of work.
    pub kind: WorkKind,
    /// The priority rank; 0 is served first.
    pub rank: u32,
    /// The availability zone of the requester.
    pub zone: ZoneName,
    /// The team whose rate limit is charged; `None` if none is.
    pub charged_team: Option<TeamName>,
    /// The segments of the prompt, in order. The last one is specific to the request.
    pub prompt: Vec<PromptSegment>,
    /// Identifies the request when its caller sends it again.
    pub fingerprint: RequestFingerprint,
    /// The tokens of engine memory that the request occupies when it completes.
    pub tokens: u64,
    /// The part of a stream that is requested; `None` for other requests.
    pub stream: Option<StreamPart>,
    /// Servers that must not be selected.
    pub avoid: Vec<ServerName>,
    /// The time within which the response has to begin to meet the latency target.
    pub first_answer_within: Duration,
    /// The longest time that the requester waits for a slot.
    pub wait_max: Duration,
    /// The areas whose servers may run the request; `None` for all. Messages carry it beside
    /// the request, which earlier builds read as it was.
    #[serde(skip)]
    pub homes: Option<BTreeSet<AreaName>>,
}

impl SlotRequest {
    /// The only version of servers that may run the request, if it is bound to one.
    #[must_use]
    pub fn required_version(&self) -> Option<&SoftwareVersion> {
        match &self.stream {
            Some(StreamPart::Rest { version, .. }) => version.as_ref(),
            Some(StreamPart::Beginning(_)) | None => None,
        }
    }

    /// Whether the request is for the beginning of a stream.
    pub(crate) fn begins_stream(&self) -> bool {
        matches!(self.stream, Some(StreamPart::Beginning(_)))
    }

    /// The stream that the request is a part of, if it is known.
    #[must_use]
    pub fn stream_id(&self) -> Option<StreamId> {
        match &self.stream {
            Some(StreamPart::Beginning(stream)) => Some(*stream),
            Some(StreamPart::Rest { stream, .. }) => *stream,
            None => None,
        }
    }

    /// What a crash of the server that runs the request may be attributed to.
    #[must_use]
    pub fn traits(&self) -> RequestTraits {
        RequestTraits {
            request: self.fingerprint,
            segments: shared_segments(&self.prompt),
        }
    }
}

/// The segments of a prompt that other requests may share.
#[must_use]
pub fn shared_segments(prompt: &[PromptSegment]) -> Vec<SegmentFingerprint> {
    let shared = prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared
        .iter()
        .map(|segment| SegmentFingerprint(segment.id))
        .collect()
}

/// The load of the servers of a service at a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The runs on all servers, with those that accept no new work.
    pub running: u32,
    /// The slots of the servers that accept new work.
    pub slots: u32,
    /// The online requests that are queued.
    pub waiting: u32,
    /// The average time that a run holds its slot, in milliseconds.
    pub hold_ms: u32,
}

/// The reason for which a slot is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SlotRefusalReason {
    /// The team exceeded its rate and burst.
    RateExceeded,
    /// The host cannot reach the broker and has used up its reserve of the team's
    /// rate.
    NoReserve,
    /// No slot becomes free in time.
    NoSlot(PoolLoad),
    /// The service has no known server.
    NoServer,
    /// The stream goes on only at a version that no known server has.
    VersionGone,
    /// The version that began the stream is not known, and the servers have several.
    VersionUnknown,
    /// Earlier runs of the request, or of others with the same prompt segment, crashed their
    /// servers.
    Quarantined(QuarantineCause),
    /// The request has homes, and no known server of the service is in one of them. Earlier
    /// builds do not get this reason, since they name no homes.
    NoHomeServer,
}

/// What a decision expected of the server that it chose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedAnswer {
    /// The time to the first part of the answer.
    pub first_answer: Duration,
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The tokens of the prompt that the server was believed to hold.
    pub cached: u32,
    /// The time that work was believed to take there, in percent of usual.
    pub pace_percent: u32,
    /// The age of the figure that the server stated last, while it counts.
    pub stated_age: Option<Duration>,
}

/// The decision on a slot request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// The request may run on a server.
    Granted {
        /// The assigned server.
        server: ServerName,
        /// Its incarnation.
        incarnation: u64,
        /// The address at which the server accepts requests.
        address: SocketAddr,
        /// The availability zone of the server.
        zone: ZoneName,
        /// The version of its software.
        version: SoftwareVersion,
        /// The limit on requests that the server names, as the broker knows it.
        limit: Option<ServerLimit>,
        /// What the decision expected; `None` if it did not weigh the speed of servers.
        expected: Tail<Option<ExpectedAnswer>>,
    },
    /// No slot is granted.
    Refused {
        /// The reason.
        reason: SlotRefusalReason,
        /// The delay after which a retry is likely to succeed.
        retry_after: Duration,
    },
}

/// A message that the caller of the broker has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokerEvent {
    /// Sends the decision on a slot request.
    Decided {
        /// The requester.
        requester: RequesterId,
        /// The ticket of the slot request.
        ticket: u64,
        /// The decision.
        decision: SlotDecision,
    },
    /// Asks the requester to stop a run whose slot is needed.
    Stop {
        /// The requester that executes the run.
        requester: RequesterId,
        /// The ticket of its slot.
        ticket: u64,
    },
    /// Reports that the quarantine of a prompt segment changed.
    Quarantine(QuarantineChange),
    /// Reports that a server became cold or ceased to be.
    Cold(ColdChange),
    /// Reports that a server gets no work for a time.
    Suspended(ServerSuspension),
    /// Asks for a durable record of a step in the use of a version; the step is applied once
    /// it is recorded.
    VersionStep(VersionRecord),
    /// Reports that a host reaches so few servers that its reports on them do not count.
    CutOff {
        /// The host.
        requester: RequesterId,
        /// The servers whose suspensions ended, since it had reported them.
        restored: Vec<ServerName>,
    },
}

/// The suspension of a server by the report of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSuspension {
    /// The server.
    pub server: ServerName,
    /// The host that reported.
    pub reported_by: RequesterId,
    /// The outcome that it reported.
    pub outcome: RunOutcome,
    /// Consecutive failures, this one included.
    pub failures: u32,
    /// The length of the suspension.
    pub pause: Duration,
    /// How long ago the server last responded to another host.
    pub other_contact_age: Option<Duration>,
}

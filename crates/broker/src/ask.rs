//! What is asked of a broker and what it answers.

use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a process that asks for slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequesterId {
    /// The host of the process.
    pub host: HostName,
    /// Differs at each start of the process.
    pub incarnation: u64,
}

/// What kind of work a slot is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Someone waits for the answer.
    Online,
    /// An item of a batch job, which may be stopped and resumed.
    Batch,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the text of the part and of all parts before it.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u32,
}

/// Asks for a slot on a server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Names the slot between the requester and the broker; unique to the requester.
    pub ticket: u64,
    /// The service.
    pub service: ServiceName,
    /// What the slot is for.
    pub kind: WorkKind,
    /// The rank; 0 goes first.
    pub rank: u32,
    /// The zone of the requester.
    pub zone: ZoneName,
    /// The team whose rate pays for the request; `None` if nothing has to be paid.
    pub charged_team: Option<TeamName>,
    /// The parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The tokens that the request will hold in an engine's memory at its end.
    pub tokens: u64,
    /// Servers that must not be chosen.
    pub avoid: Vec<ServerName>,
    /// How long an answer may take for the request to meet its target.
    pub first_answer_within: Duration,
    /// How long the requester waits for a slot.
    pub wait_max: Duration,
}

/// Why no slot is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The team is beyond its rate and burst.
    RateExceeded,
    /// The host cannot reach the broker, and has no reserve of the team's rate left.
    NoReserve,
    /// No slot comes free in time.
    NoSlot,
    /// No server of the service is known.
    NoServer,
    /// The request crashed the servers that ran it.
    Quarantined,
}

/// The answer to a question for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotDecision {
    /// The request may run on a server.
    Granted {
        /// The server.
        server: ServerName,
        /// Where it takes requests.
        address: SocketAddr,
        /// Its zone.
        zone: ZoneName,
    },
    /// The request has to be refused.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// After which time a new attempt is likely to be served.
        retry_after: Duration,
    },
}

/// What a broker asks its owner to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BrokerEvent {
    /// Answer a question.
    Decided {
        /// Who asked.
        requester: RequesterId,
        /// The ticket of the question.
        ticket: u64,
        /// The answer.
        decision: SlotDecision,
    },
    /// Have a run stopped, since its slot is needed.
    Stop {
        /// Who runs it.
        requester: RequesterId,
        /// The ticket of its slot.
        ticket: u64,
    },
}

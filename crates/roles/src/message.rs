//! What the processes of a fleet tell each other.

use bytes::Bytes;
use chicoryladder_batch::{BatchCommand, JobPage};
use chicoryladder_broker::{
    ActiveRun, RequesterId, RunReport, ServerCheckIn, SlotDecision, SlotRequest,
};
use chicoryladder_consensus::SeatEnvelope;
use chicoryladder_group::GroupStatus;
use chicoryladder_plan::{PlanVersion, RawPlan};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A message that needs no answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// A message between two seats of a group.
    Seat(SeatEnvelope),
    /// To the broker: a run ended.
    Release {
        requester: RequesterId,
        report: RunReport,
        /// The request, if the server broke off while it ran.
        crashed: Option<RequestFingerprint>,
    },
    /// To a requester: a run has to stop, since its slot is needed.
    Stop { ticket: u64 },
    /// To a host: the plan or the directory changed.
    Changed,
}

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Call {
    /// To the leader of the control group.
    Control(ControlCall),
    /// To the leader of the job group.
    Batch(BatchCall),
    /// To a host that the settings name, at the first start.
    Bootstrap(BootstrapCall),
}

/// What a control host asks before the control group exists.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum BootstrapCall {
    /// What the host does.
    Role,
    /// Which control host founds the group alone.
    SoleMember,
}

/// The answer of a host that the settings name.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum BootstrapAnswer {
    /// Answers [`BootstrapCall::Role`].
    Role(HostRole),
    /// Answers [`BootstrapCall::SoleMember`]; `None` if that could not be recorded.
    SoleMember(Option<SocketAddr>),
}

/// A call to the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlCall {
    /// Asks for a slot under a plan.
    RequestSlot {
        requester: RequesterId,
        plan: PlanVersion,
        slot_request: Box<SlotRequest>,
        /// Identifies the request, whichever host it is sent to again.
        fingerprint: Option<RequestFingerprint>,
    },
    /// Exchanges what a host and the leader know.
    Sync(Box<SyncRequest>),
    /// Replaces the plan.
    ReplacePlan {
        document: Vec<u8>,
        plan: Box<RawPlan>,
    },
    /// Reads the document of the plan.
    ReadPlan,
    /// Passes on the check-in of a server.
    CheckIn(Box<ServerCheckIn>),
    /// Passes on that a server leaves.
    Leave {
        name: ServerName,
        incarnation: Option<u64>,
    },
    /// Has a host emptied.
    BeginRetire { host: HostName },
    /// Asks whether a host is empty.
    RetireState { host: HostName },
    /// Asks for a seat in the control group.
    Join(JoinRequest),
}

impl ControlCall {
    /// The name of the call in logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::RequestSlot { .. } => "ask",
            Self::Sync(_) => "sync",
            Self::ReplacePlan { .. } => "replace_plan",
            Self::ReadPlan => "read_plan",
            Self::CheckIn(_) => "check_in",
            Self::Leave { .. } => "leave",
            Self::BeginRetire { .. } => "begin_retire",
            Self::RetireState { .. } => "retire_state",
            Self::Join(_) => "join",
        }
    }
}

/// A host without a seat asks for one, or one with a seat whether it still counts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JoinRequest {
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// The seat that the host has and may have lost; `None` to get one.
    pub(crate) seat: Option<SeatId>,
}

/// What a host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HostRole {
    Entry,
    Control,
    Store,
}

/// What a store host tells of its seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreReport {
    /// The seat, if it has one.
    pub(crate) seat: Option<SeatId>,
    /// Whether the whole system starts for the first time.
    pub(crate) first_start: bool,
    /// Whether it leads the job group, and in which term.
    pub(crate) leading_term: Option<u64>,
    /// The addresses of the job group's members, if it leads.
    pub(crate) members: Vec<SocketAddr>,
    /// The hosts that it knows to be emptied, and gives no seat.
    pub(crate) retiring: Vec<SocketAddr>,
}

/// What a host knows and has under way.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    pub(crate) requester: RequesterId,
    pub(crate) role: HostRole,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) plan: PlanVersion,
    /// The term and number of the directory held.
    pub(crate) directory: (u64, u64),
    pub(crate) active: Vec<ActiveRun>,
    pub(crate) reserves: Vec<(TeamName, u32)>,
    pub(crate) store: Option<StoreReport>,
}

/// What all hosts need to know of the job group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreView {
    /// The members of its first start, once that is decided.
    pub(crate) bootstrap_members: Option<BTreeMap<SeatId, SocketAddr>>,
    /// The host that leads it, as far as known.
    pub(crate) leader: Option<SocketAddr>,
    /// All store hosts that were heard from.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The store hosts that are to be emptied.
    pub(crate) retiring: Vec<SocketAddr>,
}

/// What the leader tells a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// All control hosts that were heard from.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The plan, if it is newer than the one held.
    pub(crate) plan: Option<Box<RawPlan>>,
    /// The directory, if it differs from the one held.
    pub(crate) directory: Option<((u64, u64), Vec<ServerCheckIn>)>,
    /// What is added to the reserves of the host.
    pub(crate) reserves: Vec<(TeamName, u32)>,
    pub(crate) store: StoreView,
}

/// The answer of a leader of the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlAnswer {
    /// Answers [`ControlCall::RequestSlot`].
    Slot(SlotDecision),
    /// The plan that an ask was made under is not in force any more.
    StalePlan,
    /// Answers [`ControlCall::Sync`].
    Synced(Box<SyncAnswer>),
    /// The call took effect.
    Done,
    /// The group has too few members yet to keep a first plan safe.
    TooFewMembers,
    /// Answers [`ControlCall::ReadPlan`].
    Document(Option<Vec<u8>>),
    /// Answers [`ControlCall::RetireState`]: whether the host is empty.
    Retired(bool),
    /// There is no such host.
    UnknownHost,
    /// Too few hosts would be left.
    TooFewHosts,
    /// Answers [`ControlCall::Join`].
    Seat(JoinAnswer),
}

/// The answer to a host that asks for a seat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum JoinAnswer {
    /// The host has this seat from now on.
    Granted(SeatId),
    /// No seat is free now.
    Wait,
    /// The seat that the host has belongs to the group.
    Member,
    /// The seat that the host has was removed for good.
    Removed,
}

/// A call to the job group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum BatchCall {
    /// Changes the state.
    Change(BatchCommand),
    /// Reads results.
    Page {
        team: Option<TeamName>,
        job: String,
        after: u64,
    },
    /// Reads the body of an item.
    Body {
        team: Option<TeamName>,
        job: String,
        item: String,
    },
    /// Asks for a seat in the job group.
    Join(JoinRequest),
}

/// The answer of a leader of the job group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum BatchReply {
    /// Answers [`BatchCall::Change`].
    Changed(chicoryladder_batch::BatchAnswer),
    /// Answers [`BatchCall::Page`].
    Page(Option<JobPage>),
    /// Answers [`BatchCall::Body`].
    Body(Option<Vec<u8>>),
    /// Answers [`BatchCall::Join`].
    Seat(JoinAnswer),
}

/// The answer of any host of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupReply<T> {
    /// The host does not lead; nothing was done.
    NotLeader {
        /// The host that leads, as far as known.
        leader: Option<SocketAddr>,
    },
    /// The leadership was lost meanwhile; the call may have taken effect.
    OutcomeUnknown,
    /// The answer of the leader.
    Answer(T),
}

impl<T> GroupReply<T> {
    /// The answer of a host that does not lead, from what it knows of its group.
    pub(crate) fn not_leader(status: &GroupStatus, own: SocketAddr) -> Self {
        let leader = status.leader.filter(|leader| *leader != own);
        Self::NotLeader { leader }
    }
}

/// Encodes a message; `part` of the program tells of it if that fails.
pub(crate) fn encode(part: &str, message: &impl Serialize) -> Option<Bytes> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("{part}: a message cannot be encoded: {error}.");
            None
        }
    }
}

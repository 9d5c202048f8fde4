//! Messages between the processes of a fleet, encoded with postcard.

use crate::control::{OrderNumber, PlacementQuestion, QuestionError};
use crate::server_marks::ServerReports;
use bytes::Bytes;
use chicoryladder_batch::{BatchCommand, JobOwner, JobPage};
use chicoryladder_broker::{
    ActiveRun, AnswerReport, CallerTerms, CrashedRun, ReceivedCheckIn, RequesterId, RosterMember,
    RunReport, ServerCheckIn, SlotDecision, SlotRequest, VersionList, WorkPercent, ZoneRoster,
};
use chicoryladder_consensus::SeatEnvelope;
use chicoryladder_group::{GroupStatus, JoinAnswer, JoinRequest};
use chicoryladder_plan::{PlanVersion, RawPlan};
use chicoryladder_policy::quarantine::{OpenCrash, QuarantinedSegments, RequestTraits};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{
    AreaName, RouteName, SeatId, ServiceName, Tail, ZoneDrain, ZoneDrainStep,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::time::Duration;

/// A one-way message; it gets no reply and may be lost.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// A consensus message between two seats of a group.
    Seat(SeatEnvelope),
    /// To the broker: a run ended and its slot is free.
    Release {
        requester: RequesterId,
        report: RunReport,
        /// The run, if the connection to the server broke while it ran the request.
        crashed: Option<Box<CrashedRun>>,
        /// How long work takes on the server, as its answer stated it.
        work: Tail<Option<WorkPercent>>,
        /// The time since the slot was granted, if the connection broke.
        took: Tail<Option<Duration>>,
    },
    /// To a requester: a run has to stop, since its slot is needed for other work.
    Stop { ticket: u64 },
    /// To a host: the plan or the server directory changed; it should sync.
    Changed,
}

/// A call that expects a reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Call {
    /// A call to the leader of the control group.
    Control(ControlCall),
    /// A call to the leader of the job group.
    Batch(BatchCall),
    /// A query to a seed of the settings, at the first start of a fleet.
    Bootstrap(BootstrapCall),
    /// A call to the entry host that holds the reserve of a team in a zone.
    Reserve(ReserveCall),
}

/// A call to the holder of a reserve, by a host that cannot reach the broker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ReserveCall {
    /// Takes one request from the reserve of a team.
    Take { team: TeamName },
}

/// The reply of the holder of a reserve.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum ReserveAnswer {
    /// The request is charged to the reserve.
    Taken,
    /// The reserve is spent, or this host does not hold it.
    Spent {
        /// When the next request is earned, if the holder can tell.
        retry_after: Option<Duration>,
    },
}

/// The query of a control host to a seed before the control group exists.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum BootstrapCall {
    /// Queries the role of the seed.
    Role,
    /// Queries which control host bootstraps the group as its only member.
    SoleMember,
}

/// The reply of a seed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum BootstrapAnswer {
    /// Reply to [`BootstrapCall::Role`].
    Role(HostRole),
    /// Reply to [`BootstrapCall::SoleMember`]; `None` if the choice could not be made
    /// durable.
    SoleMember(Option<SocketAddr>),
}

/// A call to the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlCall {
    /// Requests a slot under a version of the plan.
    RequestSlot(Box<SlotCall>),
    /// Reports the state of a host; the reply holds the newer state of the leader.
    Sync(Box<SyncRequest>),
    /// Replaces the plan.
    ReplacePlan {
        document: Vec<u8>,
        plan: Box<RawPlan>,
    },
    /// Reads the plan in force as the document that the operator sent.
    ReadPlan,
    /// Forwards the check-in of a backend server.
    CheckIn(Box<ReceivedCheckIn>),
    /// Forwards the announcement of a backend server that it is leaving.
    Leave {
        name: ServerName,
        incarnation: Option<u64>,
        /// Asks for the known incarnation instead, if the announcement names none. Hosts of
        /// earlier builds leave it to the leader to which incarnation it applies.
        is_query: Tail<bool>,
    },
    /// Starts to retire a store host: its seat moves to another host.
    BeginRetire {
        host: HostName,
        stage: Tail<OrderStage>,
    },
    /// Reads whether a store host is drained.
    RetireState { host: HostName },
    /// Requests a seat in the control group.
    Join(JoinRequest),
    /// Asks for the replacement of a stopping host in the control group.
    LeaveSeat(JoinRequest),
    /// Drains a zone or withdraws that.
    SetZoneDrain {
        zone: ZoneName,
        step: ZoneDrainStep,
        /// The address from which the order came, if known.
        asked_by: Option<SocketAddr>,
        stage: Tail<OrderStage>,
    },
    /// Reads which zones are drained.
    ZoneDrains,
    /// Asks where a request or an item would go. Nothing changes.
    Explain(Box<PlacementQuestion>),
}

impl ControlCall {
    /// The name of the call in the event log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::RequestSlot(_) => "ask",
            Self::Sync(_) => "sync",
            Self::ReplacePlan { .. } => "replace_plan",
            Self::ReadPlan => "read_plan",
            Self::CheckIn(_) => "check_in",
            Self::Leave { .. } => "leave",
            Self::BeginRetire { .. } => "begin_retire",
            Self::RetireState { .. } => "retire_state",
            Self::Join(_) => "join",
            Self::LeaveSeat(_) => "leave_seat",
            Self::SetZoneDrain { .. } => "set_zone_drain",
            Self::ZoneDrains => "zone_drains",
            Self::Explain(_) => "explain",
        }
    }
}

/// How far the sending of an order has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderStage {
    /// A host of an earlier build sends the order without a number.
    #[default]
    Unnumbered,
    /// Asks for the number with which the order has to come.
    NumberWanted,
    /// Carries the order out, if its number still holds.
    Numbered(OrderNumber),
}

/// A request for a slot under a version of the plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SlotCall {
    pub(crate) requester: RequesterId,
    pub(crate) plan: PlanVersion,
    pub(crate) slot_request: SlotRequest,
    /// What the host learned of servers and streams since the last call.
    pub(crate) reports: ServerReports,
    /// The runs of the host whose answers have begun since the last call, of servers that state
    /// how long work takes.
    pub(crate) answers: Tail<Vec<AnswerReport>>,
    /// What the host knows of the caller, if it has the feature `pressure`. Hosts of earlier
    /// builds send nothing.
    pub(crate) terms: Tail<Option<CallerTerms>>,
    /// The areas whose servers may run the request, if it has homes. A leader of an earlier
    /// build does not read them, so the host checks the server that it is granted.
    pub(crate) homes: Tail<Option<BTreeSet<AreaName>>>,
}

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HostRole {
    Entry,
    Control,
    Store,
}

/// The report of a store host about its seat in the job group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreReport {
    /// The seat, if it has one.
    pub(crate) seat: Option<SeatId>,
    /// Whether the settings mark this as the first start of the fleet.
    pub(crate) first_start: bool,
    /// The term in which the host leads the job group, if it does.
    pub(crate) leading_term: Option<u64>,
    /// The addresses of the job group's members, if the host leads.
    pub(crate) members: Vec<SocketAddr>,
    /// The retiring hosts that this host knows of; as the leader it gives them no seat.
    pub(crate) retiring: Vec<SocketAddr>,
}

/// The state that a host reports to the leader of the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    pub(crate) requester: RequesterId,
    pub(crate) role: HostRole,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    pub(crate) plan: PlanVersion,
    /// The leader's term and the version of the directory that the host holds.
    pub(crate) directory: (u64, u64),
    pub(crate) active: Vec<ActiveRun>,
    /// What the host learned of servers and streams since the last call.
    pub(crate) reports: ServerReports,
    /// The requests left in the reserves that the host holds.
    pub(crate) reserves: Vec<(TeamName, u32)>,
    /// Whether the host's view is so old that it may have admitted requests on its own.
    pub(crate) detached: bool,
    /// The leader's term and the version of the roster that the host holds.
    pub(crate) roster: (u64, u64),
    /// The leader's term and the version of the quarantine that the host holds.
    pub(crate) quarantine: (u64, u64),
    /// What the leader before had in quarantine, if this leader did not know it.
    pub(crate) quarantined: Vec<QuarantinedSegments>,
    pub(crate) tunnels: TunnelReport,
    pub(crate) store: Option<StoreReport>,
    /// The crashes that the leader before knew of or that this host could not report, if this
    /// leader may not know them.
    pub(crate) crashes: Tail<Vec<OpenCrash>>,
    /// Completed runs that speak against crashes, and whose slots the leader may not know.
    pub(crate) proven: Tail<Vec<(ServiceName, RequestTraits)>>,
}

/// What a host offers and needs to reach servers through tunnels.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelReport {
    /// Whether the host opens tunnels for others: it reaches servers itself.
    pub(crate) offers: bool,
    /// Whether the host needs tunnels.
    pub(crate) needs: bool,
}

/// The state of the job group that all hosts need.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoreView {
    /// The bootstrap members, once they are decided.
    pub(crate) bootstrap_members: Option<BTreeMap<SeatId, SocketAddr>>,
    /// The host that leads the group, if known.
    pub(crate) leader: Option<SocketAddr>,
    /// All store hosts that synced recently.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The store hosts that get no seat: they are being drained, or were. Hosts of other roles
    /// are sent none.
    pub(crate) retiring: Vec<SocketAddr>,
}

/// The leader's reply to a sync.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// All control hosts that synced recently.
    pub(crate) hosts: Vec<SocketAddr>,
    /// The plan, if it is newer than the one that the host holds.
    pub(crate) plan: Option<Encoded<RawPlan>>,
    /// The directory of servers, if it differs from the one that the host holds.
    pub(crate) directory: Option<((u64, u64), EncodedDirectory)>,
    /// Requests added to the reserves that the host holds.
    pub(crate) reserves: Vec<(TeamName, u32)>,
    /// The entry hosts, if they differ from those that the host knows.
    pub(crate) roster: Option<RosterUpdate>,
    /// The prompt segments in quarantine, if they differ from those that the host holds.
    pub(crate) quarantine: Option<QuarantineUpdate>,
    /// Some entry hosts that offer tunnels, if the host needs them.
    pub(crate) tunnel_hosts: Option<Vec<RosterMember>>,
    pub(crate) store: StoreView,
    /// The crashes that led to no quarantine of segments yet.
    pub(crate) crashes: Tail<Vec<OpenCrash>>,
}

/// A value that is encoded once for all hosts to which it goes. A large plan or directory
/// takes the leader longer to encode than the rest of a sync.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Encoded<T> {
    bytes: Bytes,
    #[serde(skip)]
    kind: PhantomData<T>,
}

impl<T: Serialize + DeserializeOwned> Encoded<T> {
    /// Encodes a value; returns `None` and logs under `part` if that fails.
    pub(crate) fn new(part: &str, value: &T) -> Option<Self> {
        let bytes = encode(part, value)?;
        let kind = PhantomData;
        Some(Self { bytes, kind })
    }

    pub(crate) fn decode(&self) -> Result<T, postcard::Error> {
        postcard::from_bytes(&self.bytes)
    }
}

/// The servers of a directory and their versions.
#[derive(Clone, Debug)]
pub(crate) struct ServerDirectory {
    pub(crate) servers: Vec<ServerCheckIn>,
    /// The versions; leaders of earlier builds send none.
    pub(crate) versions: Option<VersionList>,
}

/// An encoded [`ServerDirectory`]: the servers, followed by the versions. Earlier builds read
/// the servers alone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EncodedDirectory(Encoded<Vec<ServerCheckIn>>);

impl EncodedDirectory {
    /// Encodes a directory; returns `None` and logs if that fails.
    pub(crate) fn new(servers: &[ServerCheckIn], versions: &VersionList) -> Option<Self> {
        let bytes = encode("directory", &(servers, versions))?;
        let kind = PhantomData;
        Some(Self(Encoded { bytes, kind }))
    }

    pub(crate) fn decode(&self) -> Result<ServerDirectory, postcard::Error> {
        let (servers, rest) = postcard::take_from_bytes(&self.0.bytes)?;
        let versions = match rest {
            [] => None,
            rest => Some(postcard::from_bytes(rest)?),
        };
        Ok(ServerDirectory { servers, versions })
    }
}

/// The entry hosts that a host needs to know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RosterUpdate {
    /// The leader's term and the version of its roster.
    pub(crate) number: (u64, u64),
    /// The hosts of the receiver's zone, if it is an entry host.
    pub(crate) zone: ZoneRoster,
    /// The hosts of all zones, if the receiver is a control host, which may lead next.
    pub(crate) members: Vec<RosterMember>,
}

/// The prompt segments in quarantine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct QuarantineUpdate {
    /// The leader's term and the version of its quarantine.
    pub(crate) number: (u64, u64),
    pub(crate) segments: Vec<QuarantinedSegments>,
}

/// The reply of the leader of the control group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ControlAnswer {
    /// Reply to [`ControlCall::RequestSlot`].
    Slot(SlotDecision),
    /// The slot request was made under a plan that is no longer in force.
    StalePlan,
    /// Reply to [`ControlCall::Sync`].
    Synced(Box<SyncAnswer>),
    /// The call took effect.
    Done,
    /// The group does not have enough members yet to store a first plan safely.
    TooFewMembers,
    /// Reply to [`ControlCall::ReadPlan`].
    Document(Option<Vec<u8>>),
    /// Reply to [`ControlCall::RetireState`]: whether the host is drained.
    Retired(bool),
    /// There is no such host.
    UnknownHost,
    /// Too few store hosts would remain.
    TooFewHosts,
    /// Reply to [`ControlCall::Join`] and [`ControlCall::LeaveSeat`].
    Seat(JoinAnswer),
    /// There is no such zone.
    UnknownZone,
    /// Reply to [`ControlCall::ZoneDrains`].
    ZoneDrains(Vec<ZoneDrain>),
    /// Reply to [`ControlCall::Explain`]: the [`PlacementReport`](crate::PlacementReport) as
    /// JSON, so that hosts of other builds pass on what they do not know.
    Explained(Vec<u8>),
    /// The question has no answer.
    QuestionRefused(QuestionError),
    /// Reply to [`ControlCall::Leave`] as a query: the known incarnation of the server.
    Incarnation(Option<u64>),
    /// Reply to [`OrderStage::NumberWanted`].
    OrderNumber(OrderNumber),
    /// Another order on the subject was decided since the number was read; this one has no
    /// effect.
    StaleOrder,
}

/// A call to the job group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum BatchCall {
    /// Proposes a command for the replicated state. A submission brings the version of the plan
    /// by which it was decided on; hosts of earlier builds do not tell.
    Change(BatchCommand, Tail<Option<PlanVersion>>),
    /// Reads a page of results.
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
    /// Requests a seat in the job group.
    Join(JoinRequest),
    /// Asks for the replacement of a stopping host in the job group.
    LeaveSeat(JoinRequest),
    /// Reads who may access a job.
    Owner { job: String },
    /// Reads what the broker would be asked for an item.
    ItemSlot { job: String, item: String },
}

/// What the broker would be asked for an item without a result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ItemSlot {
    /// The state of the item in the schedule.
    pub(crate) state: String,
    pub(crate) route: RouteName,
    pub(crate) team: Option<TeamName>,
    pub(crate) slot_request: SlotRequest,
    /// The homes of the request, which its encoding leaves out.
    pub(crate) homes: Option<BTreeSet<AreaName>>,
}

/// The reply of the leader of the job group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum BatchReply {
    /// Reply to [`BatchCall::Change`].
    Changed(chicoryladder_batch::BatchAnswer),
    /// Reply to [`BatchCall::Page`].
    Page(Option<JobPage>),
    /// Reply to [`BatchCall::Body`].
    Body(Option<Vec<u8>>),
    /// Reply to [`BatchCall::Join`] and [`BatchCall::LeaveSeat`].
    Seat(JoinAnswer),
    /// Reply to [`BatchCall::Owner`]; `None` if there is no such job.
    Owner(Option<JobOwner>),
    /// Reply to [`BatchCall::ItemSlot`]; `None` if there is no such item without a result.
    ItemSlot(Option<Box<ItemSlot>>),
    /// The submission was decided on by an older plan than this one, which is in force; it had
    /// no effect.
    StalePlan(PlanVersion),
}

/// The reply of any member of a group to a call for its leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum GroupReply<T> {
    /// The host does not lead; the call had no effect.
    NotLeader {
        /// The host that leads, if known.
        leader: Option<SocketAddr>,
    },
    /// The leadership was lost during the call; it may have taken effect.
    OutcomeUnknown,
    /// The reply of the leader.
    Answer(T),
}

impl<T> GroupReply<T> {
    /// The reply of a host that does not lead, with the leader that it knows of.
    /// The address of this host is left out, so that it never refers a caller to itself.
    pub(crate) fn not_leader(status: &GroupStatus, own_address: SocketAddr) -> Self {
        let leader = status.leader.filter(|leader| *leader != own_address);
        Self::NotLeader { leader }
    }
}

/// Encodes a message; returns `None` and logs under `part` if that fails.
pub(crate) fn encode(part: &str, message: &impl Serialize) -> Option<Bytes> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("{part}: failed to encode a message: {error}.");
            None
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chicoryladder_broker::{ProvenWork, RunOutcome, ServerPhase, WorkKind};
    use chicoryladder_policy::quarantine::{RequestFingerprint, ServerCrash};
    use chicoryladder_types::{ServerGeneration, SoftwareVersion};

    /// The notices of the build before stated work, up to the release of a slot.
    #[derive(Debug, Serialize, Deserialize)]
    enum EarlierNotice {
        Seat(SeatEnvelope),
        Release {
            requester: RequesterId,
            report: RunReport,
            crashed: Option<Box<CrashedRun>>,
        },
    }

    /// Guards against slots that stay occupied during an upgrade, since the notice that
    /// releases them is not understood by hosts of the other build.
    #[test]
    fn releases_are_read_by_and_from_earlier_builds() {
        let requester = RequesterId {
            host: HostName::try_from("entry-1").expect("it is valid"),
            incarnation: 1,
        };
        let report = RunReport {
            ticket: 7,
            outcome: RunOutcome::Served,
            load: None,
            first_answer: Some(Duration::from_millis(40)),
            refund: false,
            completed: ProvenWork::Requested,
        };
        let earlier = EarlierNotice::Release {
            requester: requester.clone(),
            report: report.clone(),
            crashed: None,
        };
        let bytes = postcard::to_stdvec(&earlier).expect("it encodes");
        let read: Notice = postcard::from_bytes(&bytes).expect("it decodes");
        assert!(
            matches!(read, Notice::Release { work: Tail(None), took: Tail(None), report: read, .. } if read == report)
        );
        let work = WorkPercent::try_from(182.0).expect("it is valid");
        let notice = Notice::Release {
            requester,
            report: report.clone(),
            crashed: None,
            work: Tail(Some(work)),
            took: Tail(Some(Duration::from_millis(40))),
        };
        let bytes = postcard::to_stdvec(&notice).expect("it encodes");
        let read: Notice = postcard::from_bytes(&bytes).expect("it decodes");
        assert!(matches!(
            read,
            Notice::Release { work: Tail(Some(read)), took: Tail(Some(took)), .. }
                if read == work && took == Duration::from_millis(40)
        ));
        let read: EarlierNotice = postcard::from_bytes(&bytes).expect("it decodes");
        assert!(matches!(read, EarlierNotice::Release { report: read, .. } if read == report));
    }

    /// The fields of a [`SlotCall`] of earlier builds.
    type EarlierSlotCall = (RequesterId, PlanVersion, SlotRequest, ServerReports);

    fn slot_call() -> SlotCall {
        let route = RouteName::try_from("chat").expect("it is valid");
        SlotCall {
            requester: RequesterId {
                host: HostName::try_from("entry-1").expect("it is valid"),
                incarnation: 1,
            },
            plan: PlanVersion(1),
            slot_request: SlotRequest {
                ticket: 1,
                service: ServiceName::try_from("engine").expect("it is valid"),
                kind: WorkKind::Online,
                rank: 0,
                zone: ZoneName::try_from("a").expect("it is valid"),
                charged_team: None,
                prompt: Vec::new(),
                fingerprint: RequestFingerprint::new(None, &route, "/chat", b"body"),
                tokens: 1,
                stream: None,
                avoid: Vec::new(),
                first_answer_within: Duration::from_millis(300),
                wait_max: Duration::from_millis(300),
                homes: None,
            },
            reports: ServerReports::default(),
            answers: Tail::default(),
            terms: Tail(Some(CallerTerms {
                team: Some(TeamName::try_from("t").expect("it is valid")),
                returned: true,
                target_left: Duration::from_millis(300),
                time_left: Duration::from_secs(4),
            })),
            homes: Tail(Some(BTreeSet::from([
                AreaName::try_from("north").expect("it is valid")
            ]))),
        }
    }

    /// During an upgrade, check-ins are relayed between builds that tell whether a server omits
    /// how long it stays cold, and builds that do not; one that cannot be decoded would be lost.
    #[test]
    fn check_ins_are_read_by_earlier_builds_and_from_them() {
        let check_in = ServerCheckIn {
            name: ServerName::try_from("s1").expect("it is valid"),
            incarnation: 1,
            sequence: 2,
            service: ServiceName::try_from("engine").expect("it is valid"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            zone: ZoneName::try_from("a").expect("it is valid"),
            version: SoftwareVersion::from("v1"),
            slots: 8,
            phase: ServerPhase::Ready,
            warmup_remaining: Duration::ZERO,
        };
        let received = ReceivedCheckIn {
            check_in: check_in.clone(),
            omits_warmup: Tail(true),
        };
        let bytes = postcard::to_stdvec(&received).expect("it is encoded");
        let earlier: ServerCheckIn = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(earlier, check_in);
        let same: ReceivedCheckIn = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(same, received);
        let bytes = postcard::to_stdvec(&check_in).expect("it is encoded");
        let later: ReceivedCheckIn = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(later, check_in.into());
    }

    /// During an upgrade, commands are sent between builds with and without the plan by which
    /// they were decided on; one that cannot be decoded would be lost.
    #[test]
    fn commands_are_read_by_earlier_builds_and_from_them() {
        let command = BatchCommand::Remove {
            job: "a".to_owned(),
        };
        let call = BatchCall::Change(command.clone(), Tail(Some(PlanVersion(300))));
        let bytes = postcard::to_stdvec(&call).expect("it is encoded");
        let earlier = postcard::to_stdvec(&(0u32, &command)).expect("it is encoded");
        assert!(
            bytes.starts_with(&earlier),
            "what earlier builds read comes first"
        );
        let later = postcard::from_bytes(&earlier).expect("it is decoded");
        assert!(matches!(later, BatchCall::Change(read, Tail(None)) if read == command));
        let same = postcard::from_bytes(&bytes).expect("it is decoded");
        assert!(matches!(
            same,
            BatchCall::Change(_, Tail(Some(PlanVersion(300))))
        ));
    }

    /// During an upgrade, departures and orders are relayed between builds that read first to
    /// what they apply, and builds that do not; one that cannot be decoded would be lost.
    #[test]
    fn departures_and_orders_are_read_by_earlier_builds_and_from_them() {
        let name = ServerName::try_from("s1").expect("it is valid");
        let query = ControlCall::Leave {
            name: name.clone(),
            incarnation: None,
            is_query: Tail(true),
        };
        let host = HostName::try_from("store-1").expect("it is valid");
        let order = ControlCall::BeginRetire {
            host,
            stage: Tail(OrderStage::NumberWanted),
        };
        for call in [query, order] {
            let bytes = postcard::to_stdvec(&call).expect("it is encoded");
            // The last byte is the tail, which earlier builds neither send nor read.
            let later: ControlCall =
                postcard::from_bytes(&bytes[..bytes.len() - 1]).expect("it is decoded");
            assert!(matches!(
                later,
                ControlCall::Leave {
                    is_query: Tail(false),
                    ..
                } | ControlCall::BeginRetire {
                    stage: Tail(OrderStage::Unnumbered),
                    ..
                }
            ));
            let same: ControlCall = postcard::from_bytes(&bytes).expect("it is decoded");
            assert_eq!(postcard::to_stdvec(&same), Ok(bytes));
        }
    }

    /// During an upgrade, slots are requested between builds with and without the terms of
    /// callers and homes; a call that cannot be decoded would be lost.
    #[test]
    fn slot_calls_are_read_by_earlier_builds_and_from_them() {
        let call = slot_call();
        let bytes = postcard::to_stdvec(&call).expect("it is encoded");
        let earlier: EarlierSlotCall = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(earlier.2, call.slot_request);
        let same: SlotCall = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(same.terms, call.terms);
        assert_eq!(same.homes, call.homes);
        let bytes = postcard::to_stdvec(&earlier).expect("it is encoded");
        let later: SlotCall = postcard::from_bytes(&bytes).expect("it is decoded");
        assert_eq!(later.terms, Tail(None));
        assert_eq!(later.homes, Tail(None));
        assert_eq!(later.slot_request, call.slot_request);
    }

    /// Guards against calls and replies that hosts of earlier builds read as others: postcard
    /// encodes the position of a variant, so that new ones have to come last.
    #[test]
    fn calls_of_earlier_builds_keep_their_positions() {
        let first = |bytes: Result<Vec<u8>, postcard::Error>| bytes.expect("it is encoded")[0];
        assert_eq!(first(postcard::to_stdvec(&ControlCall::ZoneDrains)), 11);
        let drains = ControlAnswer::ZoneDrains(Vec::new());
        assert_eq!(first(postcard::to_stdvec(&drains)), 11);
        let job = "job".to_owned();
        assert_eq!(first(postcard::to_stdvec(&BatchCall::Owner { job })), 5);
        assert_eq!(first(postcard::to_stdvec(&BatchReply::Owner(None))), 4);
    }

    /// Guards against an item that is explained without its homes, which the encoding of a slot
    /// request leaves out.
    #[test]
    fn the_homes_of_an_item_survive_the_way_to_the_leader() {
        let homes = BTreeSet::from([AreaName::try_from("north").expect("it is valid")]);
        let slot = ItemSlot {
            state: "waiting".to_owned(),
            route: RouteName::try_from("digest").expect("it is valid"),
            team: None,
            slot_request: slot_call().slot_request,
            homes: Some(homes.clone()),
        };
        let reply = BatchReply::ItemSlot(Some(Box::new(slot)));
        let bytes = postcard::to_stdvec(&reply).expect("it is encoded");
        let read: BatchReply = postcard::from_bytes(&bytes).expect("it is decoded");
        assert!(matches!(read, BatchReply::ItemSlot(Some(slot)) if slot.homes == Some(homes)));
    }

    /// Guards against hosts that get no view during an upgrade, since replies of leaders of the
    /// other build are not understood.
    #[test]
    fn replies_to_syncs_are_read_by_and_from_earlier_builds() {
        let reply = |crashes| SyncAnswer {
            hosts: Vec::new(),
            plan: None,
            directory: None,
            reserves: Vec::new(),
            roster: None,
            quarantine: None,
            tunnel_hosts: None,
            store: StoreView::default(),
            crashes: Tail(crashes),
        };
        let bytes = postcard::to_stdvec(&reply(Vec::new())).expect("it encodes");
        // An earlier build writes all but the length of the list, which is the last byte.
        let earlier = &bytes[..bytes.len() - 1];
        let read: SyncAnswer = postcard::from_bytes(earlier).expect("it decodes");
        assert_eq!(read.crashes, Tail(Vec::new()));
        let crash = OpenCrash {
            service: ServiceName::try_from("engine").expect("it is valid"),
            crash: ServerCrash {
                server: ServerName::try_from("i-1").expect("it is valid"),
                generation: ServerGeneration(3),
            },
            age: Duration::from_secs(2),
            runs: Vec::new(),
        };
        let bytes = postcard::to_stdvec(&reply(vec![crash.clone()])).expect("it encodes");
        assert!(bytes.starts_with(earlier));
        let read: SyncAnswer = postcard::from_bytes(&bytes).expect("it decodes");
        assert_eq!(read.crashes, Tail(vec![crash]));
    }
}

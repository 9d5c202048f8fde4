//! Assigns requests to backend servers and schedules when they run.
//!
//! One broker serves the whole fleet at a time, on the leader of the control group.
//! Every entry host requests a slot from it before it sends a request. The broker
//! therefore knows the exact load of each server, whereas entry hosts that choose
//! independently would pick the same idle server at the same moment. The rate
//! limits of teams are kept here as well, so a single call checks both.
//!
//! Engines have no priorities and cannot evict a request that they have admitted.
//! The broker therefore never runs more on an engine than fits its batch, queues
//! the remaining requests in its own order, and preempts a batch item when an
//! online request needs its slot.
//!
//! The crate does no I/O and reads no clock: callers pass the time in, and
//! [`SlotBroker::take_events`] returns the messages to send.

mod admission;
mod answer_model;
mod brokerless;
mod cold_servers;
mod departures;
mod directory;
mod explanation;
mod grants;
mod homes;
mod pacing;
mod placement;
mod pool;
mod prompt_cache;
mod rate;
mod request;
mod reserves;
mod roster;
mod server_limits;
mod server_pace;
mod slots;
mod streams;
mod tunnel_hosts;
mod versions;

pub use admission::CallerTerms;
pub use brokerless::{BrokerlessView, EngineMemory, servers_for_zone};
pub use cold_servers::{
    ColdChange, ColdPace, ColdServerView, ColdSource, ColdTolerance, SentTimes,
};
pub use departures::{DepartureReport, DepartureSource, LeavingServers};
pub use directory::{CheckInOutcome, ReceivedCheckIn, ServerCheckIn, ServerPhase, ServerRecord};
pub use explanation::{
    BindingLimits, CandidateFigures, CandidateList, ColdFigures, ExplainedOutcome,
    QuarantineStanding, RateFigures, RefusedFor, ServerObstacle, SlotExplanation, SpeedFigures,
};
pub use grants::{ActiveRun, CrashedRun, ProvenWork, RunOutcome, RunReport};
pub use homes::ZoneAreas;
pub use rate::{RateLedger, RateTolerance};
pub use request::{
    BrokerEvent, ExpectedAnswer, PoolLoad, PromptSegment, RequesterId, ServerSuspension,
    SlotDecision, SlotRefusalReason, SlotRequest, WorkKind, shared_segments,
};
pub use reserves::{HeldReserves, ReserveTerms, SELF_REFILL_AFTER};
pub use roster::{
    EntryRoster, HolderRing, ReserveHolders, RosterMember, RosterSettings, ZoneRoster,
};
pub use server_limits::{InvalidLimit, LimitReport, LimitStatement, NamedLimits, ServerLimit};
pub use server_pace::{AnswerReport, InvalidWorkPercent, WorkPercent};
pub use slots::{BrokerSettings, PromptTokenCount, SlotBroker};
pub use streams::{StreamId, StreamPart, StreamReport, StreamVersions};
pub use tunnel_hosts::choose_tunnel_hosts;
pub use versions::{ListedVersion, VERSION_NOTICE, VersionList, VersionRecord, VersionStep};

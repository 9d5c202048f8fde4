//! What the broker would decide on a request, and the figures that decide.
//!
//! The types are read by operators as JSON, so the names of their fields are part of the
//! interface. Times and ages are in milliseconds.

use crate::cold_servers::ColdSource;
use crate::request::{PoolLoad, SlotRefusalReason};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{AreaName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Why a server has no slot for a request at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerObstacle {
    /// The server finishes its runs and accepts no more.
    Leaving,
    /// Its check-ins have been missing for too long.
    Lost,
    /// It is suspended after failures.
    Suspended,
    /// It failed, and its check-in is overdue.
    Silent,
    /// Its zone is drained.
    Drained,
    /// All its slots are used, but for those that items leave free.
    NoFreeSlot,
    /// Its memory has no room for the tokens of the request.
    NoMemory,
    /// Its version is not the one that the stream requires, or begins no streams yet.
    Version,
    /// Its zone is in no area that the route and the team allow.
    OutsideHomes,
    /// The request avoids it.
    Avoided,
    /// The limit that it names is used up.
    Limited,
    /// It is cold, and its pace allows no further request yet.
    Cold,
}

impl ServerObstacle {
    /// Those that depend on the request, with the most frequent one first, since the choice of
    /// a server looks no further.
    pub(crate) const OF_REQUESTS: [Self; 7] = [
        Self::NoFreeSlot,
        Self::NoMemory,
        Self::Version,
        Self::OutsideHomes,
        Self::Avoided,
        Self::Limited,
        Self::Cold,
    ];

    /// The name in the output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Lost => "lost",
            Self::Suspended => "suspended",
            Self::Silent => "silent",
            Self::Drained => "drained",
            Self::NoFreeSlot => "no_free_slot",
            Self::NoMemory => "no_memory",
            Self::Version => "version",
            Self::OutsideHomes => "outside_homes",
            Self::Avoided => "avoided",
            Self::Limited => "limited",
            Self::Cold => "cold",
        }
    }
}

/// What would become of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum ExplainedOutcome {
    /// It would be sent to a server at once.
    Sent {
        /// The server.
        server: ServerName,
        /// Whether an item would have to give up its slot there.
        preempts_item: bool,
    },
    /// It would be queued.
    Queued {
        /// The expected wait; `None` for items.
        predicted_wait_ms: Option<u64>,
        /// The longest wait after which it is refused.
        wait_max_ms: u64,
        /// Whether it would count as one that can no longer meet its target.
        is_late: bool,
        /// Whether it would wait although servers have free slots, until it is known what else
        /// was in flight as servers crashed under it.
        is_undecided: bool,
    },
    /// It would be refused at once.
    Refused {
        /// The reason.
        reason: RefusedFor,
        /// The delay after which a retry is likely to succeed, without what is added at random
        /// to disperse retries.
        retry_after_ms: u64,
    },
}

/// The reason for which a request would be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusedFor {
    /// The team exceeded its rate and burst.
    RateExceeded,
    /// No slot becomes free in time.
    NoSlot,
    /// The service has no server that is ready.
    NoServer,
    /// No ready server has the version that the stream requires.
    VersionGone,
    /// The version that began the stream is not known.
    VersionUnknown,
    /// Servers crashed under the request, or under others with a segment of its prompt.
    Quarantined,
    /// No ready server is in an area that the route and the team allow.
    NoHomeServer,
}

impl RefusedFor {
    /// The name in the output.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RateExceeded => "rate_exceeded",
            Self::NoSlot => "no_slot",
            Self::NoServer => "no_server",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::Quarantined => "quarantined",
            Self::NoHomeServer => "no_home_server",
        }
    }
}

impl From<SlotRefusalReason> for RefusedFor {
    fn from(reason: SlotRefusalReason) -> Self {
        match reason {
            // The broker itself never refuses for a reserve, which hosts hold.
            SlotRefusalReason::RateExceeded | SlotRefusalReason::NoReserve => Self::RateExceeded,
            SlotRefusalReason::NoSlot(_) => Self::NoSlot,
            SlotRefusalReason::NoServer => Self::NoServer,
            SlotRefusalReason::VersionGone => Self::VersionGone,
            SlotRefusalReason::VersionUnknown => Self::VersionUnknown,
            SlotRefusalReason::Quarantined(_) => Self::Quarantined,
            SlotRefusalReason::NoHomeServer => Self::NoHomeServer,
        }
    }
}

/// Whether the segments of a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineStanding {
    /// They may.
    Clear,
    /// The request would be the next trial of a segment that is held.
    Trial,
    /// They are refused at present.
    Refused,
}

/// What the rate of a team allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateFigures {
    /// The requests a second.
    pub per_second: f64,
    /// The requests that may exceed the rate in a burst.
    pub burst: f64,
    /// The requests that may be admitted at once.
    pub available: f64,
    /// The time until the next one may be; `None` if one may be at once.
    pub wait_ms: Option<u64>,
}

/// The limits that bind a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BindingLimits {
    /// The rate of the team that is charged, if it has one.
    pub rate: Option<RateFigures>,
    /// The quarantine of the prompt's segments.
    pub quarantine: QuarantineStanding,
    /// The areas whose servers may run the request; `None` for all.
    pub homes: Option<BTreeSet<AreaName>>,
    /// The zones whose servers get no work.
    pub drained_zones: BTreeSet<ZoneName>,
    /// The only version that may run the request, if it is bound to one.
    pub version: Option<SoftwareVersion>,
}

/// The coldness of a server that is paced.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdFigures {
    /// What the belief rests on; `None` if only its limit is as strict as that of cold servers.
    pub source: Option<ColdSource>,
    /// The time for which the server stays cold, as far as the broker was told.
    pub remaining_ms: u64,
    /// The requests a second that the broker grants.
    pub per_second: f64,
}

/// What is believed of the speed of a server, where that is weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedFigures {
    /// The time that work takes, in percent of the usual time.
    pub pace_percent: u32,
    /// The expected time to the first part of the answer.
    pub first_answer_ms: u64,
    /// The age of the figure that the server stated last, while it counts.
    pub stated_age_ms: Option<u64>,
    /// The age of the last answer from which the pace was learnt.
    pub observed_age_ms: Option<u64>,
}

/// A server of the service, with the figures that decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateFigures {
    /// The server.
    pub server: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its version.
    pub version: SoftwareVersion,
    /// Why it would not be chosen now, whatever the others cost; empty if it may be.
    pub obstacles: Vec<ServerObstacle>,
    /// The cost by which the servers without obstacles are compared; the lowest one is chosen.
    /// Costs of different services do not compare.
    pub cost: f64,
    /// The number of requests that it may run.
    pub slots: u32,
    /// The number of free slots.
    pub free_slots: u32,
    /// The online requests that run there.
    pub running_online: u32,
    /// The items that run there.
    pub running_items: u32,
    /// The tokens of engine memory that its runs occupy.
    pub tokens: u64,
    /// The tokens that fit in its memory; `None` without engines.
    pub memory_tokens: Option<u64>,
    /// The used share of its slots, or of a burst within its limits.
    pub used_share: f64,
    /// The tokens of the prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// What is believed of its speed; `None` where that is not weighed.
    pub speed: Option<SpeedFigures>,
    /// Its coldness, if it is paced.
    pub cold: Option<ColdFigures>,
    /// The requests a second that it names as its limit.
    pub limit_per_second: Option<f64>,
    /// The age of the answer that named the limit last, or none.
    pub limit_age_ms: Option<u64>,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// The time until its suspension ends.
    pub suspended_ms: Option<u64>,
    /// The age of its last check-in. The counts of runs and tokens are the broker's own and
    /// have no age.
    pub check_in_age_ms: u64,
}

/// What would be decided on a request, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotExplanation {
    /// What would become of the request.
    #[serde(flatten)]
    pub outcome: ExplainedOutcome,
    /// The limits that bind.
    pub limits: BindingLimits,
    /// The load of the service.
    pub load: PoolLoad,
    /// Whether the speed and memory of servers are weighed, in which case costs are in
    /// milliseconds.
    pub weighs_speed: bool,
    /// Whether requests compete for slots by their targets and teams.
    pub uses_targets: bool,
    /// The servers of the service.
    #[serde(flatten)]
    pub candidates: CandidateList,
}

/// The servers of a service as candidates for a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CandidateList {
    /// The number of servers.
    pub servers: usize,
    /// The number of servers with each obstacle.
    pub obstacles: BTreeMap<ServerObstacle, usize>,
    /// The first servers, at most [`Self::LISTED_MAX`]: those without obstacles before the others,
    /// by their costs. Those of equal cost are in the order in which the choice prefers them.
    pub candidates: Vec<CandidateFigures>,
}

impl CandidateList {
    /// The most servers that are listed with their figures. The figures of thousands of servers
    /// would take the leader and its link longer than many decisions.
    pub const LISTED_MAX: usize = 64;
}

/// A time in whole milliseconds.
pub(crate) fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

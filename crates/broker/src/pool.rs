//! The request queues of a service and the average duration of its runs.

use crate::admission::{CallerTerms, QueuePosition, ServiceAdmission};
use crate::answer_model::AnswerModel;
use crate::cold_servers::ColdPace;
use crate::grants::ServerKey;
use crate::request::{RequesterId, SlotRequest, WorkKind};
use crate::versions::SeenVersions;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The weight of a new sample in a moving average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The time in a slot that is assumed before any run has ended.
const INITIAL_HOLD_SECONDS: f64 = 0.5;

/// The time to the beginning of a response that is assumed before any run has
/// begun.
const INITIAL_FIRST_ANSWER_SECONDS: f64 = 0.05;

/// A request that is queued for a slot.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) requester: RequesterId,
    pub(crate) request: SlotRequest,
    /// Until when it is worth serving.
    pub(crate) until: Instant,
    /// Until when it can be served in time.
    pub(crate) in_time_until: Instant,
    /// What its host told of the caller, where requests compete by their targets.
    pub(crate) terms: Option<CallerTerms>,
    /// Whether it was not known at its arrival what else was in flight at its crashes.
    pub(crate) was_undecided: bool,
}

impl WaitingRequest {
    /// Whether less than half of the wait is over.
    pub(crate) fn is_patient(&self, now: Instant) -> bool {
        self.until.saturating_duration_since(now) > self.request.wait_max / 2
    }

    /// The team with which the request shares the servers.
    pub(crate) fn team(&self) -> Option<&TeamName> {
        match &self.terms {
            Some(terms) => terms.team.as_ref(),
            None => self.request.charged_team.as_ref(),
        }
    }
}

/// Moving averages over the runs of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunAverages {
    /// The time in a slot, in seconds.
    pub(crate) hold_seconds: f64,
    /// The time from sending a request to the beginning of its response, in seconds.
    pub(crate) first_answer_seconds: f64,
}

impl Default for RunAverages {
    fn default() -> Self {
        Self {
            hold_seconds: INITIAL_HOLD_SECONDS,
            first_answer_seconds: INITIAL_FIRST_ANSWER_SECONDS,
        }
    }
}

impl RunAverages {
    pub(crate) fn record_hold(&mut self, hold: Duration) {
        self.hold_seconds += (hold.as_secs_f64() - self.hold_seconds) * AVERAGE_WEIGHT;
    }

    pub(crate) fn record_first_answer(&mut self, elapsed: Duration) {
        self.first_answer_seconds +=
            (elapsed.as_secs_f64() - self.first_answer_seconds) * AVERAGE_WEIGHT;
    }
}

/// The servers and queues of a service.
#[derive(Debug)]
pub(crate) struct ServicePool {
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) online: BTreeMap<QueuePosition, WaitingRequest>,
    pub(crate) batch: BTreeMap<QueuePosition, WaitingRequest>,
    pub(crate) averages: RunAverages,
    pub(crate) admission: ServiceAdmission,
    /// The versions of the servers.
    pub(crate) versions: SeenVersions,
    /// The token capacity of an engine's memory; `None` for services without engines.
    pub(crate) engine_tokens: Option<u64>,
    /// The pace of cold servers; `None` if the service's servers are never cold.
    pub(crate) cold_pace: Option<ColdPace>,
    /// Whether a server has stated how long work takes on it.
    pub(crate) states_work: bool,
    /// The time to the first part of an answer, if the servers are weighed.
    pub(crate) answers: AnswerModel,
}

impl ServicePool {
    pub(crate) fn new() -> Self {
        Self {
            servers: Vec::new(),
            online: BTreeMap::new(),
            batch: BTreeMap::new(),
            averages: RunAverages::default(),
            admission: ServiceAdmission::default(),
            versions: SeenVersions::default(),
            engine_tokens: None,
            cold_pace: None,
            states_work: false,
            answers: AnswerModel::default(),
        }
    }

    pub(crate) fn queue(&mut self, kind: WorkKind) -> &mut BTreeMap<QueuePosition, WaitingRequest> {
        match kind {
            WorkKind::Online => &mut self.online,
            WorkKind::Batch => &mut self.batch,
        }
    }

    /// Removes a queued request that gets no slot.
    pub(crate) fn remove_unserved(
        &mut self,
        kind: WorkKind,
        position: QueuePosition,
    ) -> Option<WaitingRequest> {
        let waiting = self.queue(kind).remove(&position)?;
        if kind == WorkKind::Online {
            self.admission.record_unserved(position, waiting.team());
        }
        Some(waiting)
    }

    /// Removes queued requests that get no slot.
    pub(crate) fn remove_all_unserved(
        &mut self,
        kind: WorkKind,
        positions: &[QueuePosition],
    ) -> Vec<WaitingRequest> {
        let removed = positions.iter();
        removed
            .filter_map(|position| self.remove_unserved(kind, *position))
            .collect()
    }

    /// The number of queued online requests ahead of a new one of the given rank.
    pub(crate) fn queued_ahead(&self, rank: u32) -> usize {
        let last = QueuePosition::behind_rank(rank);
        self.online.range(..=last).count()
    }

    /// The number of queued online requests ahead of a new one that have the same homes.
    pub(crate) fn homed_ahead(&self, request: &SlotRequest) -> usize {
        let last = QueuePosition::behind_rank(request.rank);
        let ahead = self.online.range(..=last);
        ahead
            .filter(|(_, waiting)| waiting.request.homes == request.homes)
            .count()
    }
}

/// The expected wait of a request behind `ahead` others, of which servers take up
/// `all_per_second` a second, if those that may run this one take up `own_per_second`.
pub(crate) fn predicted_wait(ahead: usize, all_per_second: f64, own_per_second: f64) -> Duration {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    let wait = f64::from(ahead) / all_per_second + own_per_second.recip();
    Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
}

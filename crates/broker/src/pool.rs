//! The requests that wait for the servers of one service, and how fast these are.

use crate::ask::{RequesterId, SlotRequest, WorkKind};
use crate::grants::ServerKey;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The weight of a new measurement in an average.
const AVERAGE_WEIGHT: f64 = 0.05;

/// What is assumed of the time in a slot before any run has ended.
const HOLD_GUESS_SECONDS: f64 = 0.5;

/// What is assumed of the time to the first answer before any run has begun.
const FIRST_ANSWER_GUESS_SECONDS: f64 = 0.05;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) requester: RequesterId,
    pub(crate) ask: SlotRequest,
    pub(crate) until: Instant,
}

/// The order of waiting requests: rank, then arrival.
pub(crate) type WaitingPlace = (u32, u64);

/// Averages of what the runs of a service took.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunPace {
    /// The time in a slot, in seconds.
    pub(crate) hold: f64,
    /// The time from sending to the beginning of an answer, in seconds.
    pub(crate) first_answer: f64,
}

impl RunPace {
    pub(crate) fn note_hold(&mut self, hold: Duration) {
        self.hold += (hold.as_secs_f64() - self.hold) * AVERAGE_WEIGHT;
    }

    pub(crate) fn note_first_answer(&mut self, elapsed: Duration) {
        self.first_answer += (elapsed.as_secs_f64() - self.first_answer) * AVERAGE_WEIGHT;
    }
}

/// One service.
#[derive(Debug)]
pub(crate) struct ServicePool {
    pub(crate) servers: Vec<ServerKey>,
    pub(crate) online: BTreeMap<WaitingPlace, WaitingRequest>,
    pub(crate) batch: BTreeMap<WaitingPlace, WaitingRequest>,
    pub(crate) pace: RunPace,
    /// The tokens that fit an engine's memory; `None` for plain services.
    pub(crate) engine_tokens: Option<u64>,
}

impl ServicePool {
    pub(crate) fn new() -> Self {
        Self {
            servers: Vec::new(),
            online: BTreeMap::new(),
            batch: BTreeMap::new(),
            pace: RunPace {
                hold: HOLD_GUESS_SECONDS,
                first_answer: FIRST_ANSWER_GUESS_SECONDS,
            },
            engine_tokens: None,
        }
    }

    pub(crate) fn waiting(
        &mut self,
        kind: WorkKind,
    ) -> &mut BTreeMap<WaitingPlace, WaitingRequest> {
        match kind {
            WorkKind::Online => &mut self.online,
            WorkKind::Batch => &mut self.batch,
        }
    }

    /// Requests that go before a new one of the given rank.
    pub(crate) fn ahead_of(&self, rank: u32) -> usize {
        self.online.range(..=(rank, u64::MAX)).count()
    }

    /// The wait of the next request behind `ahead` others, if `slots` serve them.
    pub(crate) fn predicted_wait(&self, ahead: usize, slots: u32) -> Duration {
        if slots == 0 {
            return Duration::MAX;
        }
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait = f64::from(ahead.saturating_add(1)) * self.pace.hold / f64::from(slots);
        Duration::from_secs_f64(wait)
    }
}

//! How long work takes on a server at present, relative to the usual of its service.
//!
//! Two sources are combined. Servers may state the figure with each answer; it is exact but
//! changes many times a second, so it loses its weight within some hundred milliseconds. The
//! time to the first part of each answer, compared with the expected time, is noisy but tells
//! what persists.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};
use thiserror::Error;

/// The weight of a stated figure of age zero; the remainder belongs to the observed pace, in
/// case servers state figures that their answers contradict.
const STATED_WEIGHT: f64 = 0.8;

/// The age at which a stated figure has lost half of its weight.
const STATED_HALF_LIFE: Duration = Duration::from_millis(250);

/// The age from which a stated figure is ignored: it has 0.4 % of its weight left.
const STATED_AGE_MAX: Duration = Duration::from_secs(2);

/// The weight of an observation in the moving average. Four observations of a server that
/// became twice as slow move the estimate by two thirds of the difference.
const OBSERVED_WEIGHT: f64 = 0.25;

/// The largest difference from the average that one observation counts for, as a natural
/// logarithm: a factor of two. A single outlier moves the estimate by at most 19 %.
const OBSERVED_STEP_MAX: f64 = std::f64::consts::LN_2;

/// The time without observations for which the average stays as it is.
const OBSERVED_FRESH: Duration = Duration::from_secs(1);

/// The time constant of the return to the usual pace without observations. A server that
/// gets no work because it was slow is tried again after a few of these.
const OBSERVED_DECAY: Duration = Duration::from_secs(8);

/// Added to both sides of a comparison, in milliseconds, so that delays in the network and
/// in the scheduler of the host do not count as slowness of a server that answers quickly.
const JITTER_MS: f64 = 5.0;

/// The range of estimates. Beyond a factor of ten, a server is no longer slow but failing,
/// which suspensions deal with.
const PACE_RANGE: (f64, f64) = (0.25, 10.0);

/// The pace from which a server is counted as slow in the metrics.
const SLOW_FROM: f64 = 1.5;

/// The time that work takes on a server, in percent of the usual time, as the server states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkPercent(u16);

/// A stated figure that is no possible percentage of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
#[error("{0} is not a percentage of the usual time from 1 to 10,000")]
pub struct InvalidWorkPercent(f64);

impl TryFrom<f64> for WorkPercent {
    type Error = InvalidWorkPercent;

    fn try_from(percent: f64) -> Result<Self, Self::Error> {
        if !(1.0..=10_000.0).contains(&percent) {
            return Err(InvalidWorkPercent(percent));
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rounded = percent.round() as u16;
        Ok(Self(rounded))
    }
}

impl WorkPercent {
    /// The percentage, from 1 to 10,000.
    #[must_use]
    pub fn get(self) -> u16 {
        self.0
    }

    fn ln(self) -> f64 {
        // The figure may come from a message, which is not checked.
        (f64::from(self.0.max(1)) / 100.0).ln()
    }
}

/// What a host reports of a run whose answer has begun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The ticket of the slot.
    pub ticket: u64,
    /// The time from sending the request to the beginning of the response.
    pub first_answer: Duration,
    /// The time that work takes on the server, as stated in the response.
    pub work: Option<WorkPercent>,
}

/// The estimate of the pace of one incarnation of a server: 1 is the usual, 2 takes twice as
/// long.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerPace {
    stated: Option<(WorkPercent, Instant)>,
    /// The average of the observations, as a natural logarithm.
    observed: f64,
    observed_at: Option<Instant>,
}

impl ServerPace {
    /// Records a figure that the server stated at a time.
    pub(crate) fn record_stated(&mut self, work: WorkPercent, at: Instant) {
        if self.stated.is_none_or(|(_, known_at)| known_at <= at) {
            self.stated = Some((work, at));
        }
    }

    /// Records the time to the first part of an answer, compared with the time expected of a
    /// server of the usual pace, in milliseconds.
    pub(crate) fn record_answer(&mut self, actual_ms: f64, usual_ms: f64, now: Instant) {
        let sample = ((actual_ms + JITTER_MS) / (usual_ms + JITTER_MS)).ln();
        if !sample.is_finite() {
            return;
        }
        let average = self.observed(now);
        let step = (sample - average).clamp(-OBSERVED_STEP_MAX, OBSERVED_STEP_MAX);
        self.observed = average + step * OBSERVED_WEIGHT;
        self.observed_at = Some(now);
    }

    /// The age of the stated figure, while it counts.
    pub(crate) fn stated_age(&self, now: Instant) -> Option<Duration> {
        let (_, at) = self.stated?;
        let age = now.saturating_duration_since(at);
        (age < STATED_AGE_MAX).then_some(age)
    }

    /// The age of the last observation.
    pub(crate) fn observed_age(&self, now: Instant) -> Option<Duration> {
        let at = self.observed_at?;
        Some(now.saturating_duration_since(at))
    }

    /// The estimated pace.
    pub(crate) fn estimate(&self, now: Instant) -> f64 {
        let mut estimate = self.observed(now);
        if let (Some((work, _)), Some(age)) = (self.stated, self.stated_age(now)) {
            let halvings = age.as_secs_f64() / STATED_HALF_LIFE.as_secs_f64();
            let weight = STATED_WEIGHT * (-halvings).exp2();
            estimate += (work.ln() - estimate) * weight;
        }
        estimate.exp().clamp(PACE_RANGE.0, PACE_RANGE.1)
    }

    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.estimate(now) >= SLOW_FROM
    }

    fn observed(&self, now: Instant) -> f64 {
        let Some(at) = self.observed_at else {
            return 0.0;
        };
        let unobserved = now.saturating_duration_since(at);
        let Some(stale) = unobserved
            .checked_sub(OBSERVED_FRESH)
            .filter(|stale| !stale.is_zero())
        else {
            return self.observed;
        };
        self.observed * (-stale.as_secs_f64() / OBSERVED_DECAY.as_secs_f64()).exp()
    }
}

//! Scheduling: the order in which jobs get idle slots.
//!
//! Jobs at risk of missing their deadline have priority over all others. Within
//! each of the two priorities, jobs are ordered by the service that their team has
//! received relative to its share, least first, so a team with many jobs does not
//! starve the others; then by slack, least first; then by age, oldest first. A job
//! past its deadline does not count as at risk: it cannot meet the deadline any
//! more and must not take slots from jobs that can.
//!
//! Slack is the time to the deadline minus the estimated time for the remaining
//! items at the measured throughput. All arithmetic is on integers, so every
//! replica makes the same decision.

use crate::UnixMillis;
use chicoryladder_types::JobId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// A job is at risk once its slack falls below the remaining time divided by this.
const RISK_DIVISOR: u32 = 4;

/// The minimum duration of a throughput measurement.
const THROUGHPUT_WINDOW: Duration = Duration::from_secs(5);

/// The weight of the previous throughput relative to a new measurement in the
/// moving average.
const THROUGHPUT_SMOOTHING: u64 = 3;

const MILLIS_PER_KILOSECOND: u64 = 1_000_000;

/// Measures the throughput of ended items as a moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ThroughputMeter {
    window_start: Option<UnixMillis>,
    window_items: u64,
    per_kilosecond: Option<u64>,
}

impl ThroughputMeter {
    /// Marks the beginning of work, so that idle time before it is not counted.
    pub(crate) fn begin(&mut self, now: UnixMillis) {
        self.window_start.get_or_insert(now);
    }

    /// Marks the end of work, so that idle time until the next `begin` is not
    /// counted.
    pub(crate) fn pause(&mut self) {
        self.window_start = None;
        self.window_items = 0;
    }

    /// Counts items that ended.
    pub(crate) fn record(&mut self, items: u64, now: UnixMillis) {
        let start = *self.window_start.get_or_insert(now);
        self.window_items += items;
        let elapsed = now.since(start);
        if elapsed < THROUGHPUT_WINDOW {
            return;
        }
        let measured = per_kilosecond(self.window_items, elapsed);
        let smoothed = self.per_kilosecond.map_or(measured, |previous| {
            (previous * THROUGHPUT_SMOOTHING + measured) / (THROUGHPUT_SMOOTHING + 1)
        });
        self.per_kilosecond = Some(smoothed);
        self.window_start = Some(now);
        self.window_items = 0;
    }

    /// The time that `items` take at the measured throughput; `None` before the
    /// first measurement.
    pub(crate) fn time_for(&self, items: u64) -> Option<Duration> {
        let throughput = self.per_kilosecond?.max(1);
        Some(Duration::from_millis(
            items.saturating_mul(MILLIS_PER_KILOSECOND) / throughput,
        ))
    }
}

fn per_kilosecond(items: u64, elapsed: Duration) -> u64 {
    let millis = u64::try_from(elapsed.as_millis())
        .unwrap_or(u64::MAX)
        .max(1);
    items.saturating_mul(MILLIS_PER_KILOSECOND) / millis
}

/// The expected margin between the end of a job and its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobSlack {
    /// The job has no deadline.
    Unbounded,
    /// The job is expected to finish this long before its deadline.
    Spare(Duration),
    /// The job is expected to finish this long after its deadline.
    Late(Duration),
}

impl JobSlack {
    /// Computes the slack of a job with `work_left` remaining.
    #[must_use]
    pub fn measure(now: UnixMillis, deadline: Option<UnixMillis>, work_left: Duration) -> Self {
        let Some(deadline) = deadline else {
            return Self::Unbounded;
        };
        let end = now.after(work_left);
        if end <= deadline {
            Self::Spare(deadline.since(end))
        } else {
            Self::Late(end.since(deadline))
        }
    }

    /// Whether the job is expected to miss its deadline.
    #[must_use]
    pub const fn is_late(self) -> bool {
        matches!(self, Self::Late(_))
    }

    /// The slack as a sortable number of milliseconds; less slack sorts first.
    fn rank(self) -> i128 {
        let millis = |span: Duration| i128::try_from(span.as_millis()).unwrap_or(i128::MAX);
        match self {
            Self::Unbounded => i128::MAX,
            Self::Spare(span) => millis(span),
            Self::Late(span) => -millis(span),
        }
    }
}

/// A job with items to lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobCandidate {
    /// The job.
    pub job: JobId,
    /// The service that its team has received, divided by the share of the team.
    pub service: u64,
    /// The deadline of the job.
    pub deadline_at: Option<UnixMillis>,
    /// The estimated time for its remaining items at the measured throughput.
    pub work_left: Duration,
    /// The position of its submission among all submissions.
    pub order: u64,
}

impl JobCandidate {
    /// The slack at `now`.
    #[must_use]
    pub fn slack(&self, now: UnixMillis) -> JobSlack {
        JobSlack::measure(now, self.deadline_at, self.work_left)
    }

    /// Whether the job needs priority to meet its deadline.
    #[must_use]
    pub fn at_risk(&self, now: UnixMillis) -> bool {
        let Some(deadline) = self.deadline_at else {
            return false;
        };
        let remaining = deadline.since(now);
        match self.slack(now) {
            JobSlack::Unbounded => false,
            JobSlack::Spare(slack) => slack < remaining / RISK_DIVISOR,
            JobSlack::Late(_) => !remaining.is_zero(),
        }
    }
}

/// Chooses the job that gets the next idle slots.
pub fn choose_job(
    candidates: impl IntoIterator<Item = JobCandidate>,
    now: UnixMillis,
) -> Option<JobId> {
    candidates
        .into_iter()
        .min_by_key(|candidate| {
            (
                Reverse(candidate.at_risk(now)),
                candidate.service,
                candidate.slack(now).rank(),
                candidate.order,
            )
        })
        .map(|candidate| candidate.job)
}

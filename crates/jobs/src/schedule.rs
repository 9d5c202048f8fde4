//! The order in which jobs get idle slots.
//!
//! Jobs at risk of missing their deadline go before all others. Within each of
//! the two levels the team with the least service for its share goes first, so a
//! team with many jobs does not crowd out the rest, and then the job with the
//! least slack, then the oldest. A job whose deadline has passed counts as not
//! at risk: it can no longer be saved, and must not take slots from jobs that
//! can.
//!
//! Slack is the time to the deadline less the time that the items left need at
//! the measured pace. All arithmetic is on integers, so every replica decides
//! alike.

use crate::UnixMillis;
use chicoryladder_types::JobId;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::time::Duration;

/// A job is at risk once its slack falls below this part of the time left.
const RISK_DIVISOR: u32 = 4;

/// The span over which a pace is measured.
const PACE_WINDOW: Duration = Duration::from_secs(5);

/// The weight of the earlier pace against that of a new window.
const PACE_SMOOTHING: u64 = 3;

const MILLIS_PER_KILOSECOND: u64 = 1_000_000;

/// Measures how many items end in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PaceMeter {
    window_began: Option<UnixMillis>,
    window_items: u64,
    per_kilosecond: Option<u64>,
}

impl PaceMeter {
    /// Marks the beginning of work, so that time before it does not count.
    pub(crate) fn begin(&mut self, now: UnixMillis) {
        self.window_began.get_or_insert(now);
    }

    /// Marks the end of work, so that time until the next `begin` does not count.
    pub(crate) fn pause(&mut self) {
        self.window_began = None;
        self.window_items = 0;
    }

    /// Counts items that ended.
    pub(crate) fn record(&mut self, items: u64, now: UnixMillis) {
        let began = *self.window_began.get_or_insert(now);
        self.window_items += items;
        let elapsed = now.since(began);
        if elapsed < PACE_WINDOW {
            return;
        }
        let measured = per_kilosecond(self.window_items, elapsed);
        let smoothed = self.per_kilosecond.map_or(measured, |earlier| {
            (earlier * PACE_SMOOTHING + measured) / (PACE_SMOOTHING + 1)
        });
        self.per_kilosecond = Some(smoothed);
        self.window_began = Some(now);
        self.window_items = 0;
    }

    /// The time that `items` need at the measured pace, if there is one.
    pub(crate) fn time_for(&self, items: u64) -> Option<Duration> {
        let pace = self.per_kilosecond?.max(1);
        Some(Duration::from_millis(
            items.saturating_mul(MILLIS_PER_KILOSECOND) / pace,
        ))
    }
}

fn per_kilosecond(items: u64, elapsed: Duration) -> u64 {
    let millis = u64::try_from(elapsed.as_millis())
        .unwrap_or(u64::MAX)
        .max(1);
    items.saturating_mul(MILLIS_PER_KILOSECOND) / millis
}

/// How a job stands against its deadline.
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
    /// The slack of a job that still needs `work_left`.
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

    /// The slack as a sortable number of milliseconds, least first.
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
    /// What its team has received, divided by the share of the team.
    pub service: u64,
    /// The time by which it must finish.
    pub deadline_at: Option<UnixMillis>,
    /// The time that its items left need at the measured pace.
    pub work_left: Duration,
    /// The place of its submission among all.
    pub order: u64,
}

impl JobCandidate {
    /// The slack at a time.
    #[must_use]
    pub fn slack(&self, now: UnixMillis) -> JobSlack {
        JobSlack::measure(now, self.deadline_at, self.work_left)
    }

    /// Whether the job needs to go first to meet its deadline.
    #[must_use]
    pub fn at_risk(&self, now: UnixMillis) -> bool {
        let Some(deadline) = self.deadline_at else {
            return false;
        };
        let left = deadline.since(now);
        match self.slack(now) {
            JobSlack::Unbounded => false,
            JobSlack::Spare(slack) => slack < left / RISK_DIVISOR,
            JobSlack::Late(_) => !left.is_zero(),
        }
    }
}

/// The job that gets the next idle slots.
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

//! The limits on requests a second that servers name in their responses.
//!
//! A limit holds for all hosts together, from the response that names it until a later one
//! does not. Hosts report what they read to the broker, which alone knows what all of them
//! send. Reports carry the age of the response, since those of two hosts may arrive in
//! another order than the server wrote the responses.

mod early_reports;

pub(crate) use early_reports::EarlyReports;

use crate::pacing::RequestPacer;
use crate::request::WorkKind;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The longest interval between two requests to a server. It also holds for a limit of
/// zero, since only a response can tell that the limit has ended.
const INTERVAL_MAX: Duration = Duration::from_secs(5);

/// The maximum number of servers whose limits a host remembers.
const LIMITS_MAX: usize = 4_096;

/// The interval at which an unchanged limit is reported again, in case that the broker gave it
/// up by the report of an earlier response.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The most by which the response of a server that named no limit may have overtaken an
/// earlier one that did, on their ways to two hosts and to the broker.
const REORDERING_MAX: Duration = Duration::from_millis(100);

/// A limit on the requests that a server accepts, from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerLimit {
    interval: Duration,
}

impl ServerLimit {
    /// The average interval between two requests.
    #[must_use]
    pub fn interval(self) -> Duration {
        self.interval
    }

    /// The stricter of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        let interval = self.interval.max(other.interval);
        Self { interval }
    }

    /// The requests a second, rounded to thousandths.
    #[must_use]
    pub fn per_second(self) -> f64 {
        (self.interval.as_secs_f64().recip() * 1_000.0).round() / 1_000.0
    }
}

/// A number that is no limit on requests.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("a limit of {0} requests a second is not a finite number of at least 0")]
pub struct InvalidLimit(f64);

impl TryFrom<f64> for ServerLimit {
    type Error = InvalidLimit;

    /// Creates a limit from the requests a second.
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(InvalidLimit(per_second));
        }
        let interval = Duration::try_from_secs_f64(per_second.recip()).unwrap_or(INTERVAL_MAX);
        let interval = interval.clamp(Duration::from_nanos(1), INTERVAL_MAX);
        Ok(Self { interval })
    }
}

/// What a response says of its server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// The response names no limit, so none holds any more.
    #[default]
    Unlimited,
    /// The response names a limit.
    Limited(ServerLimit),
    /// The response names something that is no limit.
    Unreadable,
}

impl LimitStatement {
    /// The stricter of this statement and a limit that also holds.
    #[must_use]
    pub fn and_limit(self, limit: ServerLimit) -> Self {
        match self {
            Self::Limited(named) => Self::Limited(named.min(limit)),
            Self::Unlimited | Self::Unreadable => Self::Limited(limit),
        }
    }
}

/// The report of a host to the broker on the limit that a server names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerName,
    /// Its incarnation.
    pub incarnation: u64,
    /// The limit; `None` if a response no longer names one.
    pub limit: Option<ServerLimit>,
    /// The time since the response was read.
    pub age: Duration,
}

/// What the broker believes of the limit of an incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BelievedLimit {
    pacer: Option<RequestPacer>,
    /// When the response was read that the belief rests on.
    read_at: Option<Instant>,
}

impl BelievedLimit {
    pub(crate) fn get(self) -> Option<ServerLimit> {
        self.pacer.map(|pacer| pacer.limit())
    }

    /// When the response was read that the belief rests on.
    pub(crate) fn read_at(self) -> Option<Instant> {
        self.read_at
    }

    /// Whether a request may be sent.
    pub(crate) fn admits(self, kind: WorkKind, now: Instant) -> bool {
        self.pacer.is_none_or(|pacer| pacer.admits(kind, now))
    }

    /// The share of a burst that was sent; 0 without a limit.
    pub(crate) fn used_share(self, now: Instant) -> f64 {
        self.pacer.map_or(0.0, |pacer| pacer.used_share(now))
    }

    /// Charges a request that is sent.
    pub(crate) fn charge(&mut self, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.charge(now);
        }
    }

    /// Applies a report, unless it is older than the belief. Returns whether the belief
    /// changed.
    pub(crate) fn apply(&mut self, report: &LimitReport, now: Instant) -> bool {
        let Some(read_at) = now.checked_sub(report.age) else {
            return false;
        };
        let margin = if report.limit.is_none() && self.pacer.is_some() {
            REORDERING_MAX
        } else {
            Duration::ZERO
        };
        if self.read_at.is_some_and(|known| read_at < known + margin) {
            return false;
        }
        self.read_at = Some(read_at);
        let changed = self.get() != report.limit;
        match (&mut self.pacer, report.limit) {
            (Some(pacer), Some(limit)) => pacer.set_limit(limit, now),
            (pacer, limit) => *pacer = limit.map(|limit| RequestPacer::new(limit, now)),
        }
        changed
    }
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    incarnation: u64,
    limit: Option<ServerLimit>,
    read_at: Instant,
    /// When the limit was last put into a report; `None` if a report is due.
    reported_at: Option<Instant>,
    /// When this host last sent a request to the server, or learned of the limit.
    sent_at: Instant,
}

/// The limits that servers named in their responses, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct NamedLimits {
    limits: HashMap<ServerName, NamedLimit>,
}

impl NamedLimits {
    /// Records what a response says. Returns whether this differs from what was known.
    pub fn record(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        statement: LimitStatement,
        now: Instant,
    ) -> bool {
        let limit = match statement {
            LimitStatement::Unreadable => return false,
            LimitStatement::Limited(limit) => Some(limit),
            LimitStatement::Unlimited => None,
        };
        let Some(known) = self.limits.get_mut(server) else {
            if limit.is_some() {
                self.make_room();
                self.insert(server, incarnation, limit, now);
            }
            return limit.is_some();
        };
        if incarnation < known.incarnation {
            return false;
        }
        if incarnation > known.incarnation || limit != known.limit {
            self.insert(server, incarnation, limit, now);
            return true;
        }
        known.read_at = now;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        if limit.is_some() && known.reported_at.is_some_and(is_due) {
            known.reported_at = None;
        }
        false
    }

    /// The limit of an incarnation of a server.
    #[must_use]
    pub fn limit(&self, server: &ServerName, incarnation: u64) -> Option<ServerLimit> {
        let known = self.limits.get(server)?;
        known.limit.filter(|_| known.incarnation == incarnation)
    }

    /// Like [`Self::limit`], if a response named it or the broker told it within `age_max`.
    pub(crate) fn recent_limit(
        &self,
        server: &ServerName,
        incarnation: u64,
        age_max: Duration,
        now: Instant,
    ) -> Option<ServerLimit> {
        let known = self.limits.get(server)?;
        let age = now.saturating_duration_since(known.read_at);
        self.limit(server, incarnation).filter(|_| age < age_max)
    }

    /// Takes over what the broker believed when it granted a slot on a server. A response
    /// that was read about that time may be newer.
    pub fn adopt(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        limit: Option<ServerLimit>,
        now: Instant,
    ) {
        let known = self.limit(server, incarnation);
        if limit == known {
            return;
        }
        let is_recent = self
            .limits
            .get(server)
            .is_some_and(|known| now.saturating_duration_since(known.read_at) < REPORT_INTERVAL);
        if is_recent {
            return;
        }
        self.make_room();
        self.insert(server, incarnation, limit, now);
        if let Some(adopted) = self.limits.get_mut(server) {
            adopted.reported_at = Some(now);
        }
    }

    /// Records that this host sends a request to a server.
    pub fn record_sent(&mut self, server: &ServerName, now: Instant) {
        if let Some(known) = self.limits.get_mut(server) {
            known.sent_at = now;
        }
    }

    /// Whether this host may send a request to a server without the broker, within a share
    /// of the server's limit.
    #[must_use]
    pub fn admits_alone(
        &self,
        server: &ServerName,
        incarnation: u64,
        share: f64,
        now: Instant,
    ) -> bool {
        let Some(limit) = self.limit(server, incarnation) else {
            return true;
        };
        let elapsed = self.limits.get(server).map_or(Duration::ZERO, |known| {
            now.saturating_duration_since(known.sent_at)
        });
        elapsed.as_secs_f64() * share >= limit.interval().as_secs_f64()
    }

    /// Takes the reports that are due.
    pub fn take_reports(&mut self, now: Instant) -> Vec<LimitReport> {
        let due = self.limits.iter_mut();
        let due = due.filter(|(_, known)| known.reported_at.is_none());
        due.map(|(server, known)| {
            known.reported_at = Some(now);
            LimitReport {
                server: server.clone(),
                incarnation: known.incarnation,
                limit: known.limit,
                age: now.saturating_duration_since(known.read_at),
            }
        })
        .collect()
    }

    /// Makes all limits due for a report, to a broker that knows none.
    pub fn report_all(&mut self) {
        for known in self.limits.values_mut() {
            if known.limit.is_some() {
                known.reported_at = None;
            }
        }
    }

    /// Makes reports due again that did not arrive.
    pub fn return_reports(&mut self, reports: &[LimitReport]) {
        for report in reports {
            if let Some(known) = self.limits.get_mut(&report.server) {
                known.reported_at = None;
            }
        }
    }

    fn insert(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        limit: Option<ServerLimit>,
        now: Instant,
    ) {
        let named = NamedLimit {
            incarnation,
            limit,
            read_at: now,
            reported_at: None,
            sent_at: now,
        };
        self.limits.insert(server.clone(), named);
    }

    /// Forgets ended limits, then the one read about longest ago, if there are too many.
    fn make_room(&mut self) {
        if self.limits.len() < LIMITS_MAX {
            return;
        }
        self.limits
            .retain(|_, known| known.limit.is_some() || known.reported_at.is_none());
        if self.limits.len() >= LIMITS_MAX {
            let oldest = self.limits.iter().min_by_key(|(_, known)| known.read_at);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.limits.remove(&oldest);
            }
        }
    }
}

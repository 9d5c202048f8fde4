//! Cold servers: how many requests they may be sent, by the broker and by hosts without it.
//!
//! The bound on the requests that arrive in any second, `per_second * overshoot + slack`, is
//! divided into what the broker grants and what all hosts without the broker send together.
//! Requests take up to [`DELAY_MAX`] to arrive, so those that arrive within a second were sent
//! within [`SEND_SPAN`], in which a pacer of burst `b` and rate `r` grants at most
//! `b + r * SEND_SPAN` of them.
//!
//! With 6.2 requests a second, an overshoot of 1.5 and a slack of 5, the bound is 14.3: the
//! broker has a burst of 2 and grants at most 2 + 6.82, so 8 in 1.1 s; the other hosts send at
//! most 5; 1 remains for a host that joined after others were cut off. A new broker begins with
//! an empty bucket, so that it and the one before it grant no more than one of them.

use crate::directory::ServerCheckIn;
use crate::request::WorkKind;
use crate::roster::ZoneRoster;
use crate::server_limits::ServerLimit;
use chicoryladder_plan::ColdTerms;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The longest time between a grant, or the choice of a host, and the arrival of the request.
const DELAY_MAX: Duration = Duration::from_millis(100);

/// The span within which the requests are sent that arrive within a second.
const SEND_SPAN: Duration = Duration::from_secs(1).saturating_add(DELAY_MAX);

/// The share of what the bound leaves beside the rate that the broker uses as its burst. The
/// rest is for hosts without the broker.
const BURST_SHARE: f64 = 1.0 / 3.0;

/// The longest time in which a burst accumulates, unless it is of fewer than two requests:
/// one for an online request while an item takes the other one.
const BURST_SECONDS_MAX: f64 = 0.5;

/// The part of the rate that all hosts without the broker use together over longer times: the
/// broker may grant at the full rate meanwhile.
const BROKERLESS_RATE_SHARE: f64 = 0.5;

/// The longest pause of the broker due to requests that it granted before it knew that the
/// server is cold.
const DEBT_MAX: Duration = Duration::from_secs(1);

/// The longest time for which a server is believed to be cold by one statement, so that sums
/// with the time do not overflow.
const REMAINING_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// The longest interval between two requests to a cold server, for the same reason.
const INTERVAL_MAX: Duration = Duration::from_secs(60 * 60);

/// The maximum number of servers for which a host remembers when it last sent to them.
const SENT_TIMES_MAX: usize = 4_096;

/// The time for which a host remembers when it last sent to a server, beyond the number above.
const SENT_TIMES_KEPT: Duration = Duration::from_secs(10);

/// The least postponement of the end of coldness of which hosts are told: check-ins of the
/// same end arrive with varying delays.
const NEWS_MIN: Duration = Duration::from_millis(500);

/// The least time for which a host without the broker believes an answer that says that its
/// server is cold: plans may state no time after a start, and servers may still become cold.
const ANSWER_AGE_MIN: Duration = Duration::from_secs(10);

/// The excess over the rate of a cold server that may arrive within a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdTolerance {
    /// The allowed requests, as a multiple of the rate.
    pub overshoot: f64,
    /// The allowed requests beyond `overshoot`.
    pub slack: f64,
}

/// How the requests to a cold server are paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPace {
    duration: Duration,
    limit: ServerLimit,
    interval: Duration,
    burst: u32,
    brokerless: u32,
}

impl ColdPace {
    /// Divides the bound on a cold server. Returns `None` for a rate that is negative or
    /// not finite, which plans are checked against.
    #[must_use]
    pub fn new(terms: ColdTerms, tolerance: ColdTolerance) -> Option<Self> {
        let span = SEND_SPAN.as_secs_f64();
        let bound = terms.per_second * tolerance.overshoot + tolerance.slack;
        // A bound near the rate leaves too little for delays; below 1 request, it would allow
        // none at all.
        let rate = terms.per_second.min((bound - 1.0).max(1.0) / span);
        let interval = Duration::try_from_secs_f64(rate.recip()).unwrap_or(INTERVAL_MAX);
        let interval = interval.clamp(Duration::from_nanos(1), INTERVAL_MAX);
        let burst_max = (rate * BURST_SECONDS_MAX).max(2.0);
        let burst = ((bound - rate * span) * BURST_SHARE).clamp(1.0, burst_max);
        let burst = whole(burst);
        Some(Self {
            duration: terms.duration.min(REMAINING_MAX),
            limit: ServerLimit::try_from(terms.per_second).ok()?,
            interval,
            burst,
            brokerless: whole(bound - rate * span - f64::from(burst)),
        })
    }

    /// The rate of a cold server, as it is reported for one that says in a response that it is
    /// cold.
    #[must_use]
    pub fn limit(self) -> ServerLimit {
        self.limit
    }

    /// How long servers are cold after their start.
    pub(crate) fn duration(self) -> Duration {
        self.duration
    }

    /// The requests a second that the broker grants.
    pub(crate) fn per_second(self) -> f64 {
        self.interval.as_secs_f64().recip()
    }

    fn burst_time(self) -> Duration {
        self.interval * self.burst
    }

    /// The interval at which each of `hosts` may send without the broker; `None` if they are
    /// too many.
    fn host_interval(self, hosts: u32) -> Option<Duration> {
        let per_host = self.brokerless.checked_div(hosts)?;
        let by_bound = SEND_SPAN.checked_div(per_host)?;
        let by_rate = self.interval.mul_f64(BROKERLESS_RATE_SHARE.recip()) * hosts;
        Some(by_bound.max(by_rate))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, which suits a number of requests"
)]
fn whole(requests: f64) -> u32 {
    requests.floor() as u32
}

/// From what the broker concludes that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ColdSource {
    /// A check-in.
    CheckIn,
    /// A response, by the report of a host.
    Answer,
    /// The withdrawn drain of its zone.
    Drain,
    /// Its start: the first check-in of its incarnation did not say how long it stays cold.
    Start,
}

impl ColdSource {
    /// The name in the event log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CheckIn => "check_in",
            Self::Answer => "answer",
            Self::Drain => "drain",
            Self::Start => "start",
        }
    }
}

/// A server that becomes cold or ceases to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The server.
    pub server: ServerName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Why the server is cold; `None` if it ceases to be.
    pub source: Option<ColdSource>,
    /// How much longer it stays cold; zero if a response did not tell the broker.
    pub remaining: Duration,
}

/// What the broker believes of the coldness of a server, and what it has granted since.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdState {
    pace: Option<ColdPace>,
    /// Until when it is cold by its latest check-in.
    stated_until: Option<Instant>,
    /// When its incarnation checked in first, if no check-in has said since how long it stays
    /// cold.
    started_at: Option<Instant>,
    /// When the drain of its zone was withdrawn.
    zone_restored_at: Option<Instant>,
    /// When all requests of a burst may be sent, unless others are sent before; `None` unless
    /// the server is paced.
    full_at: Option<Instant>,
    /// Whether the server was cold when that was last looked at.
    was_cold: bool,
    /// The end of coldness that hosts were last told.
    told_until: Option<Instant>,
}

impl ColdState {
    pub(crate) fn set_pace(&mut self, pace: Option<ColdPace>) {
        self.pace = pace;
        if pace.is_none() {
            self.full_at = None;
        }
    }

    pub(crate) fn has_terms(&self) -> bool {
        self.pace.is_some()
    }

    /// Whether the passage of time may change whether the server is cold, or whether that has
    /// to be reported.
    pub(crate) fn may_change(&self) -> bool {
        self.has_terms() || self.was_cold
    }

    /// Records what a check-in states. One that states nothing leaves what is known of its
    /// incarnation, unless it `is_first`.
    pub(crate) fn record_check_in(
        &mut self,
        stated: Option<Duration>,
        is_first: bool,
        now: Instant,
    ) {
        match stated {
            Some(remaining) => {
                self.stated_until = Some(now + remaining.min(REMAINING_MAX));
                self.started_at = None;
            }
            None if is_first => {
                self.stated_until = None;
                self.started_at = Some(now);
            }
            None => {}
        }
    }

    pub(crate) fn set_zone_restored(&mut self, at: Option<Instant>) {
        self.zone_restored_at = at;
    }

    /// Why the server is cold, if it is. `limit` is the one that its responses name.
    pub(crate) fn source(&self, limit: Option<ServerLimit>, now: Instant) -> Option<ColdSource> {
        let pace = self.pace?;
        let is_ahead = |until: &Instant| *until > now;
        if self.drained_until().as_ref().is_some_and(is_ahead) {
            return Some(ColdSource::Drain);
        }
        if self.stated_until.as_ref().is_some_and(is_ahead) {
            return Some(ColdSource::CheckIn);
        }
        if self.starting_until().as_ref().is_some_and(is_ahead) {
            return Some(ColdSource::Start);
        }
        (limit == Some(pace.limit)).then_some(ColdSource::Answer)
    }

    /// How much longer the server is cold, as far as the broker was told; `None` without terms.
    pub(crate) fn remaining(&self, now: Instant) -> Option<Duration> {
        self.pace?;
        let until = self.drained_until().max(self.stated_until);
        let until = until.max(self.starting_until());
        let remaining = until.map(|until| until.saturating_duration_since(now));
        Some(remaining.unwrap_or_default())
    }

    fn drained_until(&self) -> Option<Instant> {
        Some(self.zone_restored_at? + self.pace?.duration)
    }

    fn starting_until(&self) -> Option<Instant> {
        Some(self.started_at? + self.pace?.duration)
    }

    /// The pace to keep, if the server is cold or names a limit that is as strict: a response
    /// that says that the server is cold may also name a stricter limit.
    pub(crate) fn pace(&self, limit: Option<ServerLimit>, now: Instant) -> Option<ColdPace> {
        let pace = self.pace?;
        let is_strict = limit.is_some_and(|limit| limit.interval() >= pace.limit.interval());
        (is_strict || self.source(limit, now).is_some()).then_some(pace)
    }

    /// Whether pacing has to begin: the broker does not yet count what it grants.
    pub(crate) fn must_begin(&self, limit: Option<ServerLimit>, now: Instant) -> bool {
        self.full_at.is_none() && self.pace(limit, now).is_some()
    }

    /// Begins the pacing with nothing accumulated, and with the requests that were `granted`
    /// within the last second charged.
    pub(crate) fn begin(&mut self, granted: u32, now: Instant) {
        if let Some(pace) = self.pace {
            let debt = pace.interval.saturating_mul(granted).min(DEBT_MAX);
            self.full_at = Some(now + pace.burst_time() + debt);
        }
    }

    /// Ends the pacing once there is no reason for it.
    pub(crate) fn end_unless_paced(&mut self, limit: Option<ServerLimit>, now: Instant) {
        if self.pace(limit, now).is_none() {
            self.full_at = None;
        }
    }

    /// Whether a request may be sent. An item leaves a request of the burst to online work;
    /// where the burst is a single one, it waits for one interval more.
    pub(crate) fn admits(&self, kind: WorkKind, limit: Option<ServerLimit>, now: Instant) -> bool {
        let Some(pace) = self.pace(limit, now) else {
            return true;
        };
        let needed = match kind {
            WorkKind::Online => 1,
            WorkKind::Batch => 2,
        };
        self.full_at
            .is_some_and(|full_at| full_at + pace.interval * needed <= now + pace.burst_time())
    }

    /// The share of a burst that was sent and has not accumulated again.
    pub(crate) fn used_share(&self, limit: Option<ServerLimit>, now: Instant) -> f64 {
        let (Some(pace), Some(full_at)) = (self.pace(limit, now), self.full_at) else {
            return 0.0;
        };
        let missing = full_at.saturating_duration_since(now);
        missing.as_secs_f64() / pace.burst_time().as_secs_f64()
    }

    /// Charges a request that is sent, or was sent without the broker. Nothing is charged
    /// beyond an empty bucket: the bound has a part for hosts without the broker.
    pub(crate) fn charge(&mut self, now: Instant) {
        if let (Some(pace), Some(full_at)) = (self.pace, self.full_at) {
            let empty_until = full_at.max(now + pace.burst_time());
            self.full_at = Some((full_at.max(now) + pace.interval).min(empty_until));
        }
    }

    /// Whether the server has become cold or has ceased to be since the last call.
    pub(crate) fn take_change(&mut self, limit: Option<ServerLimit>, now: Instant) -> bool {
        let is_cold = self.source(limit, now).is_some();
        let is_change = is_cold != self.was_cold;
        self.was_cold = is_cold;
        is_change
    }

    /// Whether hosts have to be told that the server is cold, or for longer than they know, or
    /// that it is no longer cold. Hosts that start later get the directory that was taken last.
    pub(crate) fn take_news(&mut self, now: Instant) -> bool {
        let Some(remaining) = self.remaining(now).filter(|left| !left.is_zero()) else {
            return self.told_until.take().is_some();
        };
        let until = now + remaining;
        let is_news = self.told_until.is_none_or(|told| until > told + NEWS_MIN);
        if is_news {
            self.told_until = Some(until);
        }
        is_news
    }
}

/// The span of grants that a broker charges to a server which turns out to be cold.
pub(crate) const CHARGED_SPAN: Duration = SEND_SPAN;

/// When a host last sent to each of the servers that may be cold.
#[derive(Clone, Debug, Default)]
pub struct SentTimes {
    times: HashMap<ServerName, Instant>,
}

impl SentTimes {
    /// Records that this host sends a request to a server.
    pub fn record(&mut self, server: &ServerName, now: Instant) {
        if self.times.len() >= SENT_TIMES_MAX && !self.times.contains_key(server) {
            self.times
                .retain(|_, at| now.saturating_duration_since(*at) < SENT_TIMES_KEPT);
        }
        self.times.insert(server.clone(), now);
    }

    fn get(&self, server: &ServerName) -> Option<Instant> {
        self.times.get(server).copied()
    }
}

/// What a host needs to know to send to cold servers of a service without the broker.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdServerView<'a> {
    /// The pace of the service's cold servers; `None` if its servers are never cold.
    pub pace: Option<ColdPace>,
    /// When this host got the directory of servers.
    pub directory_at: Option<Instant>,
    /// When this host got its first directory since its process started.
    pub first_directory_at: Option<Instant>,
    /// The peer address of this host.
    pub host: Option<SocketAddr>,
    /// When this host last sent to each server; `None` if it never did.
    pub sent: Option<&'a SentTimes>,
}

impl ColdServerView<'_> {
    /// The age up to which an answer says that a server is cold. A host without a share of the
    /// server gets no answer that would tell otherwise.
    pub(crate) fn answer_age_max(&self) -> Duration {
        let duration = self.pace.map(ColdPace::duration).unwrap_or_default();
        duration.max(ANSWER_AGE_MIN)
    }

    /// Whether this host may send a request to a server, which is in the zone of the roster if
    /// `in_zone`. `limit` is the one that responses of the server name.
    pub(crate) fn admits(
        &self,
        server: &ServerCheckIn,
        limit: Option<ServerLimit>,
        roster: &ZoneRoster,
        in_zone: bool,
        now: Instant,
    ) -> bool {
        let Some(pace) = self.pace else {
            return true;
        };
        let is_stated = self
            .directory_at
            .is_some_and(|at| now.saturating_duration_since(at) < server.warmup_remaining);
        let is_strict = limit.is_some_and(|limit| limit.interval() >= pace.limit.interval());
        if !is_stated && !is_strict {
            return true;
        }
        let interval = self.interval(pace, server, roster, in_zone);
        // A process that has just started does not know what the one before it sent. Later
        // directories may come more often than the interval, so only the first one counts.
        let sent_at = self.sent.and_then(|sent| sent.get(&server.name));
        let since = sent_at.max(self.first_directory_at);
        interval
            .zip(since)
            .is_some_and(|(interval, since)| now.saturating_duration_since(since) >= interval)
    }

    /// The interval at which this host may send to a server; `None` if it must not. If the
    /// fleet has more hosts than the bound has requests for, as many hosts of the server's
    /// zone may send as the bound allows, which each host finds by the same hashes.
    fn interval(
        &self,
        pace: ColdPace,
        server: &ServerCheckIn,
        roster: &ZoneRoster,
        in_zone: bool,
    ) -> Option<Duration> {
        let host = self.host.filter(|host| roster.hosts.contains(host))?;
        let zone_hosts = u32::try_from(roster.hosts.len()).unwrap_or(u32::MAX);
        let all_hosts = roster.fleet_hosts.max(zone_hosts);
        if let Some(interval) = pace.host_interval(all_hosts) {
            return Some(interval);
        }
        let order = |host: &SocketAddr| (hash(host, &server.name), *host);
        let own = order(&host);
        let ahead = roster.hosts.iter().filter(|other| order(other) < own);
        let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        if !in_zone || ahead >= pace.brokerless {
            return None;
        }
        pace.host_interval(zone_hosts.min(pace.brokerless))
    }
}

/// Orders the hosts of a zone differently for each server.
fn hash(host: &SocketAddr, server: &ServerName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (host, server.as_str()).hash(&mut hasher);
    hasher.finish()
}

//! Admission, order and return times of online requests under overload.
//!
//! Within a rank, requests that can still meet their latency target (in time) go before those
//! that cannot (late), and teams share each of the two classes equally. A fresh request that
//! would become late is refused at once, with the time at which its retry is likely to find
//! free capacity. [`ServiceAdmission`] keeps what this needs to know of one service.

mod calendar;
mod fair_clock;
mod forecast;
mod team_demand;

use calendar::ReturnCalendar;
use chicoryladder_types::prelude::*;
use fair_clock::FairClock;
use forecast::DemandHistory;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use team_demand::TeamDemand;

/// The part of its time in which a request must be predicted to be served. With all of it, one
/// in nine refusals of fresh requests under steady overload came after a missed target, and one
/// in three refusals of returned ones in a burst at their time limits.
const PREDICTED_WAIT_SHARE: f64 = 0.8;

/// What the host of an online request knows of its caller. Hosts of earlier builds send none,
/// nor do those without the feature `pressure` until a server has stated how long work takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerTerms {
    /// The team, whether or not the request is charged to its rate.
    pub team: Option<TeamName>,
    /// Whether a late answer is better than a refusal: the caller has returned after a refusal
    /// and does not return again, or the request may have run.
    pub returned: bool,
    /// What is left of the latency target, counted from this arrival of the request.
    pub target_left: Duration,
    /// What is left until the answer must be complete.
    pub time_left: Duration,
}

/// The position in a queue: the rank, then the class, then the fair share of the team, then
/// the order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) rank: u32,
    /// Whether the request can no longer meet its target.
    pub(crate) is_late: bool,
    /// The start tag of the [`FairClock`]; 0 without fair shares.
    pub(crate) tag: u64,
    pub(crate) arrival: u64,
}

impl QueuePosition {
    /// The position in order of arrival within a rank.
    pub(crate) fn by_arrival(rank: u32, arrival: u64) -> Self {
        Self {
            rank,
            is_late: false,
            tag: 0,
            arrival,
        }
    }

    /// The position behind all requests of a rank.
    pub(crate) fn behind_rank(rank: u32) -> Self {
        Self {
            rank,
            is_late: true,
            tag: u64::MAX,
            arrival: u64::MAX,
        }
    }
}

/// How the requests of a queue compare with a new one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueAhead {
    /// The requests ahead of it.
    pub(crate) all: usize,
    /// Those of its team, rank and class.
    pub(crate) of_team: usize,
    /// Those with the same homes, which share the servers at home; 0 if it has none.
    pub(crate) of_homes: usize,
}

/// The requests a second that servers can take up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceRates {
    /// By all servers.
    pub(crate) all: f64,
    /// By those that may run the request.
    pub(crate) own: f64,
}

/// The time that a queued request has, less what the run itself needs of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitLimits {
    /// The longest wait after which the request still meets its target.
    pub(crate) in_time: Duration,
    /// The longest wait after which the request can still be completed.
    pub(crate) late: Duration,
}

impl WaitLimits {
    /// The limits of a request whose answer begins and completes after the given averages. An
    /// average run takes up at most half of the time, since a short request may follow long
    /// ones.
    pub(crate) fn new(terms: &CallerTerms, first_answer: Duration, hold: Duration) -> Self {
        let late = terms
            .time_left
            .saturating_sub(hold.min(terms.time_left / 2));
        Self {
            in_time: terms.target_left.saturating_sub(first_answer).min(late),
            late,
        }
    }
}

/// The demand, the fair shares and the expected returns of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceAdmission {
    history: DemandHistory,
    calendar: ReturnCalendar,
    demand: TeamDemand,
    clocks: BTreeMap<(u32, bool), FairClock>,
}

impl ServiceAdmission {
    /// Records the arrival of an online request, whether or not it has to wait.
    pub(crate) fn record_arrival(&mut self, rank: u32, terms: &CallerTerms, now: Instant) {
        self.demand.record(rank, terms.team.as_ref(), now);
        if !terms.returned {
            self.history.record(now);
        }
    }

    /// The tag that a request of a team gets if it is queued now.
    pub(crate) fn start_tag(&self, rank: u32, is_late: bool, team: Option<&TeamName>) -> u64 {
        let clock = self.clocks.get(&(rank, is_late));
        clock.map_or(0, |clock| clock.start_tag(team))
    }

    /// Records that a request of a team is queued.
    pub(crate) fn record_queued(&mut self, position: QueuePosition, team: Option<&TeamName>) {
        let clock = self.clocks.entry((position.rank, position.is_late));
        clock.or_default().record_queued(team, position.tag);
    }

    /// Records that a queued request got a slot.
    pub(crate) fn record_granted(&mut self, position: QueuePosition) {
        let key = (position.rank, position.is_late);
        if let Some(clock) = self.clocks.get_mut(&key) {
            clock.record_granted(position.tag);
        }
    }

    /// Records that a queued request of a team left the queue without a slot.
    pub(crate) fn record_unserved(&mut self, position: QueuePosition, team: Option<&TeamName>) {
        let key = (position.rank, position.is_late);
        if let Some(clock) = self.clocks.get_mut(&key) {
            clock.record_unserved(team);
        }
    }

    /// Forgets the shares of a class in which nothing is queued. Teams that took more than
    /// their share while nobody competed owe nothing for it.
    pub(crate) fn reset_shares(&mut self, rank: u32, is_late: bool) {
        self.clocks.remove(&(rank, is_late));
    }

    /// The expected wait of a request that may be queued as one that will be in time; `None` if
    /// it would not be.
    pub(crate) fn wait_in_time(
        &self,
        rank: u32,
        terms: &CallerTerms,
        limits: WaitLimits,
        ahead: QueueAhead,
        rates: ServiceRates,
        now: Instant,
    ) -> Option<Duration> {
        let rank_rate = self.demand.rank_rate(rank, rates.all, now);
        let team_rate = self
            .demand
            .team_rate(rank, terms.team.as_ref(), rates.all, now);
        let wait = (count(ahead.all) / rank_rate).max(count(ahead.of_team) / team_rate);
        let wait = wait.max(count(ahead.of_homes) / rates.own) + rates.own.recip();
        let is_in_time = !limits.in_time.is_zero()
            && wait <= limits.in_time.as_secs_f64() * PREDICTED_WAIT_SHARE;
        is_in_time.then(|| Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }

    /// The expected wait of a request behind `ahead` others that may be queued as a late one: it
    /// can be served by its time limit from what requests in time leave. `None` if it cannot.
    pub(crate) fn wait_late(
        &mut self,
        ahead: QueueAhead,
        limits: WaitLimits,
        rates: ServiceRates,
        now: Instant,
    ) -> Option<Duration> {
        if rates.own <= 0.0 {
            return None;
        }
        let forecast = self.history.forecast(now);
        let share = rates.all / rates.own;
        let work = count(ahead.all).max(count(ahead.of_homes) * share) + share;
        let wait = self.calendar.spare_wait(forecast, work, rates.all);
        wait.filter(|wait| *wait <= limits.late.mul_f64(PREDICTED_WAIT_SHARE))
    }

    /// The time after which a refused caller should return, at most a third of the time that it
    /// has left. A caller that will return is booked. `jitter` is between 0 and 1.
    pub(crate) fn return_after(
        &mut self,
        terms: &CallerTerms,
        waiting: usize,
        rates: ServiceRates,
        jitter: f64,
        now: Instant,
    ) -> Duration {
        let forecast = self.history.forecast(now);
        let horizon = terms.time_left / 3;
        let booking = self
            .calendar
            .find(forecast, count(waiting), rates.all, horizon);
        if !terms.returned {
            self.calendar.book(booking, forecast.bin);
        }
        booking.after(forecast, jitter, now).min(horizon)
    }

    /// The callers that were told to return later than now.
    pub(crate) fn returns_booked(&self, now: Instant) -> u32 {
        self.calendar.booked_after(self.history.bin_at(now))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of queued requests is far below 2^52"
)]
fn count(requests: usize) -> f64 {
    requests as f64
}

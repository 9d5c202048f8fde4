//! The queue of online requests that compete by their targets: which requests are queued, in
//! which order, and what becomes of those that miss their target while they wait.

use super::{SlotBroker, jitter_of, jittered_delay};
use crate::admission::{
    CallerTerms, QueueAhead, QueuePosition, ServiceAdmission, ServiceRates, WaitLimits,
};
use crate::pool::WaitingRequest;
use crate::request::{RequesterId, SlotRefusalReason, SlotRequest, WorkKind};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::{Duration, Instant};

/// What the queue does with a request that gets no slot at once.
#[derive(Clone, Copy, Debug)]
pub(super) enum QueueVerdict {
    /// The request is queued.
    Queued {
        /// Whether it can no longer meet its target.
        is_late: bool,
        /// The expected wait.
        wait: Duration,
    },
    /// The request is refused.
    Refused {
        /// When the caller is likely to find room.
        retry_after: Duration,
    },
}

impl SlotBroker {
    /// Whether the online requests for a service compete by their targets and teams: by the
    /// feature `pressure`, or because its servers state how long work takes on them, so that
    /// its room varies.
    pub(super) fn uses_targets(&self, service: &ServiceName) -> bool {
        let pool = self.services.get(service);
        self.settings.pressure || pool.is_some_and(|pool| pool.states_work)
    }

    /// Counts an arrival, and grants free slots to the queued requests that go before it.
    pub(super) fn prepare_under_pressure(
        &mut self,
        request: &SlotRequest,
        terms: Option<&CallerTerms>,
        now: Instant,
    ) {
        let pool = self.pool(&request.service);
        if let Some(terms) = terms {
            pool.admission.record_arrival(request.rank, terms, now);
        }
        let position = match request.kind {
            WorkKind::Online => {
                let team = terms.map_or(request.charged_team.as_ref(), |terms| terms.team.as_ref());
                let is_late = terms.is_some_and(|terms| terms.target_left.is_zero());
                QueuePosition {
                    rank: request.rank,
                    is_late,
                    tag: pool.admission.start_tag(request.rank, is_late, team),
                    arrival: u64::MAX,
                }
            }
            WorkKind::Batch => QueuePosition::behind_rank(u32::MAX),
        };
        if pool.online.range(..position).next().is_some() {
            self.dispatch(&request.service, now);
        }
    }

    /// Queues a request that got no slot at once in the first class that admits it, or refuses
    /// it.
    pub(super) fn enqueue_by_target(
        &mut self,
        requester: &RequesterId,
        request: SlotRequest,
        terms: CallerTerms,
        now: Instant,
    ) {
        let limits = self.wait_limits(&request, &terms);
        let service = request.service.clone();
        let verdict = self.with_admission(&service, |broker, admission| {
            broker.decide_by_target(admission, &request, &terms, now)
        });
        let waiting = WaitingRequest {
            requester: requester.clone(),
            until: now + limits.late,
            in_time_until: now + limits.in_time,
            was_undecided: self.is_undecided(&request, now),
            terms: Some(terms),
            request,
        };
        self.apply_verdict(waiting, verdict, now);
    }

    /// What the queue does with a request that gets no slot at once. `admission` is that of the
    /// service, or a copy of it to find out what would be decided.
    pub(super) fn decide_by_target(
        &self,
        admission: &mut ServiceAdmission,
        request: &SlotRequest,
        terms: &CallerTerms,
        now: Instant,
    ) -> QueueVerdict {
        let rates = self.service_rates(request, now);
        let limits = self.wait_limits(request, terms);
        let ahead = self.queued_ahead_of(admission, request, false, terms.team.as_ref());
        let wait = admission.wait_in_time(request.rank, terms, limits, ahead, rates, now);
        if let Some(wait) = wait {
            let is_late = false;
            return QueueVerdict::Queued { is_late, wait };
        }
        if terms.returned {
            let team = terms.team.as_ref();
            return self.decide_late(admission, request, Some(terms), team, limits.late, now);
        }
        self.refuse_until_room(admission, request, Some(terms), limits.late, now)
    }

    /// What the queue does with a request that cannot be in time: it is queued if it can be
    /// served by its time limit, of which `left` remains.
    fn decide_late(
        &self,
        admission: &mut ServiceAdmission,
        request: &SlotRequest,
        terms: Option<&CallerTerms>,
        team: Option<&TeamName>,
        left: Duration,
        now: Instant,
    ) -> QueueVerdict {
        let rates = self.service_rates(request, now);
        let limits = WaitLimits {
            in_time: Duration::ZERO,
            late: left,
        };
        let ahead = self.queued_ahead_of(admission, request, true, team);
        match admission.wait_late(ahead, limits, rates, now) {
            Some(wait) => {
                let is_late = true;
                QueueVerdict::Queued { is_late, wait }
            }
            None => self.refuse_until_room(admission, request, terms, left, now),
        }
    }

    /// Lets a decision use the admission of a service, and the rest of the broker unchanged.
    fn with_admission<T>(
        &mut self,
        service: &ServiceName,
        decide: impl FnOnce(&Self, &mut ServiceAdmission) -> T,
    ) -> T {
        let mut admission = std::mem::take(&mut self.pool(service).admission);
        let decision = decide(self, &mut admission);
        self.pool(service).admission = admission;
        decision
    }

    fn apply_verdict(&mut self, waiting: WaitingRequest, verdict: QueueVerdict, now: Instant) {
        match verdict {
            QueueVerdict::Queued { is_late, .. } => self.enqueue_in_class(waiting, is_late),
            QueueVerdict::Refused { retry_after } => {
                let load = self.pool_load(&waiting.request.service, now);
                self.refuse_waiting(&waiting, SlotRefusalReason::NoSlot(load), retry_after);
            }
        }
    }

    /// Rechecks a request that is about to get a slot. One that has missed its target moves to
    /// the late class, and one that is past its time limit is refused.
    pub(super) fn recheck_waiting(
        &mut self,
        position: QueuePosition,
        waiting: WaitingRequest,
        now: Instant,
    ) -> Option<WaitingRequest> {
        let request = &waiting.request;
        if request.kind != WorkKind::Online || !self.uses_targets(&request.service) {
            return Some(waiting);
        }
        let is_expired = waiting.until <= now;
        let is_missed = !position.is_late && waiting.in_time_until <= now;
        if is_expired || is_missed {
            let admission = &mut self.pool(&waiting.request.service).admission;
            admission.record_unserved(position, waiting.team());
        }
        if is_expired {
            self.refuse_expired(&waiting, now);
            return None;
        }
        if is_missed {
            self.enqueue_late(waiting, now);
            return None;
        }
        Some(waiting)
    }

    /// Moves the requests that have missed their targets to the late class.
    pub(super) fn demote_waiting(&mut self, now: Instant) {
        let mut demoted = Vec::new();
        let pressure = self.settings.pressure;
        let pools = self.services.values_mut();
        for pool in pools.filter(|pool| pressure || pool.states_work) {
            let missed: Vec<QueuePosition> = pool
                .online
                .iter()
                .filter(|(position, waiting)| !position.is_late && waiting.in_time_until <= now)
                .map(|(position, _)| *position)
                .collect();
            demoted.extend(pool.remove_all_unserved(WorkKind::Online, &missed));
        }
        for waiting in demoted {
            self.enqueue_late(waiting, now);
        }
    }

    /// The online requests of all services that can no longer meet their targets.
    #[must_use]
    pub fn late_waiting(&self) -> usize {
        let queues = self.services.values().map(|pool| &pool.online);
        let positions = queues.flat_map(|queue| queue.keys());
        positions.filter(|position| position.is_late).count()
    }

    /// The refused callers that were told to return later than now.
    #[must_use]
    pub fn returns_booked(&self, now: Instant) -> u32 {
        let pools = self.services.values();
        pools.map(|pool| pool.admission.returns_booked(now)).sum()
    }

    /// The position of a request with the fair share of its team.
    pub(super) fn take_share(
        &mut self,
        service: &ServiceName,
        position: QueuePosition,
        team: Option<&TeamName>,
    ) -> QueuePosition {
        let QueuePosition { rank, is_late, .. } = position;
        let pool = self.pool(service);
        let first = QueuePosition {
            tag: 0,
            arrival: 0,
            ..position
        };
        let last = QueuePosition {
            tag: u64::MAX,
            arrival: u64::MAX,
            ..position
        };
        if pool.online.range(first..=last).next().is_none() {
            pool.admission.reset_shares(rank, is_late);
        }
        let tag = pool.admission.start_tag(rank, is_late, team);
        let position = QueuePosition { tag, ..position };
        pool.admission.record_queued(position, team);
        position
    }

    /// Queues a request that cannot be in time, if it can be served by its time limit.
    fn enqueue_late(&mut self, waiting: WaitingRequest, now: Instant) {
        let left = waiting.until.saturating_duration_since(now);
        let service = waiting.request.service.clone();
        let verdict = self.with_admission(&service, |broker, admission| {
            let (request, terms) = (&waiting.request, waiting.terms.as_ref());
            broker.decide_late(admission, request, terms, waiting.team(), left, now)
        });
        self.apply_verdict(waiting, verdict, now);
    }

    fn enqueue_in_class(&mut self, waiting: WaitingRequest, is_late: bool) {
        self.arrivals += 1;
        let position = QueuePosition {
            is_late,
            ..QueuePosition::by_arrival(waiting.request.rank, self.arrivals)
        };
        let service = waiting.request.service.clone();
        let position = self.take_share(&service, position, waiting.team());
        self.pool(&service).online.insert(position, waiting);
    }

    /// Refuses a request that has `left` until its time limit, and tells its caller when there
    /// is likely to be room.
    fn refuse_until_room(
        &self,
        admission: &mut ServiceAdmission,
        request: &SlotRequest,
        terms: Option<&CallerTerms>,
        left: Duration,
        now: Instant,
    ) -> QueueVerdict {
        let hold = Duration::from_secs_f64(self.averages(&request.service).hold_seconds);
        let Some(terms) = terms else {
            let retry_after = jittered_delay(hold, request.ticket);
            return QueueVerdict::Refused { retry_after };
        };
        let pool = self.services.get(&request.service);
        let queued = pool.map_or(0, |pool| pool.online.len());
        let jitter = jitter_of(request.ticket);
        // The terms are those of the arrival; what is left of the time has shrunk since.
        let run = hold.min(terms.time_left / 2);
        let terms = CallerTerms {
            time_left: left + run,
            ..terms.clone()
        };
        let rates = self.service_rates(request, now);
        let retry_after = admission.return_after(&terms, queued, rates, jitter, now);
        QueueVerdict::Refused { retry_after }
    }

    fn service_rates(&self, request: &SlotRequest, now: Instant) -> ServiceRates {
        let all = self.request_rate(&request.service, None, None, now);
        let own = self.own_rate(request, all, now);
        ServiceRates { all, own }
    }

    pub(super) fn wait_limits(&self, request: &SlotRequest, terms: &CallerTerms) -> WaitLimits {
        let averages = self.averages(&request.service);
        WaitLimits::new(
            terms,
            Duration::from_secs_f64(averages.first_answer_seconds),
            Duration::from_secs_f64(averages.hold_seconds),
        )
    }

    /// The queued requests that would go before one of a team that is queued now.
    fn queued_ahead_of(
        &self,
        admission: &ServiceAdmission,
        request: &SlotRequest,
        is_late: bool,
        team: Option<&TeamName>,
    ) -> QueueAhead {
        let (rank, homes) = (request.rank, request.homes.as_ref());
        let mut ahead = QueueAhead::default();
        let Some(pool) = self.services.get(&request.service) else {
            return ahead;
        };
        let position = QueuePosition {
            rank,
            is_late,
            tag: admission.start_tag(rank, is_late, team),
            arrival: u64::MAX,
        };
        for (other, waiting) in pool.online.range(..position) {
            ahead.all += 1;
            let is_same_class = other.rank == rank && other.is_late == is_late;
            ahead.of_team += usize::from(is_same_class && waiting.team() == team);
            let has_homes = homes.is_some() && waiting.request.homes.as_ref() == homes;
            ahead.of_homes += usize::from(has_homes);
        }
        ahead
    }
}

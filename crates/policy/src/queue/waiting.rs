//! The queue of one model or service.

use super::rate::ServiceRate;
use super::{FairShares, TeamKey};
use chicoryladder_types::prelude::*;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The retry delay given while the service rate of a queue is unknown.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// A waiting request in a [`RequestQueue`].
    pub struct QueueTicket;
}

/// A request for which no server is free.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// The team of the request; `None` on a public route.
    pub team: Option<&'a TeamName>,
    /// The share of the team.
    pub share: u32,
    /// The class of the request.
    pub class: &'a ClassName,
    /// The maximum number of waiting requests of the class; `None` if unbounded.
    pub class_max: Option<u32>,
    /// The latest useful start of the request on a server.
    pub give_up_at: Instant,
}

/// The refusal of a request by the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// [`RefusalReason::QueueFull`] or [`RefusalReason::DeadlineUnmet`].
    pub reason: RefusalReason,
    /// The time after which a new attempt can succeed.
    pub retry_after: Duration,
}

/// A waiting request whose time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// The request.
    pub ticket: QueueTicket,
    /// The time after which a new attempt can succeed.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    team: TeamKey,
    class: ClassName,
    give_up_at: Instant,
}

/// The online requests waiting for one model or service.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: SlotMap<QueueTicket, WaitingRequest>,
    shares: FairShares,
    by_team: HashMap<TeamKey, BTreeSet<(Instant, QueueTicket)>>,
    by_give_up: BTreeSet<(Instant, QueueTicket)>,
    by_class: HashMap<ClassName, u32>,
    rate: ServiceRate,
}

impl RequestQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    ///
    /// Fails if the class has its maximum number of waiting requests, or if the
    /// request could not be served in time at the measured service rate.
    pub fn enqueue(
        &mut self,
        request: &QueueRequest<'_>,
        now: Instant,
    ) -> Result<QueueTicket, QueueRefusal> {
        let wait = self.expected_wait(request);
        let refuse = |reason| {
            let retry_after = wait.unwrap_or(UNKNOWN_RETRY_AFTER);
            Err(QueueRefusal {
                reason,
                retry_after,
            })
        };
        if request
            .class_max
            .is_some_and(|max| self.waiting_of(request.class) >= max)
        {
            return refuse(RefusalReason::QueueFull);
        }
        if now + wait.unwrap_or_default() >= request.give_up_at {
            return refuse(RefusalReason::DeadlineUnmet);
        }
        Ok(self.insert(request))
    }

    /// Iterates over the next request of each waiting team, in the order of service.
    pub fn order(&self) -> impl Iterator<Item = QueueTicket> {
        let first = |team: TeamKey| self.by_team.get(&team)?.first().copied();
        let next_requests = self.shares.order().filter_map(first);
        next_requests.map(|(_, ticket)| ticket)
    }

    /// Removes a request that is sent to a server, and charges `service_time`, its
    /// expected service time, to its team.
    pub fn serve(&mut self, ticket: QueueTicket, service_time: Duration, now: Instant) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        self.shares.charge(request.team, service_time);
        self.rate.record_served(now);
        self.remove(ticket);
        if self.requests.is_empty() {
            self.rate.record_empty();
        }
    }

    /// Removes a request, for instance because its caller disconnected.
    pub fn remove(&mut self, ticket: QueueTicket) {
        let Some(request) = self.requests.remove(ticket) else {
            return;
        };
        self.by_give_up.remove(&(request.give_up_at, ticket));
        if let Some(waiting) = self.by_team.get_mut(&request.team) {
            waiting.remove(&(request.give_up_at, ticket));
            if waiting.is_empty() {
                self.by_team.remove(&request.team);
            }
        }
        if let Some(count) = self.by_class.get_mut(&request.class) {
            *count = count.saturating_sub(1);
        }
        self.shares.leave(request.team);
    }

    /// Removes all requests whose time limit has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<ExpiredRequest> {
        let mut expired = Vec::new();
        while let Some((give_up_at, ticket)) = self.by_give_up.first().copied() {
            if give_up_at > now {
                break;
            }
            let waiting = self.requests.len() as u64;
            let retry_after = self.rate.time_for(waiting).unwrap_or(UNKNOWN_RETRY_AFTER);
            self.remove(ticket);
            expired.push(ExpiredRequest {
                ticket,
                retry_after,
            });
        }
        expired
    }

    /// Returns the earliest time limit of a waiting request.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.by_give_up.first().map(|(at, _)| *at)
    }

    /// Returns the estimated time until a new request is served; `None` if the queue is
    /// empty or its service rate unknown.
    fn expected_wait(&self, request: &QueueRequest<'_>) -> Option<Duration> {
        if self.requests.is_empty() {
            return None;
        }
        let turns = self.shares.turns_until_served(request.team, request.share);
        let turns = turns.min(self.requests.len() as u64 + 1);
        self.rate.time_for(turns)
    }

    fn waiting_of(&self, class: &ClassName) -> u32 {
        self.by_class.get(class).copied().unwrap_or(0)
    }

    fn insert(&mut self, request: &QueueRequest<'_>) -> QueueTicket {
        let team = self.shares.enter(request.team, request.share);
        let ticket = self.requests.insert(WaitingRequest {
            team,
            class: request.class.clone(),
            give_up_at: request.give_up_at,
        });
        let entry = (request.give_up_at, ticket);
        self.by_give_up.insert(entry);
        self.by_team.entry(team).or_default().insert(entry);
        *self.by_class.entry(request.class.clone()).or_default() += 1;
        ticket
    }
}

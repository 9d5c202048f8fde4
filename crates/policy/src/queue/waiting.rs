//! The queue of one model or service.

use super::pace::ServicePace;
use super::{FairShares, TeamKey};
use chicoryladder_types::prelude::*;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The time to come back after while the pace of a queue is unknown.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// A waiting request in a [`RequestQueue`].
    pub struct QueueTicket;
}

/// A request that found no free server.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// The team that the request runs for; `None` on a route open to all.
    pub team: Option<&'a TeamName>,
    /// The share of the team.
    pub share: u32,
    /// The class of work.
    pub class: &'a ClassName,
    /// The most requests of the class that may wait; `None` for no bound.
    pub class_max: Option<u32>,
    /// The instant after which a server would be of no use.
    pub give_up_at: Instant,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// [`RefusalReason::QueueFull`] or [`RefusalReason::DeadlineUnmet`].
    pub reason: RefusalReason,
    /// When a new attempt can succeed.
    pub retry_after: Duration,
}

/// A waiting request that is given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// The request.
    pub ticket: QueueTicket,
    /// When a new attempt can succeed.
    pub retry_after: Duration,
}

#[derive(Clone, Debug)]
struct WaitingRequest {
    team: TeamKey,
    class: ClassName,
    give_up_at: Instant,
}

/// Online requests that wait for one model or service.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    requests: SlotMap<QueueTicket, WaitingRequest>,
    shares: FairShares,
    by_team: HashMap<TeamKey, BTreeSet<(Instant, QueueTicket)>>,
    by_give_up: BTreeSet<(Instant, QueueTicket)>,
    by_class: HashMap<ClassName, u32>,
    pace: ServicePace,
}

impl RequestQueue {
    /// An empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Refuses at once if the class is full, or if the turn of the request
    /// cannot come in time at the pace measured.
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

    /// Waiting requests in the order of service, the best of each team.
    pub fn order(&self) -> impl Iterator<Item = QueueTicket> {
        let first = |team: TeamKey| self.by_team.get(&team)?.first().copied();
        let firsts = self.shares.order().filter_map(first);
        firsts.map(|(_, ticket)| ticket)
    }

    /// Takes a request out to serve it; `service_time` is what it is expected
    /// to take, charged to its team.
    pub fn serve(&mut self, ticket: QueueTicket, service_time: Duration, now: Instant) {
        let Some(request) = self.requests.get(ticket) else {
            return;
        };
        self.shares.charge(request.team, service_time);
        self.pace.served(now);
        self.remove(ticket);
        if self.requests.is_empty() {
            self.pace.ran_empty();
        }
    }

    /// Takes a request out whose caller left.
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

    /// Takes out every request whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<ExpiredRequest> {
        let mut expired = Vec::new();
        while let Some((give_up_at, ticket)) = self.by_give_up.first().copied() {
            if give_up_at > now {
                break;
            }
            let waiting = self.requests.len() as u64;
            let retry_after = self.pace.time_for(waiting).unwrap_or(UNKNOWN_RETRY_AFTER);
            self.remove(ticket);
            expired.push(ExpiredRequest {
                ticket,
                retry_after,
            });
        }
        expired
    }

    /// The next instant at which a request is given up on.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.by_give_up.first().map(|(at, _)| *at)
    }

    /// The time until a new request would be served; `None` while unknown.
    fn expected_wait(&self, request: &QueueRequest<'_>) -> Option<Duration> {
        if self.requests.is_empty() {
            return None;
        }
        let turns = self.shares.turns_before(request.team, request.share);
        let turns = turns.min(self.requests.len() as u64 + 1);
        self.pace.time_for(turns)
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

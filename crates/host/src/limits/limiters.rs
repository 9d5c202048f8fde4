//! The per-team limiters of this host, which admit requests from token quotas.

use super::handle::{AdmissionEvent, AdmissionSender};
use super::owners::SESSION_BITS;
use super::reserves::rate_limit;
use chicoryladder_policy::limits::{
    LimitAdmission, LimiterAction, QuotaGrant, QuotaRecall, QuotaRequest, QuotaSession,
    TeamLimiter, WaiterKey,
};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time after which the limiter of a team without requests is removed.
const IDLE_TEAM_TTL: Duration = Duration::from_secs(60);

struct TeamEntry {
    limiter: TeamLimiter,
    waiting: HashMap<WaiterKey, AdmissionSender>,
    last_used_at: Instant,
}

/// The limiters of one host.
pub(super) struct LimiterSet {
    host: HostName,
    session: QuotaSession,
    started: Instant,
    teams: HashMap<TeamName, TeamEntry>,
}

impl LimiterSet {
    /// `session` must be above every session of an earlier process on this host.
    pub(super) fn new(host: HostName, session: QuotaSession, started: Instant) -> Self {
        Self {
            host,
            session,
            started,
            teams: HashMap::new(),
        }
    }

    /// Admits or refuses a request, or queues it until a token is available.
    /// Returns the quota requests to send.
    ///
    /// `reserve` is the host that owns the reserve used in this zone, if known.
    pub(super) fn admit(
        &mut self,
        event: AdmissionEvent,
        reserve: Option<&HostName>,
        now: Instant,
    ) -> Vec<QuotaRequest> {
        let Some(limit) = rate_limit(&event.terms) else {
            let _ = event.answer.send(Err(rate_exceeded(None)));
            return Vec::new();
        };
        let (host, session) = (&self.host, self.next_session(now));
        let team = event.team;
        let entry = self.teams.entry(team.clone()).or_insert_with(|| TeamEntry {
            limiter: TeamLimiter::new(&team, host, None, limit, session),
            waiting: HashMap::new(),
            last_used_at: now,
        });
        entry.last_used_at = now;
        entry.limiter.set_limit(limit);
        if let Some(reserve) = reserve {
            entry.limiter.add_reserve(reserve);
        }
        match entry.limiter.admit(event.deadline, now) {
            LimitAdmission::Admitted => {
                // The channel is closed if the caller has disconnected.
                let _ = event.answer.send(Ok(()));
            }
            LimitAdmission::Waiting(key) => {
                entry.waiting.insert(key, event.answer);
            }
            LimitAdmission::Refused { retry_after } => {
                let _ = event.answer.send(Err(rate_exceeded(Some(retry_after))));
            }
        }
        entry.poll(now)
    }

    /// Returns a session above every session of a removed limiter of the team.
    fn next_session(&self, now: Instant) -> QuotaSession {
        let elapsed = now.saturating_duration_since(self.started).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX >> SESSION_BITS);
        QuotaSession(self.session.0 + (elapsed << SESSION_BITS))
    }

    pub(super) fn handle_grant(&mut self, grant: &QuotaGrant, now: Instant) -> Vec<QuotaRequest> {
        let Some(entry) = self.teams.get_mut(&grant.team) else {
            return Vec::new();
        };
        entry.limiter.handle_grant(grant, now);
        entry.poll(now)
    }

    pub(super) fn handle_recall(
        &mut self,
        recall: &QuotaRecall,
        now: Instant,
    ) -> Vec<QuotaRequest> {
        let Some(entry) = self.teams.get_mut(&recall.team) else {
            return Vec::new();
        };
        entry.limiter.handle_recall(recall, now);
        entry.poll(now)
    }

    pub(super) fn poll(&mut self, now: Instant) -> Vec<QuotaRequest> {
        self.teams.retain(|_, entry| !entry.is_expired(now));
        let requests = self.teams.values_mut().map(|entry| entry.poll(now));
        requests.flatten().collect()
    }

    /// Returns whether any request waits for a token.
    pub(super) fn is_busy(&self) -> bool {
        self.teams.values().any(|entry| !entry.waiting.is_empty())
    }
}

impl TeamEntry {
    fn poll(&mut self, now: Instant) -> Vec<QuotaRequest> {
        self.cancel_disconnected();
        let mut requests = Vec::new();
        for action in self.limiter.poll(now) {
            match action {
                LimiterAction::Admit(key) => self.answer(key, Ok(())),
                LimiterAction::Refuse {
                    waiter,
                    retry_after,
                } => self.answer(waiter, Err(rate_exceeded(Some(retry_after)))),
                LimiterAction::Send(request) => requests.push(request),
            }
        }
        requests
    }

    fn answer(&mut self, key: WaiterKey, result: Result<(), RequestRefusal>) {
        if let Some(sender) = self.waiting.remove(&key) {
            // If the caller has just disconnected, its team loses one token.
            let _ = sender.send(result);
        }
    }

    fn cancel_disconnected(&mut self) {
        let limiter = &mut self.limiter;
        self.waiting.retain(|key, sender| {
            let disconnected = sender.is_closed();
            if disconnected {
                limiter.cancel(*key);
            }
            !disconnected
        });
    }

    fn is_expired(&mut self, now: Instant) -> bool {
        let unused = now.saturating_duration_since(self.last_used_at) >= IDLE_TEAM_TTL;
        unused && self.waiting.is_empty() && self.limiter.is_idle(now)
    }
}

fn rate_exceeded(retry_after: Option<Duration>) -> RequestRefusal {
    let detail = "the team is beyond its rate and burst";
    let refusal = RequestRefusal::not_run(RefusalReason::RateExceeded, detail);
    match retry_after {
        Some(retry_after) => refusal.with_retry_after(retry_after),
        None => refusal,
    }
}

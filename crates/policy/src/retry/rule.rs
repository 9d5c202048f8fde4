//! The retry policy and its backoff.

use super::RetryBudget;
use chicoryladder_types::prelude::*;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// An attempt without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// The cause of the failure.
    pub reason: RetryReason,
    /// Whether this attempt or an earlier one ran or may have run.
    pub verdict: RunVerdict,
    /// The number of attempts so far, including this one.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The deadline of the complete response.
    pub deadline: Instant,
}

/// Why a failed request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryStop {
    /// The request ran, or may have run and is not idempotent.
    VerdictForbids,
    /// The maximum number of attempts was reached.
    AttemptsSpent,
    /// The next attempt could not start before the deadline.
    DeadlineNear,
    /// The retry budget of the class is exhausted.
    BudgetSpent,
}

/// The decision after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another backend server.
    Retry {
        /// The reason under which the retry is counted.
        reason: RetryReason,
        /// The earliest start of the next attempt.
        not_before: Instant,
    },
    /// Respond to the caller with a refusal.
    GiveUp {
        /// Why the request is not retried.
        stop: RetryStop,
        /// The refusal to send.
        refusal: RequestRefusal,
    },
}

/// Limits the number of attempts at a request and the backoff between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// The maximum backoff before the first retry; it doubles with each retry.
    pub base_backoff: Duration,
    /// The upper limit of the backoff.
    pub max_backoff: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            base_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(250),
        }
    }
}

impl RetryPolicy {
    /// Decides whether to retry after a failed attempt; a retry is charged to `budget`.
    pub fn decide(
        &self,
        failure: &AttemptFailure,
        budget: &mut RetryBudget,
        rng: &mut dyn Rng,
        now: Instant,
    ) -> RetryDecision {
        if !verdict_permits(failure) {
            return give_up(failure, RetryStop::VerdictForbids);
        }
        if failure.attempts >= self.max_attempts {
            return give_up(failure, RetryStop::AttemptsSpent);
        }
        let not_before = now + self.backoff(failure.attempts, rng);
        if not_before >= failure.deadline {
            return give_up(failure, RetryStop::DeadlineNear);
        }
        if !budget.try_spend(now) {
            return give_up(failure, RetryStop::BudgetSpent);
        }
        RetryDecision::Retry {
            reason: failure.reason,
            not_before,
        }
    }

    /// Returns an exponential backoff with full jitter, so that attempts that failed
    /// at the same time are not retried at the same time.
    fn backoff(&self, attempts: u32, rng: &mut dyn Rng) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let ceiling = self.base_backoff * (1 << doublings);
        let ceiling = ceiling.min(self.max_backoff);
        rng.random_range(Duration::ZERO..=ceiling)
    }
}

fn verdict_permits(failure: &AttemptFailure) -> bool {
    match failure.verdict {
        RunVerdict::NotRun => true,
        RunVerdict::MayHaveRun => failure.idempotent,
        RunVerdict::Ran => false,
    }
}

fn give_up(failure: &AttemptFailure, stop: RetryStop) -> RetryDecision {
    let reason = final_reason(failure.reason, stop);
    let refusal = RequestRefusal::new(reason, failure.verdict, stop_detail(stop));
    RetryDecision::GiveUp { stop, refusal }
}

fn final_reason(reason: RetryReason, stop: RetryStop) -> RefusalReason {
    match (reason, stop) {
        (_, RetryStop::DeadlineNear) => RefusalReason::DeadlineUnmet,
        (RetryReason::ResponseMismatched, _) => RefusalReason::ResponseMismatched,
        (RetryReason::ServerSilent, _) => RefusalReason::ServerSilent,
        _ => RefusalReason::ServerFailed,
    }
}

fn stop_detail(stop: RetryStop) -> &'static str {
    match stop {
        RetryStop::VerdictForbids => "The request may have run and is not repeated.",
        RetryStop::AttemptsSpent => "Each attempt at the request failed.",
        RetryStop::DeadlineNear => "No time is left for another attempt.",
        RetryStop::BudgetSpent => "Too many requests of the class fail to retry this one.",
    }
}

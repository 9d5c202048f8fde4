//! The retry rule and its backoff.

use super::RetryBudget;
use chicoryladder_types::prelude::*;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// One attempt that did not bring a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What went wrong.
    pub reason: RetryReason,
    /// Whether this attempt, or an earlier one, may have run.
    pub verdict: RunVerdict,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The instant by which the whole answer is due.
    pub deadline: Instant,
}

/// Why a failed request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryStop {
    /// The request ran, or may have run and is not idempotent.
    VerdictForbids,
    /// The attempts of the policy are used up.
    AttemptsSpent,
    /// The deadline comes before the next attempt could start.
    DeadlineNear,
    /// The budget of the class is used up.
    BudgetSpent,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again on another backend server.
    Retry {
        /// The reason to count.
        reason: RetryReason,
        /// The earliest start of the next attempt.
        not_before: Instant,
    },
    /// Answer the caller at once.
    GiveUp {
        /// Why no further attempt is made.
        stop: RetryStop,
        /// The final answer.
        refusal: RequestRefusal,
    },
}

/// Bounds the attempts at one request and spaces them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Attempts at one request, the first included.
    pub max_attempts: u32,
    /// The longest backoff before the first retry; it doubles with each retry.
    pub base_backoff: Duration,
    /// The longest backoff of all.
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
    /// Decides on a failed attempt; a retry is taken out of `budget`.
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

    /// A random time up to the doubled base, so that callers that failed
    /// together do not return together.
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

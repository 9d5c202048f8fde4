//! Tests of the retry policy: verdicts, attempts, deadlines, budget and backoff.

use chicoryladder_policy::retry::{
    AttemptFailure, RetryBudget, RetryDecision, RetryPolicy, RetryStop,
};
use chicoryladder_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

fn failure(verdict: RunVerdict, idempotent: bool, now: Instant) -> AttemptFailure {
    AttemptFailure {
        reason: RetryReason::ConnectionLost,
        verdict,
        attempts: 1,
        idempotent,
        deadline: now + Duration::from_secs(1),
    }
}

fn decide(failure: &AttemptFailure, now: Instant) -> RetryDecision {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    RetryPolicy::default().decide(failure, &mut RetryBudget::default(), &mut rng, now)
}

fn stop_of(decision: &RetryDecision) -> Option<RetryStop> {
    match decision {
        RetryDecision::Retry { .. } => None,
        RetryDecision::GiveUp { stop, .. } => Some(*stop),
    }
}

#[test]
fn verdict_and_idempotence_decide() {
    let now = Instant::now();
    let cases = [
        (RunVerdict::NotRun, false, None),
        (RunVerdict::NotRun, true, None),
        (RunVerdict::MayHaveRun, true, None),
        (
            RunVerdict::MayHaveRun,
            false,
            Some(RetryStop::VerdictForbids),
        ),
        (RunVerdict::Ran, true, Some(RetryStop::VerdictForbids)),
    ];
    for (verdict, idempotent, expected) in cases {
        let decision = decide(&failure(verdict, idempotent, now), now);
        assert_eq!(stop_of(&decision), expected, "{verdict} {idempotent}");
    }
}

#[test]
fn refusal_keeps_the_verdict() {
    let now = Instant::now();
    let RetryDecision::GiveUp { refusal, .. } =
        decide(&failure(RunVerdict::MayHaveRun, false, now), now)
    else {
        panic!("a non-idempotent request that may have run was retried");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
    assert_eq!(refusal.reason, RefusalReason::ServerFailed);
}

#[test]
fn passed_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut failure = failure(RunVerdict::NotRun, true, now);
    failure.deadline = now;
    assert_eq!(
        stop_of(&decide(&failure, now)),
        Some(RetryStop::DeadlineNear)
    );
}

/// Returns the number of attempts at 1,000 requests while every attempt fails.
fn attempts_under_outage(budget: &mut RetryBudget) -> u32 {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let policy = RetryPolicy::default();
    let mut total = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        let mut failure = failure(RunVerdict::NotRun, true, now);
        total += 1;
        while let RetryDecision::Retry { .. } = policy.decide(&failure, budget, &mut rng, now) {
            failure.attempts += 1;
            total += 1;
        }
    }
    total
}

#[test]
fn budget_bounds_the_load_during_an_outage() {
    // 1,000 first attempts, retries of 20 % of them, and the 20 retries of a new budget.
    assert!(attempts_under_outage(&mut RetryBudget::default()) <= 1_220);
    // With an unlimited budget the same outage triples the load.
    let mut unbounded = RetryBudget::new(100_000, 0, 1_000_000);
    assert_eq!(attempts_under_outage(&mut unbounded), 3_000);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_retry_satisfies_the_policy(
        seed: u64,
        verdict in prop_oneof![
            Just(RunVerdict::NotRun), Just(RunVerdict::MayHaveRun), Just(RunVerdict::Ran)
        ],
        idempotent: bool,
        attempts in 1_u32..6,
        left_ms in 0_u64..400,
    ) {
        let now = Instant::now();
        let policy = RetryPolicy::default();
        let mut failure = failure(verdict, idempotent, now);
        failure.attempts = attempts;
        failure.deadline = now + Duration::from_millis(left_ms);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let decision = policy.decide(&failure, &mut RetryBudget::default(), &mut rng, now);
        if let RetryDecision::Retry { not_before, .. } = decision {
            prop_assert!(verdict == RunVerdict::NotRun || (idempotent && verdict == RunVerdict::MayHaveRun));
            prop_assert!(attempts < policy.max_attempts);
            prop_assert!(not_before < failure.deadline);
        }
    }
}

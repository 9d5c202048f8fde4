//! Refusals are immediate and state the exact time after which a retry succeeds.

use crate::fleet::{Faults, Fleet, Outcome};
use chicoryladder_policy::limits::{LimitError, RateLimit, SplitLimit};
use std::time::Duration;

const WARM_UP: Duration = Duration::from_secs(2);

#[test]
fn retry_after_the_stated_time_is_admitted() {
    let limit = RateLimit::new(2_000, 2).expect("valid");
    let mut fleet = Fleet::new(3, limit, Faults::NONE, 1);
    for _ in 0..3 {
        fleet.arrive(WARM_UP, 1);
    }
    fleet.run_until(WARM_UP + Duration::from_millis(60));
    let refusals = fleet.outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Refused { after, retry_after } => Some((*after, *retry_after)),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    let [(after, retry_after)] = refusals[..] else {
        panic!("one of three is beyond the burst: {:?}", fleet.outcomes);
    };
    assert!(
        after <= Duration::from_millis(10),
        "refused after {after:?}"
    );
    assert!(retry_after <= Duration::from_millis(500), "{retry_after:?}");
    fleet.arrive(WARM_UP + after + retry_after, 1);
    fleet.run_until(WARM_UP + Duration::from_secs(2));
    assert!(
        matches!(fleet.outcomes[3], Outcome::Admitted { .. }),
        "{:?}",
        fleet.outcomes
    );
}

#[test]
fn request_waits_while_it_can_be_admitted_in_time() {
    let limit = RateLimit::new(50_000, 2).expect("valid");
    let mut fleet = Fleet::new(3, limit, Faults::NONE, 2);
    fleet.set_max_wait(Duration::from_millis(100));
    for _ in 0..4 {
        fleet.arrive(WARM_UP, 1);
    }
    fleet.run_until(WARM_UP + Duration::from_millis(200));
    let admitted = |outcome: &Outcome| matches!(outcome, Outcome::Admitted { .. });
    assert!(fleet.outcomes.iter().all(admitted), "{:?}", fleet.outcomes);
}

#[test]
fn split_limits_never_exceed_the_limit_of_the_team() {
    for burst in 1..200 {
        for reserves in 0..22 {
            let whole = RateLimit::new(12_345, burst).expect("valid");
            let split = SplitLimit::new(whole, reserves, 4);
            let part = split.reserve;
            let reserve = part.map_or((0, 0), |part| (part.burst(), part.rate_millis()));
            assert!(split.fleet.burst() + reserve.0 * reserves <= burst);
            assert!(split.fleet.rate_millis() + reserve.1 * reserves <= 12_345);
        }
    }
}

#[test]
fn zero_limits_are_rejected() {
    assert_eq!(RateLimit::new(0, 1), Err(LimitError::ZeroRate));
    assert_eq!(RateLimit::new(1, 0), Err(LimitError::ZeroBurst));
}

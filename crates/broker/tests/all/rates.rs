//! Rate limits of teams across the bucket and the reserves of hosts.

use crate::support::{plan, team, team_name};
use chicoryladder_broker::{RateLedger, RateTolerance};
use std::time::{Duration, Instant};

const TOLERANCE: f64 = 10.0;

fn ledger(rate: f64, burst: f64, now: Instant) -> RateLedger {
    let mut ledger = RateLedger::new(RateTolerance {
        requests: TOLERANCE,
        ..RateTolerance::default()
    });
    ledger.set_plan(&plan(vec![team("t", rate, burst)]), now);
    ledger
}

/// The maximum number of admissions in any window of the given length.
fn max_in_window(admitted: &[Instant], window: Duration) -> usize {
    let mut most = 0;
    for (first, start) in admitted.iter().enumerate() {
        let within = admitted[first..]
            .iter()
            .take_while(|at| **at < *start + window);
        most = most.max(within.count());
    }
    most
}

/// One team requests ten times its rate, while hosts hold reserves and are cut off one
/// after the other.
#[test]
fn admissions_stay_within_rate_and_burst_in_every_window() {
    let start = Instant::now();
    let (rate, burst) = (20.0, 20.0);
    let mut ledger = ledger(rate, burst, start);
    ledger.fill_all();
    ledger.set_holders(4);
    let plan = plan(vec![team("t", rate, burst)]);
    let team = plan.team(&team_name("t")).expect("it is valid").clone();
    let mut reserves = [0u32; 4];
    let mut admitted = Vec::new();
    for step in 0..4_000u64 {
        let now = start + Duration::from_millis(5 * step);
        if ledger.take(&team_name("t"), now).is_ok() {
            admitted.push(now);
        }
        let host = usize::try_from(step % 4).expect("it is valid");
        if step % 60 == 0 {
            reserves[host] += ledger.top_up(&team, reserves[host], now);
        }
        // A host that is cut off spends its whole reserve.
        if step % 900 == 0 {
            admitted.extend(std::iter::repeat_n(now, reserves[host] as usize));
            reserves[host] = 0;
        }
    }
    admitted.sort_unstable();
    for seconds in [1u32, 5, 10] {
        let window = Duration::from_secs(u64::from(seconds));
        let most = max_in_window(&admitted, window);
        let allowed = burst + rate * f64::from(seconds) + TOLERANCE;
        assert!(
            f64::from(u32::try_from(most).expect("a small count")) <= allowed + 1.0,
            "{most} in {seconds} s, {allowed} are allowed"
        );
    }
}

#[test]
fn a_team_within_its_rate_is_never_refused() {
    let start = Instant::now();
    let mut ledger = ledger(20.0, 20.0, start);
    ledger.fill_all();
    ledger.set_holders(9);
    for step in 0..400u32 {
        let now = start + Duration::from_millis(50) * step;
        assert!(ledger.take(&team_name("t"), now).is_ok(), "request {step}");
    }
}

#[test]
fn the_retry_delay_ends_when_the_next_request_is_admitted() {
    let start = Instant::now();
    let mut ledger = ledger(10.0, 1.0, start);
    ledger.fill_all();
    let wait = loop {
        if let Err(wait) = ledger.take(&team_name("t"), start) {
            break wait;
        }
    };
    assert!(wait <= Duration::from_millis(100));
    assert!(ledger.take(&team_name("t"), start + wait).is_ok());
}

#[test]
fn a_new_broker_starts_with_only_a_part_of_the_tolerance() {
    let start = Instant::now();
    let mut ledger = ledger(20.0, 200.0, start);
    let mut admitted = 0;
    while ledger.take(&team_name("t"), start).is_ok() {
        admitted += 1;
    }
    assert!(f64::from(admitted) <= TOLERANCE, "{admitted} at once");
}

#[test]
fn a_team_without_a_rate_has_no_limit() {
    let start = Instant::now();
    let mut ledger = ledger(0.0, 0.0, start);
    assert!((0..1_000).all(|_| ledger.take(&team_name("t"), start).is_ok()));
}

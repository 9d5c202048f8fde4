//! Pattern: all hosts lose power and start again together. For more than a second no host
//! can serve, and every caller that came meanwhile returns.

use chicoryladder_policy::returns::return_after_start;
use std::time::Duration;

/// Callers at an even rate that are refused until the first view after 1.3 s.
fn return_times() -> Vec<Duration> {
    let arrivals = (0..1_300).map(Duration::from_millis);
    let return_at = |at| Some(at + return_after_start(at)?);
    arrivals.filter_map(return_at).collect()
}

#[test]
fn refused_callers_return_in_order_once_the_fleet_can_serve() {
    let times = return_times();
    assert_eq!(times.len(), 1_300);
    assert!(times.is_sorted());
    assert!(times[0] >= Duration::from_millis(1_300));
}

#[test]
fn returning_callers_at_most_triple_the_rate_of_new_ones() {
    let times = return_times();
    let window = Duration::from_millis(100);
    for (first, start) in times.iter().enumerate() {
        let returning = times[first..]
            .iter()
            .take_while(|at| **at < *start + window);
        assert!(returning.count() <= 201, "around {start:?}");
    }
}

#[test]
fn a_start_that_takes_longer_than_usual_gives_no_estimate() {
    assert_eq!(return_after_start(Duration::from_secs(2)), None);
}

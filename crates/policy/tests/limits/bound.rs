//! The check of the bound: at most `burst + rate * t` admissions in every window of
//! length `t`.

use chicoryladder_policy::limits::RateLimit;
use std::time::Duration;

/// Returns the largest excess of admissions over the bound in any window, in units of
/// 10^-12 request; at most zero if the bound holds.
///
/// A window from the i-th to the j-th admission contains `j - i + 1` admissions. For a
/// given j, the excess is largest for the i with the smallest `i - rate * t_i`.
pub(crate) fn worst_excess(limit: RateLimit, admitted: &[Duration]) -> i128 {
    const PICOS: i128 = 1_000_000_000_000;
    let mut times = admitted.to_vec();
    times.sort_unstable();
    let burst = i128::from(limit.burst()) * PICOS;
    let mut lowest = i128::MAX;
    let mut worst = -burst;
    for (index, time) in times.iter().enumerate() {
        let nanos = i128::try_from(time.as_nanos()).expect("short runs");
        let refill = i128::from(limit.rate_millis()) * nanos;
        let index = i128::try_from(index).expect("few admissions") * PICOS;
        lowest = lowest.min(index - refill);
        worst = worst.max(index + PICOS - refill - lowest - burst);
    }
    worst
}

#[test]
fn one_excess_request_is_detected() {
    let limit = RateLimit::new(1_000, 2).expect("valid");
    let at = Duration::from_millis;
    assert!(worst_excess(limit, &[at(0), at(0), at(1_000)]) <= 0);
    assert!(worst_excess(limit, &[at(0), at(0), at(999)]) > 0);
}

//! Compares the policies with their baselines in simulations.
//!
//! `cargo run --release -p chicoryladder-policy --example compare` prints two
//! tables: refusals of requests that an exact token bucket admits, under a skewed
//! load balancer, and the wait for a server under uneven request durations. All
//! seeds are fixed.

#[path = "../../tests/limits/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod routing;

use chicoryladder_policy::limits::{RateLimit, TokenAmount};
use fleet::{Faults, Fleet, Outcome, poisson};
use std::time::Duration;

const HOSTS: usize = 9;
const WARM_UP: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(60);
const MAX_WAIT: Duration = Duration::from_millis(50);

/// The relative load of the hosts: 40 % of the requests go to one host.
const SKEWED: [u32; HOSTS] = [40, 15, 10, 10, 10, 5, 5, 3, 2];

/// A token bucket as a generic cell rate algorithm; all times are in seconds.
struct PlainBucket {
    interval: f64,
    tolerance: f64,
    theoretical_arrival: f64,
}

impl PlainBucket {
    fn new(rate: f64, burst: f64) -> Self {
        let interval = 1.0 / rate;
        Self {
            interval,
            tolerance: interval * (burst - 1.0).max(0.0),
            theoretical_arrival: 0.0,
        }
    }

    /// Admits a request at `at` if a token is available within `max_wait` seconds.
    fn admit(&mut self, at: f64, max_wait: f64) -> bool {
        let ready = self.theoretical_arrival - self.tolerance;
        if ready > at + max_wait {
            return false;
        }
        self.theoretical_arrival = self.theoretical_arrival.max(at) + self.interval;
        true
    }
}

fn main() {
    compare_limits();
    routing::compare();
}

fn compare_limits() {
    println!("refusals within the rate, 9 hosts, skewed balancer, 90 % of 200/s, 60 s");
    println!("burst | one bucket refuses | static shares | quotas | messages/request");
    for burst in [9, 18, 50, 200] {
        let limit = RateLimit::new(200_000, burst).expect("valid");
        let arrivals = poisson(17, 180.0, SPAN, &SKEWED);
        let ideal = one_bucket(limit, &arrivals);
        let shares = static_shares(limit, &arrivals);
        let (quotas, messages) = quotas(limit, &arrivals);
        let refused = ideal.iter().filter(|admitted| !**admitted).count();
        println!(
            "{burst:5} | {:18.3}% | {:12.3}% | {:5.3}% | {:.2}",
            percent(refused, arrivals.len()),
            wrongly_refused(&ideal, &shares),
            wrongly_refused(&ideal, &quotas),
            messages / count(arrivals.len()),
        );
    }
}

/// Admits with one token bucket for all hosts, the ideal.
fn one_bucket(limit: RateLimit, arrivals: &[(Duration, usize)]) -> Vec<bool> {
    let (rate, burst) = rate_and_burst(limit);
    let mut bucket = PlainBucket::new(rate, burst);
    let admit = |(at, _): &(Duration, usize)| bucket.admit(at.as_secs_f64(), 0.0);
    arrivals.iter().map(admit).collect()
}

/// Admits with one token bucket per host, each with an equal share of the limit.
fn static_shares(limit: RateLimit, arrivals: &[(Duration, usize)]) -> Vec<bool> {
    let (rate, burst) = rate_and_burst(limit);
    let parts = count(HOSTS);
    let bucket = || PlainBucket::new(rate / parts, burst / parts);
    let mut buckets: Vec<PlainBucket> = (0..HOSTS).map(|_| bucket()).collect();
    let max_wait = MAX_WAIT.as_secs_f64();
    let admit = |(at, host): &(Duration, usize)| buckets[*host].admit(at.as_secs_f64(), max_wait);
    arrivals.iter().map(admit).collect()
}

/// Admits with the token quotas of the policy; returns the outcomes and the number of
/// messages.
fn quotas(limit: RateLimit, arrivals: &[(Duration, usize)]) -> (Vec<bool>, f64) {
    let mut fleet = Fleet::new(HOSTS, limit, Faults::NONE, 5);
    fleet.set_max_wait(MAX_WAIT);
    for (at, host) in arrivals {
        fleet.arrive(WARM_UP + *at, *host);
    }
    fleet.run_until(WARM_UP + SPAN + Duration::from_secs(1));
    let admitted = |outcome: &Outcome| matches!(outcome, Outcome::Admitted { .. });
    let messages = u32::try_from(fleet.messages).expect("a short run");
    (
        fleet.outcomes.iter().map(admitted).collect(),
        f64::from(messages),
    )
}

/// Returns the percentage of all requests that a single bucket admits and the fleet
/// refuses.
fn wrongly_refused(ideal: &[bool], fleet: &[bool]) -> f64 {
    let both = ideal.iter().zip(fleet);
    let refused = both.filter(|(ideal, fleet)| **ideal && !**fleet).count();
    percent(refused, ideal.len())
}

fn rate_and_burst(limit: RateLimit) -> (f64, f64) {
    let second = limit.refill(Duration::from_secs(1));
    let rate = count(usize::try_from(second.whole_tokens()).expect("small"));
    let burst = TokenAmount::whole(limit.burst()).whole_tokens();
    (rate, count(usize::try_from(burst).expect("small")))
}

fn percent(part: usize, whole: usize) -> f64 {
    100.0 * count(part) / count(whole)
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).expect("a short run"))
}

//! The bound of a team holds in every window under all network faults.

use crate::bound::worst_excess;
use crate::fleet::{Faults, Fleet, Outcome, poisson};
use chicoryladder_policy::limits::RateLimit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const WARM_UP: Duration = Duration::from_secs(2);

fn limit(rate: u64, burst: u64) -> RateLimit {
    RateLimit::new(rate * 1_000, burst).expect("valid")
}

fn offer(fleet: &mut Fleet, seed: u64, rate: f64, seconds: u64, weights: &[u32]) {
    for (at, host) in poisson(seed, rate, Duration::from_secs(seconds), weights) {
        fleet.arrive(WARM_UP + at, host);
    }
}

fn admitted_share(fleet: &Fleet) -> f64 {
    let admitted = u32::try_from(fleet.admitted.len()).expect("few");
    let arrivals = u32::try_from(fleet.arrivals.len()).expect("few");
    f64::from(admitted) / f64::from(arrivals)
}

#[test]
fn ten_times_the_rate_gets_the_rate() {
    let mut fleet = Fleet::new(9, limit(100, 20), Faults::NONE, 1);
    offer(&mut fleet, 2, 1_000.0, 5, &[1; 9]);
    fleet.run_until(WARM_UP + Duration::from_secs(6));
    assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
    assert!(
        fleet.admitted.len() >= 480,
        "admitted {}",
        fleet.admitted.len()
    );
}

#[test]
fn skewed_load_within_the_rate_is_admitted() {
    let weights = [40, 10, 10, 5, 5, 1, 1, 1, 1];
    let mut fleet = Fleet::new(9, limit(200, 100), Faults::NONE, 3);
    offer(&mut fleet, 4, 180.0, 20, &weights);
    fleet.run_until(WARM_UP + Duration::from_secs(21));
    assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
    assert!(admitted_share(&fleet) > 0.999, "{}", admitted_share(&fleet));
}

#[test]
fn single_busy_host_gets_the_whole_rate() {
    let mut fleet = Fleet::new(9, limit(100, 20), Faults::NONE, 5);
    offer(&mut fleet, 6, 400.0, 10, &[0, 0, 0, 0, 1, 0, 0, 0, 0]);
    fleet.run_until(WARM_UP + Duration::from_secs(11));
    assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
    assert!(
        fleet.admitted.len() >= 950,
        "admitted {}",
        fleet.admitted.len()
    );
}

#[test]
fn partitioned_zone_admits_within_its_reserve() {
    let mut fleet = Fleet::new(9, limit(100, 30), Faults::NONE, 7);
    fleet.partition(Some(1));
    let hosts = fleet.hosts_of(1);
    for step in 0..1_000 {
        let at = WARM_UP + Duration::from_millis(step * 10);
        fleet.arrive(
            at,
            hosts[usize::try_from(step).expect("small") % hosts.len()],
        );
    }
    fleet.run_until(WARM_UP + Duration::from_secs(11));
    assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
    // The reserve of the zone has a tenth of the rate.
    assert!(
        fleet.admitted.len() >= 90,
        "admitted {}",
        fleet.admitted.len()
    );
}

#[test]
fn partitioned_zone_without_a_reserve_admits_nothing() {
    // The burst is too small to split, so the zone has no reserve.
    let mut fleet = Fleet::new(9, limit(100, 3), Faults::NONE, 7);
    fleet.partition(Some(1));
    for step in 0..100 {
        fleet.arrive(WARM_UP + Duration::from_millis(step * 10), 1);
    }
    fleet.run_until(WARM_UP + Duration::from_secs(2));
    assert!(fleet.admitted.is_empty());
}

/// Runs a fleet in which the owners change while hosts hold quotas.
fn owner_change(faults: Faults) -> Fleet {
    let mut fleet = Fleet::new(9, limit(50, 90), faults, 9);
    offer(&mut fleet, 10, 800.0, 3, &[1; 9]);
    for step in 1..=5 {
        fleet.run_until(WARM_UP + Duration::from_millis(step * 500));
        fleet.replace_owners();
    }
    fleet.run_until(WARM_UP + Duration::from_secs(5));
    fleet
}

#[test]
fn owner_change_maintains_the_bound() {
    let fleet = owner_change(Faults::NONE);
    assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
}

#[test]
fn every_arrival_is_decided_in_time() {
    let mut fleet = Fleet::new(9, limit(50, 10), Faults::NONE, 15);
    offer(&mut fleet, 16, 500.0, 3, &[1; 9]);
    fleet.run_until(WARM_UP + Duration::from_millis(1_500));
    fleet.lose_fleet_owner();
    fleet.run_until(WARM_UP + Duration::from_secs(5));
    for outcome in &fleet.outcomes {
        match outcome {
            Outcome::Undecided => panic!("a request was never decided"),
            Outcome::Admitted { after } | Outcome::Refused { after, .. } => {
                assert!(*after <= Duration::from_millis(53), "{after:?}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(21),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bound_holds_under_faults(
        seed: u64,
        rate in 20_u64..400,
        burst in 1_u64..120,
        load_percent in 50_u64..1_000,
        loss_percent in 0_u32..40,
        duplicate_percent in 0_u32..30,
        delay_ms in 3_u64..700,
        changes in prop::collection::vec((100_u64..1_500, any::<bool>()), 0..4),
        zone in prop::option::of(0_usize..3),
        weights in prop::collection::vec(0_u32..20, 9),
    ) {
        let faults = Faults {
            loss_percent,
            duplicate_percent,
            max_delay: Duration::from_millis(delay_ms),
        };
        let mut weights = weights;
        weights[0] += 1;
        let mut fleet = Fleet::new(9, limit(rate, burst), faults, seed);
        let offered = f64::from(u32::try_from(rate * load_percent).expect("small")) / 100.0;
        offer(&mut fleet, seed ^ 1, offered, 3, &weights);
        for (after, partitions) in changes {
            let at = fleet.now().max(WARM_UP) + Duration::from_millis(after);
            fleet.run_until(at);
            prop_assert!(fleet.buckets_within_burst());
            if partitions {
                fleet.partition(zone);
            } else {
                fleet.replace_owners();
            }
        }
        fleet.run_until(WARM_UP + Duration::from_secs(8));
        prop_assert!(fleet.buckets_within_burst());
        prop_assert!(worst_excess(fleet.limit, &fleet.admitted) <= 0);
        prop_assert!(!fleet.outcomes.contains(&Outcome::Undecided));
    }
}

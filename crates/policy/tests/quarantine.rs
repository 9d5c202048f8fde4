//! A request that crashes its servers crashes at most two of them.

use chicoryladder_policy::quarantine::{
    CrashReport, QuarantineTable, RequestFingerprint, ServerCrash, SuspectStatus, SuspectUpdate,
    TrialCoordinator, TrialDecision,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServerGeneration};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::{Duration, Instant};

const QUARANTINE: Duration = Duration::from_secs(600);
const PERMIT: Duration = Duration::from_secs(30);

fn fingerprint(body: &str) -> RequestFingerprint {
    let team = TeamName::try_from("park").expect("valid");
    let route = RouteName::try_from("chat").expect("valid");
    RequestFingerprint::new(Some(&team), &route, "/chat", body.as_bytes())
}

fn crash(server: usize, generation: u64) -> ServerCrash {
    ServerCrash {
        server: ServerName::try_from(format!("server-{server}")).expect("valid"),
        generation: ServerGeneration(generation),
    }
}

fn host(index: usize) -> HostName {
    HostName::try_from(format!("host-{index}")).expect("valid")
}

#[test]
fn second_crash_quarantines_and_a_response_clears() {
    let now = Instant::now();
    let mut table = QuarantineTable::new(QUARANTINE);
    let (poison, innocent) = (fingerprint("poison"), fingerprint("innocent"));
    let in_flight = vec![poison, innocent];
    table.report_crash(
        &CrashReport {
            crash: crash(1, 1),
            in_flight,
        },
        now,
    );
    assert_eq!(table.status(poison, now), SuspectStatus::Suspect);
    assert_eq!(table.status(innocent, now), SuspectStatus::Suspect);
    table.report_answer(innocent, now);
    assert_eq!(table.status(innocent, now), SuspectStatus::Clear);
    let in_flight = vec![poison];
    table.report_crash(
        &CrashReport {
            crash: crash(2, 1),
            in_flight,
        },
        now,
    );
    let retry_after = QUARANTINE;
    assert_eq!(
        table.status(poison, now),
        SuspectStatus::Quarantined { retry_after }
    );
    assert_eq!(table.status(poison, now + QUARANTINE), SuspectStatus::Clear);
    table.expire(now + QUARANTINE);
    assert!(table.is_empty());
}

#[test]
fn two_hosts_never_try_one_suspect_at_the_same_time() {
    let now = Instant::now();
    let suspect = fingerprint("suspect");
    let mut coordinator = TrialCoordinator::new(PERMIT, now);
    assert!(matches!(
        coordinator.request(suspect, &host(1), now),
        TrialDecision::Busy { .. }
    ));
    let opens_at = now + PERMIT;
    assert_eq!(
        coordinator.request(suspect, &host(1), opens_at),
        TrialDecision::Permitted
    );
    let busy = TrialDecision::Busy {
        retry_after: PERMIT,
    };
    assert_eq!(coordinator.request(suspect, &host(2), opens_at), busy);
    coordinator.release(suspect, &host(2));
    assert_eq!(coordinator.request(suspect, &host(2), opens_at), busy);
    coordinator.release(suspect, &host(1));
    assert_eq!(
        coordinator.request(suspect, &host(2), opens_at),
        TrialDecision::Permitted
    );
}

/// A fleet whose callers resend crashing requests to random hosts.
struct CrashFleet {
    shared: bool,
    hosts: Vec<QuarantineTable>,
    trials: TrialCoordinator,
    crashed_servers: HashMap<RequestFingerprint, usize>,
    next_server: usize,
    now: Instant,
}

impl CrashFleet {
    fn new(hosts: usize, shared: bool) -> Self {
        let start = Instant::now();
        Self {
            shared,
            hosts: vec![QuarantineTable::new(QUARANTINE); hosts],
            trials: TrialCoordinator::new(PERMIT, start),
            crashed_servers: HashMap::new(),
            next_server: 0,
            now: start + PERMIT,
        }
    }

    fn send(&mut self, host_index: usize, poison: RequestFingerprint) {
        let status = self.hosts[host_index].status(poison, self.now);
        if status == SuspectStatus::Suspect {
            let decision = self.trials.request(poison, &host(host_index), self.now);
            if decision != TrialDecision::Permitted {
                return;
            }
        } else if status != SuspectStatus::Clear {
            return;
        }
        self.next_server += 1;
        *self.crashed_servers.entry(poison).or_default() += 1;
        let report = CrashReport {
            crash: crash(self.next_server, 1),
            in_flight: vec![poison],
        };
        let updates = self.hosts[host_index].report_crash(&report, self.now);
        self.share(&updates);
        self.trials.release(poison, &host(host_index));
    }

    fn share(&mut self, updates: &[SuspectUpdate]) {
        if !self.shared {
            return;
        }
        for table in &mut self.hosts {
            for update in updates {
                table.merge(update, self.now);
            }
        }
    }
}

fn max_crashes_per_request(shared: bool) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = CrashFleet::new(9, shared);
    let poison_requests: Vec<_> = (0..10)
        .map(|index| fingerprint(&format!("poison {index}")))
        .collect();
    for _ in 0..500 {
        let poison = poison_requests[rng.random_range(0..poison_requests.len())];
        let host_index = rng.random_range(0..9);
        fleet.now += Duration::from_millis(100);
        fleet.send(host_index, poison);
    }
    fleet
        .crashed_servers
        .values()
        .copied()
        .max()
        .unwrap_or_default()
}

#[test]
fn ten_crashing_requests_resent_to_any_host_crash_two_servers_each() {
    assert_eq!(max_crashes_per_request(true), 2);
    // Without shared updates, each host has to observe the crashes itself.
    assert!(max_crashes_per_request(false) > 10);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn order_and_repetition_of_updates_do_not_matter(
        seed: u64,
        crashes in prop::collection::vec((0_usize..3, 0_usize..4), 1..12),
        answered in prop::collection::vec(0_usize..3, 0..3),
    ) {
        let now = Instant::now();
        let mut origin = QuarantineTable::new(QUARANTINE);
        let mut updates = Vec::new();
        for (request, server) in crashes {
            let in_flight = vec![fingerprint(&request.to_string())];
            updates.extend(origin.report_crash(&CrashReport { crash: crash(server, 1), in_flight }, now));
        }
        for request in answered {
            let one = fingerprint(&request.to_string());
            updates.extend(origin.report_answer(one, now));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut other = QuarantineTable::new(QUARANTINE);
        for _ in 0..2 {
            updates.shuffle(&mut rng);
            for update in &updates {
                other.merge(update, now);
            }
        }
        for request in 0..3 {
            let one = fingerprint(&request.to_string());
            prop_assert_eq!(origin.status(one, now), other.status(one, now));
        }
    }
}

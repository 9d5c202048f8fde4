//! Crashes of servers in quick succession, and what the ledger concludes from them.

use chicoryladder_policy::quarantine::{
    CrashLedger, LostRun, ProvenRun, QuarantineStep, RequestFingerprint, RequestTraits,
    SegmentFingerprint, SegmentStatus, ServerCrash,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServerGeneration, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const SHARED: SegmentFingerprint = SegmentFingerprint(1);

/// The time between the attempts of a caller on a fast network, and until a run crashes its
/// server.
const PAUSE: Duration = Duration::from_millis(3);
const CRASH_AFTER: Duration = Duration::from_millis(1);

/// The delay of the reports between hosts.
const REPORT_DELAY: Duration = Duration::from_millis(2);

fn service() -> ServiceName {
    ServiceName::try_from("chat").expect("valid")
}

fn request(number: u64) -> RequestTraits {
    let route = RouteName::try_from("chat").expect("valid");
    RequestTraits {
        request: RequestFingerprint::new(None, &route, "/chat", &number.to_le_bytes()),
        segments: vec![SHARED],
    }
}

fn server(number: usize) -> ServerCrash {
    ServerCrash {
        server: ServerName::try_from(format!("server-{number}")).expect("valid"),
        generation: ServerGeneration(1),
    }
}

fn status(ledger: &CrashLedger, now: Instant) -> SegmentStatus {
    ledger.segment_status(&service(), &[SHARED], now)
}

/// The runs that reach servers when 30 requests that share a crashing segment come one after the
/// other to two hosts, each with one retry. `knows_sending` tells whether reports say when a run
/// was sent.
fn crashing_runs(knows_sending: bool) -> usize {
    let start = Instant::now();
    let mut now = start;
    let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
    let mut runs = 0;
    for number in 0..30 {
        let traits = request(number);
        let (own, other) = match number % 2 {
            0 => (0, 1),
            _ => (1, 0),
        };
        for _attempt in 0..2 {
            now += PAUSE;
            if matches!(
                status(&ledgers[own], now),
                SegmentStatus::Quarantined { .. }
            ) {
                break;
            }
            let sent_at = now;
            now += CRASH_AFTER;
            let crash = server(runs);
            runs += 1;
            for (host, delay) in [(own, Duration::ZERO), (other, REPORT_DELAY)] {
                let run = LostRun {
                    crash: &crash,
                    traits: &traits,
                    sent_at: knows_sending.then_some(sent_at + delay),
                };
                ledgers[host].record_crash(&service(), run, now + delay);
            }
        }
    }
    runs
}

/// Guards against crashes that count once because they follow each other within milliseconds: of
/// requests with a crashing segment that came one after the other, nine reached servers, eight
/// may.
#[test]
fn crashes_of_requests_one_after_the_other_count_apart() {
    assert_eq!(crashing_runs(true), 6);
    // Reports of hosts of the previous build do not tell when the run was sent.
    assert!(crashing_runs(false) > 8);
}

/// Pattern: ten servers lose power within 50 ms, under requests that share a segment and arrive
/// at each of several rates, also to servers that are about to end. Guards against a hold of the
/// segment: the crashes have a common cause.
#[test]
fn servers_that_end_together_hold_no_segment() {
    for seed in 0..240 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = Instant::now();
        let at = |millis: u64| start + Duration::from_millis(millis);
        let mut ledger = CrashLedger::default();
        let mut ends: Vec<(u64, usize)> = (0..10)
            .map(|server| (100 + random.random_range(0..49), server))
            .collect();
        ends.sort_unstable();
        let mut running: Vec<(u64, usize, u64)> = Vec::new();
        let mut number = 0;
        for millis in 0..150 {
            for (_, lost) in ends.iter().filter(|(end, _)| *end == millis) {
                let ended = running.extract_if(.., |(_, server, _)| server == lost);
                for (sent, _, request_number) in ended.collect::<Vec<_>>() {
                    let traits = request(request_number);
                    let run = LostRun {
                        crash: &server(*lost),
                        traits: &traits,
                        sent_at: Some(at(sent)),
                    };
                    ledger.record_crash(&service(), run, at(millis));
                    ledger.decide(at(millis));
                }
            }
            let alive = ends.iter().filter(|(end, _)| *end > millis);
            let alive: Vec<usize> = alive.map(|(_, server)| *server).collect();
            if !alive.is_empty() && millis % (1 + seed % 12) == 0 {
                let server = alive[random.random_range(0..alive.len())];
                running.push((millis, server, number));
                number += 1;
            }
        }
        let mut changes = ledger.take_changes().into_iter();
        let is_quarantined = changes.any(|change| change.step == QuarantineStep::Quarantined);
        assert!(!is_quarantined, "seed {seed}");
        assert_eq!(
            status(&ledger, at(150)),
            SegmentStatus::Clear,
            "seed {seed}"
        );
    }
}

/// Guards against a host that lost the report on the crash of a trial: it knows the segment as
/// held only, hears from another host that it is in quarantine, and lets one more run crash a
/// server.
#[test]
fn a_quarantine_of_another_host_takes_effect_where_the_segment_is_held() {
    let mut now = Instant::now();
    let mut ledgers = [CrashLedger::default(), CrashLedger::default()];
    for number in 0..4 {
        now += Duration::from_millis(100);
        let crash = server(number);
        let traits = request(u64::try_from(number).expect("it is small"));
        for (host, ledger) in ledgers.iter_mut().enumerate() {
            let is_lost = host == 1 && number == 3;
            if !is_lost {
                let run = LostRun {
                    crash: &crash,
                    traits: &traits,
                    sent_at: None,
                };
                ledger.record_crash(&service(), run, now);
            }
        }
    }
    let [first, second] = &mut ledgers;
    assert_eq!(status(second, now), SegmentStatus::Held(SHARED));
    second.restore(&first.quarantined(now), now);
    assert!(matches!(
        status(second, now),
        SegmentStatus::Quarantined { .. }
    ));
    // A completed run ends it there, too.
    let run = ProvenRun {
        request: None,
        segments: &[SHARED],
    };
    second.record_completion(&service(), &server(9), run, now, now);
    assert_eq!(status(second, now), SegmentStatus::Clear);
}

/// Guards against a request that stays suspect, as its host reported the crash under another
/// incarnation of the server than the hosts whose runs show the cause.
#[test]
fn runs_reported_under_another_incarnation_are_exonerated_under_it() {
    let mut now = Instant::now();
    let mut ledger = CrashLedger::default();
    let sound = RequestTraits {
        segments: Vec::new(),
        ..request(100)
    };
    let reported = ServerCrash {
        generation: ServerGeneration(2),
        ..server(0)
    };
    let mut exonerated = Vec::new();
    for number in 0..3 {
        let crash = server(number);
        let traits = request(u64::try_from(number).expect("it is small"));
        let mut runs = vec![(&crash, &traits)];
        if number == 0 {
            runs.push((&reported, &sound));
        }
        for (crash, traits) in runs {
            let run = LostRun {
                crash,
                traits,
                sent_at: now.checked_sub(PAUSE),
            };
            let finding = ledger.record_crash(&service(), run, now);
            exonerated.extend(finding.exonerated);
        }
        now += Duration::from_secs(1);
    }
    assert_eq!(status(&ledger, now), SegmentStatus::Held(SHARED));
    let cleared = (sound.request, reported);
    assert!(exonerated.contains(&cleared), "{exonerated:?}");
}

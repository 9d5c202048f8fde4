//! What hosts tell a new leader of crashes that its predecessor counted.

use chicoryladder_policy::quarantine::{OpenCrash, RequestFingerprint, RequestTraits, ServerCrash};
use chicoryladder_roles::CrashReports;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{RouteName, ServerGeneration, ServiceName};
use std::time::{Duration, Instant};

const SYNC_INTERVAL: Duration = Duration::from_millis(350);

fn crash(number: u64) -> OpenCrash {
    let route = RouteName::try_from("chat").expect("valid");
    let server = format!("server-{number}");
    OpenCrash {
        service: ServiceName::try_from("engine").expect("valid"),
        crash: ServerCrash {
            server: ServerName::try_from(server).expect("valid"),
            generation: ServerGeneration(1),
        },
        age: Duration::ZERO,
        runs: vec![RequestTraits {
            request: RequestFingerprint::new(None, &route, "/chat", b"the same question"),
            segments: Vec::new(),
        }],
    }
}

fn servers(crashes: &[OpenCrash]) -> Vec<&str> {
    let names = crashes.iter().map(|crash| crash.crash.server.as_str());
    names.collect()
}

/// Guards against counts that end with a leader: a new one gets what its predecessor listed,
/// with its age, and what the host reported after that.
#[test]
fn a_new_leader_is_told_what_its_predecessor_counted() {
    let mut now = Instant::now();
    let mut reports = CrashReports::default();
    reports.apply(vec![crash(1)], false, now, now);
    assert!(reports.unreported(now).is_empty());
    now += SYNC_INTERVAL;
    reports.record(crash(2), true, now);
    now += SYNC_INTERVAL;
    reports.apply(Vec::new(), true, now, now);
    let unreported = reports.unreported(now);
    assert_eq!(servers(&unreported), ["server-1", "server-2"]);
    let ages: Vec<Duration> = unreported.iter().map(|crash| crash.age).collect();
    assert_eq!(ages, [2 * SYNC_INTERVAL, SYNC_INTERVAL]);
    // The next sync carries them, and the one after it does not.
    now += SYNC_INTERVAL;
    reports.apply(vec![crash(1), crash(2)], false, now, now);
    assert!(reports.unreported(now).is_empty());
    assert_eq!(servers(&reports.current(now)), ["server-1", "server-2"]);
}

/// Guards against a crash that is lost as its host knows no leader, or as it is reported while a
/// sync is under way.
#[test]
fn a_crash_without_a_leader_is_told_with_the_next_sync() {
    let start = Instant::now();
    let mut reports = CrashReports::default();
    let sent_at = start + SYNC_INTERVAL;
    let now = sent_at + Duration::from_millis(20);
    reports.record(crash(1), false, start);
    reports.record(crash(2), false, sent_at + Duration::from_millis(10));
    assert_eq!(reports.unreported(sent_at).len(), 2);
    reports.apply(vec![crash(1)], false, sent_at, now);
    assert_eq!(servers(&reports.unreported(now)), ["server-2"]);
}

/// Guards against crashes that a new leader counts although the old one no longer did, since a
/// run completed: the latest list of the leader counts, and only for a while.
#[test]
fn crashes_that_no_longer_count_are_not_told() {
    let mut now = Instant::now();
    let mut reports = CrashReports::default();
    reports.record(crash(1), true, now);
    now += Duration::from_secs(1);
    reports.apply(Vec::new(), false, now, now);
    now += SYNC_INTERVAL;
    reports.apply(Vec::new(), true, now, now);
    assert!(reports.unreported(now).is_empty());
    reports.apply(vec![crash(2)], false, now, now);
    // The host loses contact, in which runs may complete that it does not know of.
    now += Duration::from_secs(10);
    reports.apply(Vec::new(), true, now, now);
    assert!(reports.unreported(now).is_empty());
}

/// Guards against a sound request that a new leader refuses, since it counts a crash under its
/// predecessor and one of its own, but not the runs that completed in between without a slot
/// that it knows (soak with moves and silences, seed 83030).
#[test]
fn completed_runs_of_suspects_are_told_with_the_next_sync() {
    let start = Instant::now();
    let mut reports = CrashReports::default();
    reports.apply(vec![crash(1)], false, start, start);
    let crash = crash(1);
    let mut now = start + SYNC_INTERVAL;
    reports.record_proven(&crash.service, &crash.runs[0], now);
    // Further runs prove nothing new.
    reports.record_proven(&crash.service, &crash.runs[0], now);
    assert_eq!(reports.proven().len(), 1);
    now += SYNC_INTERVAL;
    reports.apply(Vec::new(), true, now, now);
    assert!(reports.unreported(now).is_empty());
    assert!(reports.proven().is_empty());
}

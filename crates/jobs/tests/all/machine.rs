//! Tests of commands applied in sequence to a single machine.

use crate::support::{
    LEASE, START, TestGroup, answered, drafts, header, host_name, refused, team, team_name,
};
use chicoryladder_jobs::{
    AttemptEnd, ItemEnd, ItemState, JobCommand, JobMachine, JobOutcome, JobPhase, LeaseRequest,
    MachineError, MemoryStore,
};
use chicoryladder_types::{JobId, RefusalReason, RunVerdict};
use std::time::Duration;

const JOB: JobId = JobId::new(7);

fn submitted(job: u128, resent: bool) -> JobOutcome {
    let job = JobId::new(job);
    JobOutcome::Submitted { job, resent }
}

fn phase(group: &TestGroup) -> JobPhase {
    group
        .machine
        .status(&team(), JOB, group.now)
        .expect("the job exists")
        .phase
}

fn ends(group: &TestGroup) -> Vec<ItemEnd> {
    let page = group
        .machine
        .results(&team(), JOB, 0, 100)
        .expect("the job has results");
    page.lines.iter().map(|line| line.result.end).collect()
}

#[test]
fn a_job_runs_to_completion() {
    let mut group = TestGroup::new();
    let outcome = group.submit(&header(7, Some("k"), "b"), &drafts(3, true));
    assert_eq!(outcome, submitted(7, false));
    let (_, grants) = group.lease("h1", 10);
    assert_eq!(grants.len(), 3);
    for grant in &grants[..2] {
        group.report(grant.attempt, answered(200, "{\"ok\":1}"));
    }
    let partial = group.machine.results(&team(), JOB, 0, 100).unwrap();
    assert_eq!((partial.lines.len(), partial.complete), (2, false));
    group.report(grants[2].attempt, answered(404, "none"));
    let rest = group
        .machine
        .results(&team(), JOB, partial.next, 100)
        .unwrap();
    assert_eq!((rest.lines.len(), rest.complete), (1, true));
    assert_eq!(phase(&group), JobPhase::Completed);
    assert_eq!(
        partial.lines[0].to_json().unwrap(),
        r#"{"custom_id":"letter-0","response":{"status_code":200,"body":{"ok":1}},"error":null}"#
    );
    assert_eq!(
        rest.lines[0].to_json().unwrap(),
        r#"{"custom_id":"letter-2","response":{"status_code":404,"body":"none"},"error":{"code":"error_answer","message":""}}"#
    );
}

#[test]
fn a_resend_finds_the_first_job_and_another_body_is_refused() {
    let mut group = TestGroup::new();
    group.submit(&header(7, Some("k"), "b"), &drafts(1, true));
    let resend = group.submit(&header(8, Some("k"), "b"), &drafts(1, true));
    assert_eq!(resend, submitted(7, true));
    let reused = group.submit(&header(9, Some("k"), "other"), &drafts(1, true));
    assert_eq!(reused, JobOutcome::Refused(RefusalReason::KeyReused));
    let mut other_header = header(10, Some("k"), "b");
    other_header.team = team_name("others");
    assert_eq!(
        group.submit(&other_header, &drafts(1, true)),
        submitted(10, false)
    );
}

#[test]
fn an_upload_is_visible_only_after_its_commit() {
    let mut group = TestGroup::new();
    let items = drafts(10, true);
    let now = group.now;
    let begin = JobCommand::BeginUpload {
        job: JOB,
        team: team(),
        now,
    };
    let append = |first_item: usize, last: usize| JobCommand::AppendItems {
        job: JOB,
        first_item: u32::try_from(first_item).unwrap(),
        items: items[first_item..last].to_vec(),
        now,
    };
    group.apply(&begin);
    group.apply(&append(0, 4));
    assert_eq!(
        group.apply(&append(5, 6)),
        JobOutcome::Refused(RefusalReason::BadRequest)
    );
    assert_eq!(
        group.apply(&append(2, 10)),
        JobOutcome::UploadOpen { next_item: 10 }
    );
    assert!(group.machine.status(&team(), JOB, now).is_none());
    assert!(group.lease("h1", 1).1.is_empty());
    let commit = |count| JobCommand::CommitUpload {
        header: header(7, Some("k"), "b"),
        item_count: count,
    };
    assert_eq!(
        group.apply(&commit(9)),
        JobOutcome::Refused(RefusalReason::BadRequest)
    );
    assert_eq!(group.apply(&commit(10)), submitted(7, false));
    assert_eq!(group.apply(&commit(10)), submitted(7, true));
    let request = group.machine.request(JOB, 3).unwrap();
    assert_eq!(request.custom_id, "letter-3");
}

#[test]
fn the_first_terminal_result_wins() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    let (_, first) = group.lease("h1", 1);
    group.sweep_after(LEASE + Duration::from_secs(1));
    let (_, second) = group.lease("h2", 1);
    assert_eq!(second[0].attempt.attempt, 2);
    let stale = refused(RunVerdict::MayHaveRun, RefusalReason::ServerFailed);
    group.report(first[0].attempt, stale);
    assert_eq!(group.machine.totals().fenced, 1);
    group.report(first[0].attempt, answered(200, "first"));
    group.report(second[0].attempt, answered(200, "second"));
    assert_eq!(group.machine.totals().late, 1);
    let page = group.machine.results(&team(), JOB, 0, 9).unwrap();
    assert_eq!(page.lines.len(), 1);
    assert_eq!(page.lines[0].result.body.as_slice(), b"first");
}

#[test]
fn attempts_are_bounded_so_that_a_failing_job_ends() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    for _ in 0..3 {
        let (_, grants) = group.lease("h1", 1);
        group.report(grants[0].attempt, answered(500, "boom"));
    }
    assert_eq!(phase(&group), JobPhase::Completed);
    assert_eq!(ends(&group)[0].as_str(), "attempts_exhausted");
    assert!(group.lease("h1", 1).1.is_empty());
}

fn crash() -> AttemptEnd {
    refused(RunVerdict::MayHaveRun, RefusalReason::ServerFailed)
}

/// Guards against sound items that end as failed because servers crashed under them.
#[test]
fn an_item_under_which_servers_crashed_is_leased_until_it_succeeds() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    let mut pauses = Vec::new();
    for _ in 0..9 {
        let waits_from = group.now;
        let (_, mut grants) = group.lease("h1", 1);
        while grants.is_empty() {
            group.advance(Duration::from_millis(500));
            assert!(group.now.since(waits_from) <= Duration::from_secs(60));
            grants = group.lease("h1", 1).1;
        }
        pauses.push(group.now.since(waits_from).as_secs());
        group.report(grants[0].attempt, crash());
        assert_eq!(phase(&group), JobPhase::Running);
    }
    // The pauses bound the servers that an item costs if it does crash them.
    assert_eq!(pauses, [0, 0, 1, 2, 4, 8, 16, 32, 60]);
    group.advance(Duration::from_secs(60));
    let (_, grants) = group.lease("h1", 1);
    group.report(grants[0].attempt, answered(200, "{}"));
    assert_eq!(ends(&group), [ItemEnd::Succeeded]);
}

#[test]
fn crashes_use_up_no_attempts() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    for end in [crash(), answered(500, "a"), crash(), answered(500, "b")] {
        group.advance(Duration::from_secs(60));
        let (_, grants) = group.lease("h1", 1);
        group.report(grants[0].attempt, end);
    }
    assert_eq!(phase(&group), JobPhase::Running);
    let (_, grants) = group.lease("h1", 1);
    group.report(grants[0].attempt, answered(500, "c"));
    assert_eq!(ends(&group)[0].as_str(), "attempts_exhausted");
}

#[test]
fn an_item_whose_servers_still_crash_ends_with_its_job() {
    let mut group = TestGroup::new();
    let header = header(7, None, "b");
    group.submit(&header, &drafts(2, true));
    let (_, grants) = group.lease("h1", 1);
    group.report(grants[0].attempt, crash());
    group.sweep_after(header.expires_at.since(START));
    let mut codes: Vec<_> = ends(&group).iter().map(|end| end.as_str()).collect();
    codes.sort_unstable();
    assert_eq!(codes, ["job_expired", "servers_crashed"]);
}

/// Guards against replicas that lease different items after one was restored.
#[test]
fn a_restored_replica_pauses_the_same_items() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    for _ in 0..4 {
        group.advance(Duration::from_secs(60));
        let (_, grants) = group.lease("h1", 1);
        group.report(grants[0].attempt, crash());
    }
    let snapshot = group.machine.snapshot().expect("a snapshot");
    group.machine = JobMachine::new(Box::new(MemoryStore::default()));
    group.machine.restore(&snapshot).expect("a valid snapshot");
    group.advance(Duration::from_secs(3));
    assert!(group.lease("h1", 1).1.is_empty());
    group.advance(Duration::from_secs(1));
    assert_eq!(group.lease("h1", 1).1.len(), 1);
}

#[test]
fn items_in_flight_at_a_crash_run_alone_afterwards() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(10, true));
    let (_, grants) = group.lease("h1", 4);
    for grant in &grants {
        group.report(grant.attempt, crash());
    }
    // Only the first item causes crashes: it crashes a server again when it runs
    // alone, whereas the other three suspects succeed.
    let (_, suspects) = group.lease("h1", 4);
    assert_eq!(suspects.len(), 1);
    assert!(group.lease("h2", 4).1.is_empty());
    group.report(suspects[0].attempt, crash());
    for _ in 0..3 {
        let (_, suspects) = group.lease("h1", 4);
        assert_eq!(suspects.len(), 1);
        group.report(suspects[0].attempt, answered(200, "{}"));
    }
    // The other items run while the first one pauses; then it runs alone again.
    let (_, others) = group.lease("h1", 10);
    assert_eq!(others.len(), 6);
    assert!(group.lease("h2", 4).1.is_empty());
    group.advance(Duration::from_secs(1));
    let (_, suspects) = group.lease("h2", 4);
    assert_eq!(suspects.len(), 1);
    group.report(suspects[0].attempt, answered(200, "{}"));
    assert_eq!(ends(&group), [ItemEnd::Succeeded; 4]);
}

#[test]
fn an_excluded_job_is_skipped() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    group.submit(&header(8, None, "b"), &drafts(1, true));
    let request = LeaseRequest {
        host: host_name("h1"),
        limit: 5,
        excluded: vec![JOB],
        now: group.now,
        duration: LEASE,
    };
    let outcome = group.apply(&JobCommand::LeaseItems(request));
    let JobOutcome::Leased { grants, .. } = outcome else {
        panic!("not leased: {outcome:?}");
    };
    let jobs: Vec<JobId> = grants.iter().map(|grant| grant.attempt.job).collect();
    assert_eq!(jobs, [JobId::new(8)]);
}

#[test]
fn an_attempt_that_did_not_run_is_retried() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, false));
    for _ in 0..20 {
        let (lease, grants) = group.lease("h1", 1);
        assert_eq!(
            group.start(lease, &[grants[0].attempt]),
            [grants[0].attempt]
        );
        let not_run = refused(RunVerdict::NotRun, RefusalReason::NoServer);
        group.report(grants[0].attempt, not_run);
    }
    let (_, grants) = group.lease("h1", 1);
    let quarantined = refused(RunVerdict::NotRun, RefusalReason::Quarantined);
    group.report(grants[0].attempt, quarantined);
    assert_eq!(ends(&group)[0].as_str(), "quarantined");
}

#[test]
fn a_non_idempotent_item_that_may_have_run_is_never_run_again() {
    let attempt_ends = [
        refused(RunVerdict::MayHaveRun, RefusalReason::ServerSilent),
        refused(RunVerdict::Ran, RefusalReason::AnswerTruncated),
        answered(500, "boom"),
    ];
    for end in attempt_ends {
        let mut group = TestGroup::new();
        group.submit(&header(7, None, "b"), &drafts(1, false));
        let (lease, grants) = group.lease("h1", 1);
        group.start(lease, &[grants[0].attempt]);
        group.report(grants[0].attempt, end);
        assert_eq!(ends(&group), [ItemEnd::OutcomeUnknown]);
        assert!(group.lease("h2", 1).1.is_empty());
    }
}

#[test]
fn unstarted_items_of_a_lost_dispatcher_are_leased_again() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(2, false));
    let (lease, grants) = group.lease("h1", 2);
    assert_eq!(
        group.start(lease, &[grants[0].attempt]),
        [grants[0].attempt]
    );
    assert!(group.start(lease, &[grants[0].attempt]).is_empty());
    group.sweep_after(LEASE);
    assert!(
        group.lease("h2", 2).1.is_empty(),
        "the lease is not reclaimed before the maximum clock skew has passed"
    );
    group.sweep_after(Duration::from_secs(1));
    assert!(group.start(lease, &[grants[1].attempt]).is_empty());
    let (_, again) = group.lease("h2", 2);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].attempt.item, 1);
    assert_eq!(ends(&group), [ItemEnd::OutcomeUnknown]);
}

#[test]
fn a_renewed_lease_is_not_reclaimed() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    let (lease, _) = group.lease("h1", 1);
    for _ in 0..5 {
        group.sweep_after(LEASE / 2);
        let renew = JobCommand::RenewLeases {
            host: host_name("h1"),
            leases: vec![lease],
            now: group.now,
            duration: LEASE,
        };
        let JobOutcome::Renewed { leases, .. } = group.apply(&renew) else {
            panic!("not renewed");
        };
        assert_eq!(leases, [lease]);
    }
    let state = group.machine.item_state(JOB, 0);
    assert!(matches!(state, Some(ItemState::Leased { .. })));
}

#[test]
fn nothing_starts_after_a_cancel() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(4, false));
    let (lease, grants) = group.lease("h1", 2);
    group.start(lease, &[grants[0].attempt]);
    assert_eq!(group.cancel(JOB), JobOutcome::Cancelled { held: 2 });
    assert_eq!(phase(&group), JobPhase::Cancelling);
    assert_eq!(group.machine.revoked_leases(&host_name("h1")), [lease]);
    assert!(group.start(lease, &[grants[1].attempt]).is_empty());
    assert!(group.lease("h2", 4).1.is_empty());
    group.report(grants[0].attempt, answered(200, "ran"));
    group.sweep_after(LEASE + Duration::from_secs(1));
    assert_eq!(phase(&group), JobPhase::Cancelled);
    assert_eq!(
        ends(&group),
        [
            ItemEnd::Cancelled,
            ItemEnd::Cancelled,
            ItemEnd::Succeeded,
            ItemEnd::Cancelled
        ]
    );
    assert_eq!(group.cancel(JOB), JobOutcome::Cancelled { held: 0 });
}

#[test]
fn jobs_belong_to_their_team() {
    let mut group = TestGroup::new();
    group.submit(&header(7, None, "b"), &drafts(1, true));
    let other = team_name("others");
    assert!(group.machine.status(&other, JOB, group.now).is_none());
    let read = group.machine.results(&other, JOB, 0, 1);
    assert!(matches!(read, Err(MachineError::UnknownJob)));
    let cancel = JobCommand::CancelJob {
        team: other,
        job: JOB,
        now: group.now,
    };
    assert_eq!(
        group.apply(&cancel),
        JobOutcome::Refused(RefusalReason::UnknownJob)
    );
}

#[test]
fn an_expired_job_ends_and_its_results_are_removed_after_retention() {
    let mut group = TestGroup::new();
    group.submit(&header(7, Some("k"), "b"), &drafts(2, true));
    assert!(!group.machine.is_sweep_due(group.now));
    group.advance(Duration::from_secs(24 * 60 * 60));
    assert!(group.machine.is_sweep_due(group.now));
    group.sweep_after(Duration::ZERO);
    assert_eq!(phase(&group), JobPhase::Completed);
    assert_eq!(ends(&group)[0].as_str(), "job_expired");
    group.sweep_after(Duration::from_secs(7 * 24 * 60 * 60));
    assert!(group.machine.status(&team(), JOB, group.now).is_none());
    assert!(!group.machine.is_sweep_due(group.now));
}

#[test]
fn a_snapshot_is_self_contained() {
    let mut group = TestGroup::new();
    group.submit(&header(7, Some("k"), "b"), &drafts(5, true));
    let (_, grants) = group.lease("h1", 3);
    group.report(grants[0].attempt, answered(200, "{}"));
    let snapshot = group.machine.snapshot().unwrap();
    let mut other = JobMachine::new(Box::new(MemoryStore::default()));
    other.restore(&snapshot).unwrap();
    assert_eq!(other.applied(), group.index);
    assert_eq!(other.snapshot().unwrap(), snapshot);
    group.machine = other;
    group.report(grants[1].attempt, answered(200, "{}"));
    assert_eq!(ends(&group), [ItemEnd::Succeeded; 2]);
    assert!(
        group
            .machine
            .restore(&snapshot[..snapshot.len() - 1])
            .is_err()
    );
}

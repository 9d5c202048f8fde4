//! Tests of the order in which jobs and teams get slots.

use crate::support::{START, TestGroup, answered, drafts, header, team, team_name};
use chicoryladder_jobs::{JobCandidate, JobOutcome, JobShare, JobSlack, UnixMillis, choose_job};
use chicoryladder_types::JobId;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);

fn candidate(job: u128, service: u64, deadline: Option<Duration>, work: Duration) -> JobCandidate {
    JobCandidate {
        job: JobId::new(job),
        service,
        deadline_at: deadline.map(|deadline| START.after(deadline)),
        work_left: work,
        order: u64::try_from(job).unwrap_or(u64::MAX),
    }
}

fn chosen(candidates: &[JobCandidate]) -> Option<JobId> {
    choose_job(candidates.to_vec(), START)
}

#[test]
fn a_job_at_risk_goes_before_a_team_with_less_service() {
    let relaxed = candidate(1, 0, Some(60 * MINUTE), MINUTE);
    let at_risk = candidate(2, 900, Some(10 * MINUTE), 9 * MINUTE);
    assert_eq!(
        chosen(&[relaxed.clone(), at_risk.clone()]),
        Some(at_risk.job)
    );
    let past = candidate(3, 900, Some(Duration::ZERO), MINUTE);
    assert_eq!(chosen(&[relaxed.clone(), past]), Some(relaxed.job));
}

#[test]
fn at_equal_priority_service_goes_before_slack_and_slack_before_age() {
    let served = candidate(1, 10, Some(20 * MINUTE), MINUTE);
    let unserved = candidate(2, 0, None, MINUTE);
    assert_eq!(
        chosen(&[served.clone(), unserved.clone()]),
        Some(unserved.job)
    );
    let sooner = candidate(3, 0, Some(30 * MINUTE), MINUTE);
    assert_eq!(
        chosen(&[unserved.clone(), sooner.clone()]),
        Some(sooner.job)
    );
    let younger = candidate(4, 0, None, MINUTE);
    assert_eq!(chosen(&[younger, unserved.clone()]), Some(unserved.job));
}

#[test]
fn a_late_job_is_reported_before_its_deadline() {
    let mut group = TestGroup::new();
    let mut late = header(7, None, "b");
    late.deadline_at = Some(START.after(MINUTE));
    group.submit(&late, &drafts(100, true));
    for _ in 0..10 {
        let (_, grants) = group.lease("h1", 1);
        group.advance(Duration::from_secs(1));
        group.report(grants[0].attempt, answered(200, "{}"));
    }
    let status = group.machine.status(&team(), JobId::new(7), group.now);
    let slack = status.expect("the job exists").slack;
    // At one item per second, 90 seconds of work remain 50 seconds before the
    // deadline.
    assert_eq!(slack, JobSlack::Late(Duration::from_secs(40)));
    assert!(group.now < START.after(MINUTE));
}

fn leased_by_team(group: &mut TestGroup, rounds: usize) -> BTreeMap<JobId, usize> {
    let mut leased = BTreeMap::new();
    for _ in 0..rounds {
        let (_, grants) = group.lease("h1", 2);
        for grant in grants {
            *leased.entry(grant.attempt.job).or_default() += 1;
            group.report(grant.attempt, answered(200, "{}"));
        }
    }
    leased
}

fn submit_for(group: &mut TestGroup, job: u128, name: &str, share: u32) {
    let mut owned = header(job, None, name);
    owned.team = team_name(name);
    owned.share = JobShare(share);
    let outcome = group.submit(&owned, &drafts(1_000, true));
    assert!(matches!(outcome, JobOutcome::Submitted { .. }));
}

#[test]
fn teams_are_served_by_their_shares_regardless_of_their_number_of_jobs() {
    let mut group = TestGroup::new();
    for job in 1..=5 {
        submit_for(&mut group, job, "many", 1);
    }
    submit_for(&mut group, 9, "one", 1);
    submit_for(&mut group, 10, "double", 2);
    let leased = leased_by_team(&mut group, 400);
    assert_eq!(leased[&JobId::new(9)], 200);
    assert_eq!(leased[&JobId::new(10)], 400);
}

#[test]
fn an_idle_team_accumulates_no_credit() {
    let mut group = TestGroup::new();
    submit_for(&mut group, 1, "early", 1);
    leased_by_team(&mut group, 100);
    submit_for(&mut group, 2, "late", 1);
    let leased = leased_by_team(&mut group, 100);
    assert_eq!(leased[&JobId::new(1)], 100);
    assert_eq!(leased[&JobId::new(2)], 100);
}

proptest! {
    #[test]
    fn the_choice_does_not_depend_on_the_order_of_the_candidates(
        parts in prop::collection::vec((0_u64..4, prop::option::of(0_u64..600), 0_u64..600), 1..8),
    ) {
        let candidates: Vec<JobCandidate> = (1..)
            .zip(&parts)
            .map(|(job, (service, deadline, work))| {
                let deadline = deadline.map(Duration::from_secs);
                candidate(job, *service, deadline, Duration::from_secs(*work))
            })
            .collect();
        let mut reversed = candidates.clone();
        reversed.reverse();
        let choice = chosen(&candidates);
        prop_assert!(choice.is_some());
        prop_assert_eq!(choice, chosen(&reversed));
        let at_risk = |one: &&JobCandidate| one.at_risk(UnixMillis(START.0));
        if let Some(urgent) = candidates.iter().find(at_risk) {
            let chosen = candidates.iter().find(|one| Some(one.job) == choice);
            prop_assert!(chosen.is_some_and(|one| one.at_risk(START)), "{:?}", urgent);
        }
    }
}

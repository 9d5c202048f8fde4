//! Snapshots of the control group's state, which builds before and after this one read.

use chicoryladder_consensus::StateMachine;
use chicoryladder_plan::{ColdTerms, PlanTerms, RawPlan};
use chicoryladder_roles::ControlMachine;
use chicoryladder_types::{ServiceName, Tail};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What earlier builds write: the plan, departures, bootstrap members of the job group and
/// retirements.
type EarlierSnapshot = (
    Option<String>,
    VecDeque<(String, u64)>,
    Option<BTreeMap<u64, String>>,
    BTreeMap<String, String>,
);

fn earlier() -> EarlierSnapshot {
    let departures = VecDeque::from([("i-1".to_owned(), 7)]);
    (None, departures, None, BTreeMap::new())
}

/// Control hosts of two builds run side by side, and each may bring the other up to date by a
/// snapshot.
#[test]
fn snapshots_are_read_by_the_build_before_and_from_it() {
    let written = postcard::to_stdvec(&earlier()).expect("it is valid");
    let mut machine = ControlMachine::default();
    machine.restore(&written).expect("an earlier snapshot");
    let snapshot = machine.snapshot().expect("it is valid");
    let read: EarlierSnapshot = postcard::from_bytes(&snapshot).expect("it is valid");
    assert_eq!(read, earlier());
    let mut restored = ControlMachine::default();
    restored.restore(&snapshot).expect("its own snapshot");
    assert_eq!(restored, machine);
}

/// A plan in a message of the build before has no terms, and that build ignores those of this
/// one: hosts of two builds send plans to each other during an upgrade.
#[test]
fn plans_are_read_by_the_build_before_and_from_it() {
    let service = ServiceName::try_from("engine").expect("it is valid");
    let cold = ColdTerms {
        duration: Duration::from_secs(3),
        per_second: 6.2,
    };
    let plan = RawPlan {
        terms: Tail(PlanTerms {
            cold: BTreeMap::from([(service, cold)]),
            ..PlanTerms::default()
        }),
        ..RawPlan::default()
    };
    let written = postcard::to_stdvec(&plan).expect("it is valid");
    assert_eq!(postcard::from_bytes(&written), Ok(plan.clone()));
    let earlier = (
        plan.version,
        &plan.routes,
        &plan.services,
        &plan.teams,
        plan.limits,
    );
    let earlier = postcard::to_stdvec(&earlier).expect("it is valid");
    assert!(written.starts_with(&earlier));
    assert_eq!(postcard::from_bytes(&earlier), Ok(RawPlan::default()));
}

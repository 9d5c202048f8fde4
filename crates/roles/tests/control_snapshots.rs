//! Snapshots of the control group's state, which builds before and after this one read.

use chicoryladder_consensus::{StateMachine, snapshot_bytes};
use chicoryladder_plan::{ColdTerms, PlanTerms, RawPlan};
use chicoryladder_roles::ControlMachine;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{LogIndex, ServiceName, Tail};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What earlier builds write: the plan, departures, bootstrap members of the job group and
/// retirements.
type EarlierSnapshot = (
    Option<String>,
    VecDeque<(String, u64)>,
    Option<BTreeMap<u64, String>>,
    BTreeMap<String, String>,
);

/// What the build before reads of a snapshot: the versions and the terms of the plan as well.
type BuildBefore = (EarlierSnapshot, Vec<u8>, Option<PlanTerms>);

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
    machine
        .restore(&mut written.as_slice())
        .expect("an earlier snapshot");
    let snapshot = snapshot_bytes(&machine).expect("it is valid");
    let read: EarlierSnapshot = postcard::from_bytes(&snapshot).expect("it is valid");
    assert_eq!(read, earlier());
    let mut restored = ControlMachine::default();
    restored
        .restore(&mut snapshot.as_slice())
        .expect("its own snapshot");
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

/// The number of `SetZoneDrain` among the commands in the log, and of its steps.
const SET_ZONE_DRAIN: u32 = 6;
const BEGIN: u32 = 0;
const FINISH: u32 = 1;

/// An order as in the log: the zone, the step, who asked and the time in milliseconds.
type EncodedOrder = (u32, String, u32, Option<SocketAddr>, u64);

fn order(zone: &str, step: u32, at_ms: u64) -> Vec<u8> {
    let asked_by = Some(SocketAddr::from(([127, 0, 0, 1], 5000)));
    let order: EncodedOrder = (SET_ZONE_DRAIN, zone.to_owned(), step, asked_by, at_ms);
    postcard::to_stdvec(&order).expect("it is valid")
}

fn machine(orders: &[(&str, u32)]) -> ControlMachine {
    let mut machine = ControlMachine::default();
    for (index, (zone, step)) in (1..).zip(orders) {
        machine.apply(LogIndex(index), &order(zone, *step, 1_000 * index));
    }
    machine
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    let checked = names.iter().map(|name| ZoneName::try_from(*name));
    checked.collect::<Result<_, _>>().expect("they are valid")
}

/// Guards against a drain that is lost when a host restarts from its snapshot, and against a
/// snapshot that the build before cannot read.
#[test]
fn drains_survive_a_snapshot_which_the_build_before_reads() {
    let machine = machine(&[("a", BEGIN), ("b", BEGIN), ("b", FINISH)]);
    assert_eq!(machine.drained_zones(), zones(&["a"]));
    let snapshot = snapshot_bytes(&machine).expect("it is valid");
    let mut restored = ControlMachine::default();
    restored
        .restore(&mut snapshot.as_slice())
        .expect("its own snapshot");
    assert_eq!(restored, machine);
    let read: Result<BuildBefore, _> = postcard::from_bytes(&snapshot);
    assert!(read.is_ok_and(|(_, versions, terms)| versions.is_empty() && terms.is_none()));
    // What the build before wrote has no drains, and replaces those of an older state.
    let before = (None::<String>, VecDeque::<(String, u64)>::new(), None::<u8>);
    let before = (
        before,
        BTreeMap::<String, String>::new(),
        [0_u8; 0].as_slice(),
        None::<PlanTerms>,
    );
    let before = postcard::to_stdvec(&before).expect("it is valid");
    restored
        .restore(&mut before.as_slice())
        .expect("an earlier snapshot");
    assert_eq!(restored.drained_zones(), zones(&[]));
}

/// Guards against two orders that race and end in another state than that of the last one in
/// the log, and against a repeated order that changes who asked and when.
#[test]
fn the_last_order_in_the_log_counts_and_repeated_ones_change_nothing() {
    let raced = machine(&[("a", BEGIN), ("a", FINISH), ("a", BEGIN)]);
    assert_eq!(raced.drained_zones(), zones(&["a"]));
    let raced = machine(&[("a", FINISH), ("a", BEGIN), ("a", FINISH)]);
    assert_eq!(raced.drained_zones(), zones(&[]));
    for (once, repeated) in [
        (&[("a", BEGIN)][..], &[("a", BEGIN), ("a", BEGIN)][..]),
        (
            &[("a", BEGIN), ("a", FINISH)][..],
            &[("a", BEGIN), ("a", FINISH), ("a", FINISH)][..],
        ),
        (&[][..], &[("a", FINISH)][..]),
    ] {
        assert_eq!(machine(once), machine(repeated));
    }
}

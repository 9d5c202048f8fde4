//! Simulated histories of concurrent clients, dispatchers and replicas at fixed
//! seeds.
//!
//! A run submits jobs with idempotency keys, resends them, cancels some, leases,
//! runs and reports items, loses dispatchers, changes the leader with proposals in
//! flight, restarts replicas and reads results from any of them. The checker
//! observes only what clients and backend servers observe.

mod checker;
mod dispatcher;
mod fleet;
mod simulation;
mod submitter;

use checker::Violation;
use fleet::ReplicaFault;
use simulation::{HistorySimulation, SimulationReport};

const SEEDS: u64 = 60;
const STEPS: usize = 1_500;

fn run(seed: u64, fault: ReplicaFault) -> Result<SimulationReport, Violation> {
    HistorySimulation::new(seed, fault).run(STEPS)
}

fn count_seeds_with_changed_results(fault: ReplicaFault) -> usize {
    let is_changed = |seed: &u64| {
        let result = run(*seed, fault);
        matches!(result, Err(Violation::ResultChanged { .. }))
    };
    (0..SEEDS).filter(is_changed).count()
}

#[test]
fn every_acknowledged_item_has_one_lasting_result() {
    let mut total = SimulationReport::default();
    for seed in 0..SEEDS {
        match run(seed, ReplicaFault::None) {
            Ok(report) => total.add(&report),
            Err(violation) => panic!("seed {seed}: {violation:?}"),
        }
    }
    // The runs must have covered the events that they are meant to exercise.
    assert!(total.acknowledged_items > 1_000, "{total:?}");
    assert!(total.cancelled_jobs > 10, "{total:?}");
    assert!(total.resends > 50, "{total:?}");
    assert!(total.lost_dispatchers > 50, "{total:?}");
    assert!(total.leader_changes > 50, "{total:?}");
    assert!(total.restarts > 50, "{total:?}");
    assert!(total.late_reports > 20, "{total:?}");
    assert!(total.unknown_outcomes > 20, "{total:?}");
}

#[test]
fn completion_visible_before_commit_is_detected() {
    let found = count_seeds_with_changed_results(ReplicaFault::VisibleBeforeCommit);
    println!("found at {found} of {SEEDS} seeds");
    assert!(found > 0);
}

#[test]
fn a_late_result_that_overwrites_is_detected() {
    let found = count_seeds_with_changed_results(ReplicaFault::LateOverwrites);
    println!("found at {found} of {SEEDS} seeds");
    assert!(found > 0);
}

//! Random logs: each revision has one winner, resends get the first outcome, and
//! revisions and withdrawals are never reverted.

use crate::support::{MachineDriver, apply, grant, withdraw};
use chicoryladder_state::{FleetCommand, FleetMachine, FleetOutcome, KeyId, KeyTombstones};
use chicoryladder_types::{FleetRevision, LogIndex};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const SEED: [u8; 32] = [11; 32];
const CASES: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Apply { expected: u64, operation: u8 },
    Grant { operation: u8, number: u8 },
    Withdraw { number: u8 },
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0..6_u64, 0..12_u8).prop_map(|(expected, operation)| Step::Apply { expected, operation }),
        3 => (0..12_u8, 0..4_u8).prop_map(|(operation, number)| Step::Grant { operation, number }),
        1 => (0..4_u8).prop_map(|number| Step::Withdraw { number }),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec(step, 0..60)
}

fn command(step: &Step) -> Option<FleetCommand> {
    match step {
        Step::Apply {
            expected,
            operation,
        } => Some(apply(*expected, &format!("a{operation}"), "curepipe")),
        Step::Grant { operation, number } => {
            Some(grant(&format!("k{operation}"), "curepipe", *number))
        }
        Step::Withdraw { number } => Some(withdraw(*number)),
        Step::Restart => None,
    }
}

fn run<S: Strategy>(strategy: &S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    if let Err(failure) = runner.run(strategy, check) {
        panic!("seed {SEED:?}: {failure}");
    }
}

/// Checks the outcomes of a log; `restart` simulates a restart of the machine.
fn check_log(steps: &[Step], restart: impl Fn(&mut MachineDriver)) -> Result<(), TestCaseError> {
    let mut driver = MachineDriver::default();
    let mut first_outcomes: BTreeMap<String, (FleetCommand, FleetOutcome)> = BTreeMap::new();
    let mut revision = FleetRevision(0);
    let mut withdrawn = Vec::new();
    for step in steps {
        let Some(command) = command(step) else {
            restart(&mut driver);
            continue;
        };
        let outcome = driver.apply_next(&command);
        check_outcome(&mut first_outcomes, &command, &outcome)?;
        if let Step::Withdraw { number } = step {
            withdrawn.push(KeyId::new(u64::from(*number)));
        }
        let view = driver.machine.view();
        prop_assert!(view.revision >= revision, "the revision fell");
        prop_assert!(view.revision <= revision.next(), "two winners at once");
        prop_assert!(withdrawn.iter().all(|id| view.is_withdrawn(*id)));
        revision = view.revision;
    }
    Ok(())
}

fn check_outcome(
    first_outcomes: &mut BTreeMap<String, (FleetCommand, FleetOutcome)>,
    command: &FleetCommand,
    outcome: &FleetOutcome,
) -> Result<(), TestCaseError> {
    let Some(id) = command.operation_id() else {
        return Ok(());
    };
    let fresh = (command.clone(), outcome.clone());
    let (first_command, first) = first_outcomes.entry(id.to_string()).or_insert(fresh);
    let same = match (&*first_command, command) {
        (FleetCommand::ApplyDocument(a), FleetCommand::ApplyDocument(b)) => a == b,
        (FleetCommand::GrantKey(a), FleetCommand::GrantKey(b)) => a.team == b.team,
        _ => false,
    };
    if same {
        prop_assert_eq!(outcome, &*first);
    } else {
        prop_assert_eq!(outcome, &FleetOutcome::OperationReused);
    }
    Ok(())
}

#[test]
fn races_have_one_winner_and_resends_get_their_first_outcome() {
    run(&steps(), |steps| check_log(&steps, MachineDriver::restart));
}

#[test]
fn the_check_fails_when_a_restart_loses_the_state() {
    let lossy = |steps: Vec<Step>| check_log(&steps, |driver| driver.machine = FleetMachine::new());
    let config = ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let result = TestRunner::new_with_rng(config, rng).run(&steps(), lossy);
    assert!(
        result.is_err(),
        "a machine that loses its state must be detected"
    );
}

#[test]
fn the_same_log_gives_the_same_snapshot_regardless_of_received_tombstones() {
    run(&(steps(), any::<u8>()), |(steps, received)| {
        let mut plain = MachineDriver::default();
        let mut restarted = MachineDriver::default();
        restarted
            .machine
            .withdraw_locally(KeyId::new(u64::from(received)));
        for step in &steps {
            match command(step) {
                Some(command) => {
                    prop_assert_eq!(plain.apply_next(&command), restarted.apply_next(&command));
                }
                None => restarted.restart(),
            }
        }
        prop_assert_eq!(plain.machine.snapshot(), restarted.machine.snapshot());
        Ok(())
    });
}

#[test]
fn entries_delivered_twice_change_nothing() {
    run(&steps(), |steps| {
        let mut machine = FleetMachine::new();
        let commands: Vec<FleetCommand> = steps.iter().filter_map(command).collect();
        for (index, command) in (1..).zip(&commands) {
            machine.apply(LogIndex(index), command);
        }
        let before = machine.snapshot();
        for (index, command) in (1..).zip(&commands) {
            machine.apply(LogIndex(index), command);
        }
        prop_assert_eq!(machine.snapshot(), before);
        Ok(())
    });
}

#[test]
fn merging_tombstones_is_commutative_associative_and_idempotent() {
    let ids = || prop::collection::vec(0..20_u64, 0..8);
    run(&(ids(), ids(), ids()), |(a, b, c)| {
        let set = |ids: &[u64]| -> KeyTombstones { ids.iter().copied().map(KeyId::new).collect() };
        let merged = |parts: &[&[u64]]| {
            let mut all = KeyTombstones::default();
            for part in parts {
                all.merge(&set(part));
            }
            all
        };
        prop_assert_eq!(merged(&[&a, &b, &c]), merged(&[&c, &a, &b]));
        prop_assert_eq!(merged(&[&a, &a, &b]), merged(&[&b, &a]));
        prop_assert!(!merged(&[&a, &b]).merge(&set(&a)));
        Ok(())
    });
}

#[test]
fn decoding_arbitrary_bytes_never_panics() {
    run(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
        let _ = FleetCommand::from_bytes(&bytes);
        let mut machine = FleetMachine::new();
        let mut snapshot = vec![1];
        snapshot.extend(&bytes);
        let _ = machine.restore(&snapshot);
        Ok(())
    });
}

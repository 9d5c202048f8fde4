//! Tests of the fleet state machine: revisions, resends, snapshots and keys.

use crate::support::{MachineDriver, apply, document, grant, key_text, withdraw};
use chicoryladder_state::{
    FleetCommand, FleetMachine, FleetOutcome, KeyDecision, KeyId, KeyRefusal, KeySalt,
    KeyTombstones, SnapshotError,
};
use chicoryladder_types::{FleetRevision, LogIndex};

#[test]
fn equal_revisions_have_one_winner_and_the_conflict_names_it() {
    let mut driver = MachineDriver::default();
    let first = driver.apply_next(&apply(0, "op-a", "curepipe"));
    let second = driver.apply_next(&apply(0, "op-b", "pamplemousses"));
    let revision = FleetRevision(1);
    assert_eq!(first, FleetOutcome::Accepted { revision });
    let FleetOutcome::Conflict {
        expected,
        current,
        winner,
        winner_host,
    } = second
    else {
        panic!("the second change must conflict");
    };
    assert_eq!((expected, current), (FleetRevision(0), revision));
    assert_eq!(winner.expect("there is a winner").as_str(), "op-a");
    assert_eq!(winner_host.expect("it has a host").as_str(), "host-1");
}

#[test]
fn a_conflict_names_the_change_that_took_the_expected_revision() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    driver.apply_next(&apply(1, "op-b", "curepipe"));
    let late = driver.apply_next(&apply(0, "op-c", "pamplemousses"));
    let FleetOutcome::Conflict {
        current, winner, ..
    } = late
    else {
        panic!("the late change must conflict");
    };
    assert_eq!(current, FleetRevision(2));
    assert_eq!(winner.expect("there is a winner").as_str(), "op-a");
}

#[test]
fn a_resend_gets_its_first_outcome_after_later_changes_and_a_restart() {
    let mut driver = MachineDriver::default();
    let command = apply(0, "op-a", "curepipe");
    let first = driver.apply_next(&command);
    driver.apply_next(&apply(1, "op-b", "pamplemousses"));
    driver.restart();
    assert_eq!(driver.apply_next(&command), first);
    assert_eq!(driver.machine.view().revision, FleetRevision(2));
    // With another operation id the same change is a conflict, so the resend above
    // got the recorded outcome.
    let unnamed = driver.apply_next(&apply(0, "op-other", "curepipe"));
    assert!(matches!(unnamed, FleetOutcome::Conflict { .. }));
}

#[test]
fn a_resent_grant_derives_the_same_key_from_the_first_salt() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let first = driver.apply_next(&grant("op-k", "curepipe", 7));
    let resent = driver.apply_next(&grant("op-k", "curepipe", 8));
    assert_eq!(first, resent);
    let FleetOutcome::Granted { key_id, salt, .. } = resent else {
        panic!("the key must be granted");
    };
    assert_eq!((key_id, salt), (KeyId::new(7), KeySalt([7; 16])));
}

#[test]
fn an_operation_id_cannot_name_two_operations() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let other = driver.apply_next(&grant("op-a", "curepipe", 7));
    assert_eq!(other, FleetOutcome::OperationReused);
}

#[test]
fn the_oldest_outcomes_are_evicted_first() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-first", "curepipe"));
    for number in 0..4096 {
        driver.apply_next(&apply(1, &format!("op-{number}"), "curepipe"));
    }
    let first = driver.apply_next(&apply(0, "op-first", "curepipe"));
    assert!(matches!(first, FleetOutcome::Conflict { .. }));
}

#[test]
fn a_malformed_document_changes_nothing() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let before = driver.machine.view();
    let mut bad = apply(1, "op-b", "curepipe");
    if let FleetCommand::ApplyDocument(command) = &mut bad {
        command.text = "[team x]\nrate = 0\n".to_owned();
    }
    let outcome = driver.apply_next(&bad);
    assert!(matches!(outcome, FleetOutcome::Malformed { .. }));
    assert_eq!(driver.machine.view().revision, before.revision);
    assert_eq!(driver.machine.view().document, before.document);
}

#[test]
fn a_key_speaks_for_its_team_until_it_is_withdrawn() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    driver.apply_next(&grant("op-k", "curepipe", 7));
    let key = key_text("curepipe", 7);
    let decision = driver.machine.view().check_key(&key);
    assert!(matches!(decision, KeyDecision::Team { team, .. } if team.as_str() == "curepipe"));
    driver.apply_next(&withdraw(7));
    assert_eq!(
        driver.machine.view().check_key(&key),
        KeyDecision::Withdrawn
    );
    let again = driver.apply_next(&grant("op-again", "curepipe", 7));
    let refusal = KeyRefusal::Withdrawn;
    assert_eq!(again, FleetOutcome::NotGranted { refusal });
}

#[test]
fn only_the_exact_key_is_accepted() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    driver.apply_next(&grant("op-k", "curepipe", 7));
    let view = driver.machine.view();
    let key = key_text("curepipe", 7);
    let forged = [
        key_text("curepipe", 8),
        key[..key.len() - 1].to_owned(),
        format!("{key}0"),
        key.to_uppercase(),
        key.replace("ck_", ""),
        key.replacen("ck_0000000000000007", "ck_0000000000000008", 1),
        format!("ck_0000000000000007_{}", "0".repeat(64)),
        String::new(),
        "ck_é_é".to_owned(),
    ];
    for text in forged {
        assert_eq!(view.check_key(&text), KeyDecision::Unknown, "{text}");
    }
}

#[test]
fn the_secret_of_a_key_is_neither_in_the_log_nor_in_a_snapshot() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let command = grant("op-k", "curepipe", 7);
    driver.apply_next(&command);
    let key = key_text("curepipe", 7);
    let secret = key.rsplit('_').next().expect("the key has a secret");
    let holds = |bytes: &[u8]| bytes.windows(secret.len()).any(|w| w == secret.as_bytes());
    assert!(holds(key.as_bytes()));
    assert!(!holds(&command.to_bytes().expect("serializes")));
    assert!(!holds(&driver.machine.snapshot().expect("serializes")));
    assert!(!format!("{:?}", driver.machine).contains(secret));
}

#[test]
fn a_withdrawal_is_enforced_before_it_is_logged_and_after_a_later_grant() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    // Received from another host before this host applied the grant.
    assert!(driver.machine.withdraw_locally(KeyId::new(7)));
    assert!(!driver.machine.withdraw_locally(KeyId::new(7)));
    driver.apply_next(&grant("op-k", "curepipe", 7));
    let key = key_text("curepipe", 7);
    assert_eq!(
        driver.machine.view().check_key(&key),
        KeyDecision::Withdrawn
    );
    driver.apply_next(&withdraw(7));
    assert!(driver.machine.view().tombstones().is_empty());
    assert_eq!(
        driver.machine.view().check_key(&key),
        KeyDecision::Withdrawn
    );
    let late_tombstones: KeyTombstones = [KeyId::new(7)].into_iter().collect();
    assert!(!driver.machine.merge_tombstones(&late_tombstones));
}

#[test]
fn a_key_of_a_removed_team_does_not_work() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    driver.apply_next(&grant("op-k", "curepipe", 7));
    driver.apply_next(&apply(1, "op-b", "pamplemousses"));
    let decision = driver.machine.view().check_key(&key_text("curepipe", 7));
    assert_eq!(decision, KeyDecision::Unknown);
}

#[test]
fn a_restart_after_500_changes_restores_no_old_document() {
    let mut driver = MachineDriver::default();
    for number in 0..500 {
        driver.apply_next(&apply(
            number,
            &format!("op-{number}"),
            &format!("team-{number}"),
        ));
    }
    let early = {
        let mut early = FleetMachine::new();
        early.apply(LogIndex(1), &apply(0, "op-0", "team-0"));
        early.snapshot().expect("serializes")
    };
    driver.restart();
    let refused = driver.machine.restore(&early);
    assert!(matches!(refused, Err(SnapshotError::Older { .. })));
    let view = driver.machine.view();
    assert_eq!(view.revision, FleetRevision(500));
    assert_eq!(*view.document, document("team-499"));
}

#[test]
fn damaged_snapshots_are_errors_and_change_nothing() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let bytes = driver.machine.snapshot().expect("serializes");
    let mut fresh = FleetMachine::new();
    for length in 0..bytes.len() {
        assert!(fresh.restore(&bytes[..length]).is_err());
    }
    let unknown = fresh.restore(&[9, 9, 9]);
    assert_eq!(unknown, Err(SnapshotError::UnknownFormat(9)));
    assert_eq!(fresh.applied(), LogIndex(0));
}

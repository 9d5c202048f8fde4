//! Tests of the drains of zones in the replicated state: orders, their resends and snapshots.

use crate::support::{MachineDriver, apply, drain, zone};
use chicoryladder_state::{FleetMachine, FleetOutcome};
use chicoryladder_types::{FleetRevision, ZoneDrain, ZoneDrainStep};
use std::net::SocketAddr;

const BEGIN: ZoneDrainStep = ZoneDrainStep::Begin;
const FINISH: ZoneDrainStep = ZoneDrainStep::Finish;

fn drained(driver: &MachineDriver) -> Vec<ZoneDrain> {
    driver.machine.view().drains.drained()
}

/// Guards against drains that are lost with a snapshot, after which the servers of the zone
/// would be used again.
#[test]
fn drains_survive_a_snapshot_with_who_asked_and_when() {
    let mut driver = MachineDriver::default();
    let outcome = driver.apply_next(&drain("op-a", "zone-a", BEGIN, 5_000));
    assert_eq!(outcome, FleetOutcome::ZoneDrainSet);
    driver.apply_next(&drain("op-b", "zone-b", BEGIN, 5_001));
    driver.apply_next(&drain("op-c", "zone-b", FINISH, 5_002));
    driver.restart();
    let expected = ZoneDrain {
        zone: zone("zone-a"),
        asked_by: Some(SocketAddr::from(([127, 0, 0, 1], 5_000))),
        since_ms: 5_000,
    };
    assert_eq!(drained(&driver), [expected]);
    // A withdrawn drain can still be withdrawn once its zone has no host and no server.
    let drains = driver.machine.view().drains;
    assert!(drains.was_ordered(&zone("zone-b")));
    assert!(!drains.was_ordered(&zone("zone-c")));
}

/// Guards against a repeated order that hides who gave it first and since when the zone is
/// drained.
#[test]
fn the_last_order_in_the_log_wins_and_a_repeated_one_keeps_the_first_record() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&drain("op-a", "zone-a", BEGIN, 5_000));
    driver.apply_next(&drain("op-b", "zone-a", BEGIN, 5_001));
    assert_eq!(drained(&driver)[0].since_ms, 5_000);
    driver.apply_next(&drain("op-c", "zone-a", FINISH, 5_002));
    assert_eq!(drained(&driver), []);
    driver.apply_next(&drain("op-d", "zone-a", BEGIN, 5_003));
    assert_eq!(drained(&driver)[0].since_ms, 5_003);
}

/// Guards against a copy of an order that a host resent and that is committed after the order
/// was withdrawn: the zone would be drained again, though the withdrawal was acknowledged last.
#[test]
fn a_late_copy_of_an_order_does_not_undo_a_later_order() {
    let mut driver = MachineDriver::default();
    let begin = drain("op-a", "zone-a", BEGIN, 5_000);
    driver.apply_next(&begin);
    driver.apply_next(&drain("op-b", "zone-a", FINISH, 5_001));
    driver.restart();
    assert_eq!(driver.apply_next(&begin), FleetOutcome::ZoneDrainSet);
    assert_eq!(drained(&driver), []);
    let other = driver.apply_next(&drain("op-a", "zone-b", BEGIN, 5_002));
    assert_eq!(other, FleetOutcome::OperationReused);
    assert_eq!(drained(&driver), []);
}

/// Guards against a host that cannot start after an upgrade, since its snapshot is from a
/// build without drains, and against drains that are lost with the end of a damaged snapshot.
#[test]
fn snapshots_without_drains_are_restored_and_damaged_ones_are_not() {
    let mut driver = MachineDriver::default();
    driver.apply_next(&apply(0, "op-a", "curepipe"));
    let earlier = driver.machine.snapshot().expect("the state serializes");
    let mut restored = FleetMachine::new();
    restored.restore(&earlier).expect("the snapshot is whole");
    assert_eq!(restored.view().revision, FleetRevision(1));
    assert_eq!(restored.view().drains.drained(), []);

    driver.apply_next(&drain("op-b", "zone-a", BEGIN, 5_000));
    let whole = driver.machine.snapshot().expect("the state serializes");
    let mut fresh = FleetMachine::new();
    let restored = (0..whole.len()).filter(|length| fresh.restore(&whole[..*length]).is_ok());
    // The only shorter one that is restored is one from a build without drains.
    assert!(restored.count() <= 1);
}

/// Guards against a command that takes another position in the log's encoding: hosts of this
/// build and of later ones would read another command.
#[test]
fn an_order_keeps_its_encoding() {
    let order = drain("op-a", "zone-a", BEGIN, 5_000);
    let bytes = order.to_bytes().expect("the command serializes");
    let asked_by = Some(SocketAddr::from(([127, 0, 0, 1], 5_000)));
    // The position of the command, the zone, the step, who asked, the time and the operation.
    let parts = (5_u32, "zone-a", 0_u32, asked_by, 5_000_u64, "op-a");
    assert_eq!(postcard::to_stdvec(&parts), Ok(bytes));
}

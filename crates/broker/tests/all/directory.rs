//! Check-ins: late, repeated, foreign and reborn.

use crate::support::{World, check_in, granted};
use chicoryladder_broker::{CheckInOutcome, ServerPhase};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::time::Duration;

fn leaving(sequence: u64) -> chicoryladder_broker::ServerCheckIn {
    let mut check_in = check_in("a1", "a", sequence);
    check_in.phase = ServerPhase::Leaving;
    check_in
}

#[test]
fn a_leaving_server_gets_no_new_work_and_never_comes_back() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let now = world.now;
    assert_eq!(
        world.broker.check_in(leaving(2), now),
        CheckInOutcome::Leaving
    );
    assert!(granted(&world.ask_online()).is_none());
    // An older word of the same start arrives late, or a newer one lies.
    assert_eq!(
        world.broker.check_in(check_in("a1", "a", 1), now),
        CheckInOutcome::Stale
    );
    world.broker.check_in(check_in("a1", "a", 3), now);
    assert!(granted(&world.ask_online()).is_none());
}

#[test]
fn a_server_that_starts_again_under_its_name_is_new() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    world.broker.check_in(leaving(2), world.now);
    let mut restarted = check_in("a1", "a", 1);
    restarted.incarnation = 2;
    assert_eq!(
        world.broker.check_in(restarted, world.now),
        CheckInOutcome::Added
    );
    assert!(granted(&world.ask_online()).is_some());
    // What the former start still had under way is late.
    assert_eq!(
        world.broker.check_in(check_in("a1", "a", 9), world.now),
        CheckInOutcome::Stale
    );
}

#[test]
fn a_server_that_says_nothing_gets_no_work() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    for _ in 0..51 {
        world.tick(Duration::from_millis(100));
    }
    assert!(granted(&world.ask_online()).is_none());
    world.broker.check_in(check_in("a1", "a", 2), world.now);
    assert!(granted(&world.ask_online()).is_some());
}

/// Hosts that choose without the broker, and the next broker, hear of it.
#[test]
fn a_silent_server_leaves_the_directory_until_it_is_heard_again() {
    let mut world = World::new(&[("a1", "a"), ("a2", "a")], Vec::new());
    let before = world.broker.directory_version();
    for step in 0..51 {
        world.tick(Duration::from_millis(100));
        let check_in = check_in("a2", "a", 2 + step);
        world.broker.check_in(check_in, world.now);
    }
    assert_eq!(world.broker.servers().len(), 1);
    let lost = world.broker.directory_version();
    assert!(lost > before);
    world.broker.check_in(check_in("a1", "a", 2), world.now);
    assert_eq!(world.broker.servers().len(), 2);
    assert!(world.broker.directory_version() > lost);
}

/// Load pattern: the broker is replaced in the middle of a day. Servers check in with
/// the new one a second or two later; until then it serves with those it took over.
#[test]
fn a_new_broker_gives_out_the_slots_of_the_servers_it_takes_over() {
    let old = World::new(&[("a1", "a"), ("b1", "b")], Vec::new());
    let mut new = World::new(&[], Vec::new());
    new.now += Duration::from_secs(60);
    for check_in in old.broker.servers() {
        new.broker.restore_server(check_in, new.now);
    }
    for _ in 0..16 {
        assert!(granted(&new.ask_online()).is_some());
    }
}

#[test]
fn a_departure_concerns_the_start_that_it_names() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let name = ServerName::try_from("a1").expect("it is valid");
    world.broker.mark_leaving(&name, Some(7));
    assert!(granted(&world.ask_online()).is_some());
    world.broker.mark_leaving(&name, Some(1));
    assert!(granted(&world.ask_online()).is_none());
}

#[test]
fn a_server_that_moved_to_another_service_serves_only_that() {
    let mut world = World::new(&[("a1", "a")], Vec::new());
    let mut moved = check_in("a1", "a", 1);
    moved.incarnation = 2;
    moved.service = ServiceName::try_from("app").expect("it is valid");
    world.broker.check_in(moved, world.now);
    assert!(granted(&world.ask_online()).is_none());
}

#[test]
fn thousands_of_check_ins_leave_one_record_a_server() {
    let mut world = World::new(&[], Vec::new());
    for sequence in 1..=20 {
        for server in 0..200 {
            let check_in = check_in(&format!("s{server}"), "a", sequence);
            world.broker.check_in(check_in, world.now);
        }
    }
    assert_eq!(world.broker.servers().len(), 200);
}

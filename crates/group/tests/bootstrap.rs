//! The bootstrap decision, and the files in which hosts store the result.

use chicoryladder_group::{
    AddressFile, BootstrapMembers, BootstrapStep, SeatFile, SeatRecord, number_members,
    plan_bootstrap, sole_bootstrap_member,
};
use chicoryladder_types::SeatId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7700))
}

fn seeds(numbers: &[u8]) -> BTreeSet<SocketAddr> {
    numbers.iter().copied().map(host).collect()
}

fn reports(answers: &[(u8, bool)]) -> BTreeMap<SocketAddr, bool> {
    answers
        .iter()
        .map(|(n, holds)| (host(*n), *holds))
        .collect()
}

#[test]
fn majority_of_seeds_with_seats_bootstraps_the_group_without_waiting_for_the_rest() {
    let seeds = seeds(&[1, 2, 3]);
    let map = BootstrapMembers::from([
        (SeatId(1), host(1)),
        (SeatId(2), host(2)),
        (SeatId(3), host(3)),
    ]);
    let one = reports(&[(1, true)]);
    assert_eq!(plan_bootstrap(host(1), &seeds, &one), BootstrapStep::Wait);
    let two = reports(&[(1, true), (3, true)]);
    assert_eq!(
        plan_bootstrap(host(1), &seeds, &two),
        BootstrapStep::Bootstrap(map.clone())
    );
    let mixed = reports(&[(1, true), (2, false), (3, true)]);
    assert_eq!(
        plan_bootstrap(host(3), &seeds, &mixed),
        BootstrapStep::Bootstrap(map)
    );
    assert_eq!(plan_bootstrap(host(9), &seeds, &mixed), BootstrapStep::Join);
}

#[test]
fn single_host_bootstraps_the_group_if_half_of_the_seeds_hold_no_seat() {
    let three = seeds(&[1, 2, 3]);
    let first_holds = reports(&[(1, true), (2, false), (3, false)]);
    assert_eq!(
        plan_bootstrap(host(1), &three, &first_holds),
        BootstrapStep::Bootstrap(sole_bootstrap_member(host(1)))
    );
    assert_eq!(
        plan_bootstrap(host(9), &three, &first_holds),
        BootstrapStep::QuerySeed(host(1))
    );
    let none_holds = reports(&[(2, false), (3, false)]);
    assert_eq!(
        plan_bootstrap(host(9), &three, &none_holds),
        BootstrapStep::QuerySeed(host(1))
    );
    let pair = seeds(&[4, 5]);
    let last_holds = reports(&[(4, false), (5, true)]);
    assert_eq!(
        plan_bootstrap(host(5), &pair, &last_holds),
        BootstrapStep::QuerySeed(host(4))
    );
    assert_eq!(
        plan_bootstrap(host(5), &seeds(&[]), &reports(&[])),
        BootstrapStep::Wait
    );
}

/// Hosts never bootstrap two different groups, whichever subset of the reports each of
/// them has received.
#[test]
fn no_two_hosts_decide_on_different_groups() {
    for count in 1..=5_u8 {
        let numbers: Vec<u8> = (1..=count).collect();
        let seeds = seeds(&numbers);
        for roles in 0..1_u32 << count {
            let holds = |n: u8| roles >> (n - 1) & 1 == 1;
            let mut decided = BTreeSet::new();
            for known in 0..1_u32 << count {
                let known = numbers.iter().filter(|n| known >> (**n - 1) & 1 == 1);
                let answers: Vec<(u8, bool)> = known.map(|n| (*n, holds(*n))).collect();
                let reports = reports(&answers);
                let with_seats = numbers.iter().copied().filter(|n| holds(*n));
                for own in with_seats.chain([9]) {
                    match plan_bootstrap(host(own), &seeds, &reports) {
                        BootstrapStep::Bootstrap(map) => {
                            decided.insert(map.into_values().collect::<Vec<_>>());
                        }
                        // The queried seed bootstraps the group itself or appoints one host.
                        BootstrapStep::QuerySeed(seed) => {
                            decided.insert(vec![seed]);
                        }
                        BootstrapStep::Wait | BootstrapStep::Join => {}
                    }
                }
            }
            assert!(
                decided.len() <= 1,
                "{count} seeds, roles {roles:b}: {decided:?}"
            );
        }
    }
}

#[test]
fn seat_record_is_read_back_with_its_bootstrap_members() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = SeatFile::new(&folder.path().join("data"));
    assert_eq!(file.read().expect("no fault"), None);
    let bootstrapped = SeatRecord {
        seat: SeatId(2),
        bootstrap_members: number_members(&seeds(&[1, 2, 3])),
    };
    let joined = SeatRecord {
        seat: SeatId(7),
        bootstrap_members: BootstrapMembers::new(),
    };
    for record in [bootstrapped, joined] {
        file.write(&record).expect("it is written");
        assert_eq!(file.read().expect("no fault"), Some(record));
    }
    file.delete().expect("it is deleted");
    file.delete().expect("there is none");
    assert_eq!(file.read().expect("no fault"), None);
}

#[test]
fn malformed_seat_file_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = SeatFile::new(folder.path());
    for text in ["", "x\n", "2\n1 10.0.0.1\n", "2\n10.0.0.1:7700\n"] {
        std::fs::write(folder.path().join("seat"), text).expect("it is written");
        assert!(file.read().is_err(), "{text:?}");
    }
}

#[test]
fn addresses_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = AddressFile::new(folder.path(), "hosts");
    assert!(file.read().expect("no fault").is_empty());
    let addresses = [host(3), host(1)];
    file.write(&addresses).expect("it is written");
    assert_eq!(file.read().expect("no fault"), addresses);
    std::fs::write(folder.path().join("hosts"), "nowhere\n").expect("it is written");
    assert!(file.read().is_err());
}

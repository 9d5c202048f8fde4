//! Pattern: operators change the plan several times a second in a fleet of hundreds of
//! hosts, during a burst of requests.

use chicoryladder_roles::{PLAN_NOTICES_PER_TICK, PlanNotices};
use chicoryladder_types::HostName;
use std::collections::HashMap;

const HOSTS: u32 = 300;
/// Ticks of the leader, 25 ms each, between two syncs of a host.
const TICKS_PER_SYNC: u32 = 14;

fn names() -> Vec<HostName> {
    let name = |number| HostName::try_from(format!("host-{number}").as_str());
    (0..HOSTS).map(|n| name(n).expect("a name")).collect()
}

/// Simulates ticks of the leader and the syncs of hosts, which come at their interval or
/// with a notice. A change of the plan comes at each of the given ticks. Returns the most
/// syncs in one tick, and the version of each host after `ticks`.
fn play(changes: &[u32], ticks: u32) -> (usize, HashMap<HostName, usize>) {
    let names = names();
    let mut notices = PlanNotices::default();
    let mut held: HashMap<HostName, usize> = names.iter().map(|n| (n.clone(), 0)).collect();
    let (mut version, mut most) = (0, 0);
    for tick in 0..ticks {
        if changes.contains(&tick) {
            version += 1;
            notices.begin(names.iter().cloned());
        }
        let mut syncing = notices.take(|host| held[host] < version);
        let due = names.iter().zip(0u32..);
        let due = due.filter(|(_, number)| (tick + number) % TICKS_PER_SYNC == 0);
        syncing.extend(due.map(|(name, _)| name.clone()));
        most = most.max(syncing.len());
        for host in syncing {
            held.insert(host, version);
        }
    }
    (most, held)
}

#[test]
fn a_storm_of_plan_changes_causes_no_burst_of_syncs() {
    let usual = usize::try_from(HOSTS.div_ceil(TICKS_PER_SYNC)).expect("a count");
    let storm: Vec<u32> = (0..20).map(|n| n * 13).collect();
    let (most, held) = play(&storm, 20 * 13 + TICKS_PER_SYNC);
    assert!(
        most <= usual + PLAN_NOTICES_PER_TICK,
        "{most} syncs at once"
    );
    assert!(held.values().all(|version| *version == storm.len()));
}

#[test]
fn every_host_of_a_small_fleet_is_told_at_once() {
    let few: Vec<HostName> = names().into_iter().take(PLAN_NOTICES_PER_TICK).collect();
    let mut notices = PlanNotices::default();
    notices.begin(few.iter().cloned());
    assert_eq!(notices.take(|_| true), few);
    assert!(notices.take(|_| true).is_empty());
}

//! Tests of propagation reports.

use chicoryladder_state::{HostPosition, KeyId, KnownHost, PropagationGoal, propagation_report};
use chicoryladder_types::admin::HostLocation;
use chicoryladder_types::{HostName, LogIndex, ZoneName};

fn host(name: &str, zone: &str, applied: Option<u64>) -> KnownHost {
    KnownHost {
        location: HostLocation {
            host: HostName::try_from(name).expect("a valid name"),
            zone: ZoneName::try_from(zone).expect("a valid name"),
        },
        position: applied.map(|index| HostPosition {
            applied: LogIndex(index),
            ..HostPosition::default()
        }),
    }
}

#[test]
fn lagging_and_unreported_hosts_are_listed_with_their_zones() {
    let hosts = [
        host("host-1", "zone-a", Some(5)),
        host("host-2", "zone-a", Some(4)),
        host("host-3", "zone-b", None),
    ];
    let report = propagation_report(PropagationGoal::Applied(LogIndex(5)), &hosts, Vec::new());
    assert!(!report.in_force);
    let names: Vec<&str> = report
        .hosts_not_heard
        .iter()
        .map(|location| location.host.as_str())
        .collect();
    assert_eq!(names, ["host-2", "host-3"]);
    let zones: Vec<&str> = report
        .zones_not_heard
        .iter()
        .map(ZoneName::as_str)
        .collect();
    assert_eq!(zones, ["zone-b"]);
}

#[test]
fn a_change_is_in_force_once_every_host_reports_it_and_every_contact_has_responded() {
    let hosts = [
        host("host-1", "zone-a", Some(5)),
        host("host-2", "zone-b", Some(9)),
    ];
    let goal = PropagationGoal::Applied(LogIndex(5));
    assert!(propagation_report(goal, &hosts, Vec::new()).in_force);
    let silent = vec!["127.0.0.1:7304".parse().expect("an address")];
    let report = propagation_report(goal, &hosts, silent.clone());
    assert!(!report.in_force);
    assert_eq!(report.contacts_not_heard, silent);
}

#[test]
fn an_unlogged_withdrawal_is_in_force_where_its_tombstone_was_received() {
    let key_id = KeyId::new(7);
    let mut hosts = [
        host("host-1", "zone-a", Some(5)),
        host("host-2", "zone-b", Some(5)),
    ];
    for known in &mut hosts[..1] {
        let position = known.position.as_mut().expect("the host has reported");
        position.tombstones.insert(key_id);
    }
    let report = propagation_report(PropagationGoal::Withdrawn(key_id), &hosts, Vec::new());
    assert_eq!(report.hosts_not_heard, [hosts[1].location.clone()]);
}

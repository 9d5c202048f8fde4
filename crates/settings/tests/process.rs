//! Process settings: values and fault reports.

use chicoryladder_settings::ProcessSettings;
use std::path::PathBuf;
use std::time::Duration;

const STORE: &str = "\
[host]
name = store-1
zone = zone-a

[listen]
peers = 10.0.0.5:7660
servers_from = 10.0.1.5

[control]
seeds = 10.0.0.9:8407, 10.1.0.7:8407
first_start = yes
losses_borne = 2

[data]
folder = /data/store

[promises]
key_withdrawal_ms = 4000
drain_timeout_s = 7.5
rate_slack = 20
rate_overshoot = 0.1
rate_window_s = 5
cold_overshoot = 1.25

[zones]
areas = zone-a:east, zone-b:west

[features]
names = base, pressure

[limits]
memory_mb = 120
descriptors = 3075
";

#[test]
fn every_key_is_read() {
    let settings = ProcessSettings::parse("store.ini", STORE).expect("the text has no fault");
    assert_eq!(settings.host.name.as_str(), "store-1");
    assert_eq!(settings.listen.peers.port(), 7660);
    assert_eq!(settings.listen.callers, None);
    assert_eq!(settings.listen.servers_from, "10.0.1.5".parse().ok());
    assert_eq!(settings.control.seeds.len(), 2);
    assert!(settings.control.first_start);
    assert_eq!(settings.control.voters(), 5);
    assert_eq!(settings.data_folder, Some(PathBuf::from("/data/store")));
    let bounds = settings.bounds;
    assert_eq!(bounds.key_withdrawal, Duration::from_secs(4));
    assert_eq!(bounds.drain_timeout, Duration::from_millis(7_500));
    assert!((bounds.rate_overshoot - 0.1).abs() < 1e-9);
    assert!((bounds.cold_overshoot - 1.25).abs() < 1e-9);
    let areas = settings.areas.iter();
    let areas: Vec<_> = areas.map(|(z, a)| (z.as_str(), a.as_str())).collect();
    assert_eq!(areas, [("zone-a", "east"), ("zone-b", "west")]);
    assert!(settings.features.pressure());
    assert_eq!(settings.machine.memory_bytes, Some(120_000_000));
    assert_eq!(settings.machine.descriptors, Some(3_075));
}

#[test]
fn every_fault_is_reported_at_once_with_its_line() {
    let text = "\
[host]
name = store 1
zone = zone-a

[listen]
peers = nowhere
callers = 10.0.0.5:8405

[promises]
rate_slack = -3
grace = 4

[extra]
";
    let report = ProcessSettings::parse("store.ini", text).expect_err("the text has faults");
    let lines = report.to_lines();
    for part in [
        "store.ini:2: `name`",
        "store.ini:6: `peers`",
        "store.ini:10: `rate_slack`",
        "store.ini:11: section [promises] has no key `grace`",
        "store.ini:13: there is no section [extra]",
        "the section [control] is missing",
    ] {
        assert!(lines.contains(part), "{part} is not in\n{lines}");
    }
    assert_eq!(report.faults.len(), 6, "{lines}");
}

//! Host settings: defaults, paths and fault reports.

use chicoryladder_settings::{HostSettings, MachineLimits, SettingsReport};
use chicoryladder_types::SeatId;
use miette::{GraphicalReportHandler, GraphicalTheme};
use std::path::Path;
use std::time::Duration;

const MINIMAL: &str = "\
[host]
name = host-1
zone = zone-a
[listen]
callers = 127.0.0.1:7101
servers = 127.0.0.1:7102
operators = 127.0.0.1:7103
peers = 127.0.0.1:7104
[peers]
secret_file = secret.txt
[voters]
1 = 127.0.0.1:7104
[operators]
token_file = token.txt
";

const FAULTY: &str = "\
stray = 1
[host]
name = host 1
log_level = loud
[listen]
callers = localhost:7101
servers = 127.0.0.1:7102
servers = 127.0.0.1:7105
operators
peers = 127.0.0.1:7104
peer = 127.0.0.1:7104
[voters]
0 = 127.0.0.1:7104
2 = nowhere
[callers]
body_max_bytes = 12
body_timeout_ms = 0
[keys]
lease_ms = soon
[operators]
[disk]
folder = data
[host]
zone = zone-a
";

fn render(report: &SettingsReport) -> String {
    let mut rendered = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(100)
        .render_report(&mut rendered, report)
        .expect("a report renders into a string");
    rendered
}

#[test]
fn missing_keys_have_default_values() {
    let settings = HostSettings::parse("host.ini", MINIMAL).expect("the text has no fault");
    assert_eq!(settings.host.log_level, log::LevelFilter::Info);
    assert_eq!(settings.shutdown.notice, Duration::from_millis(2_500));
    assert_eq!(settings.shutdown.drain_timeout, Duration::from_secs(30));
    assert_eq!(settings.keys.lease, Duration::from_secs(5));
    assert_eq!(settings.data, None);
    assert!(settings.peers.seeds.is_empty());
    assert_eq!(settings.machine, MachineLimits::default());
}

#[test]
fn the_limits_of_the_machine_are_read() {
    let text = format!("{MINIMAL}\n[limits]\nmemory_mb = 110\ndescriptors = 1024\n");
    let settings = HostSettings::parse("host.ini", &text).expect("the text has no fault");
    assert_eq!(settings.machine.memory_bytes, Some(110_000_000));
    assert_eq!(settings.machine.descriptors, Some(1_024));
}

#[test]
fn every_fault_is_reported_at_once() {
    let report = HostSettings::parse("host.ini", FAULTY).expect_err("the text has faults");
    insta::assert_snapshot!("host_faults", report.to_lines());
    insta::assert_snapshot!("host_faults_rendered", render(&report));
}

#[test]
fn two_keys_cannot_have_the_same_address_unless_its_port_is_zero() {
    let shared = MINIMAL.replace("servers = 127.0.0.1:7102", "servers = 127.0.0.1:7101");
    let report = HostSettings::parse("host.ini", &shared).expect_err("the address is shared");
    insta::assert_snapshot!("host_shared_address", report.to_lines());
    let free = MINIMAL
        .replace("127.0.0.1:7101", "127.0.0.1:0")
        .replace("127.0.0.1:7102", "127.0.0.1:0");
    assert!(HostSettings::parse("host.ini", &free).is_ok());
}

#[test]
fn an_empty_text_reports_every_required_section() {
    let report = HostSettings::parse("host.ini", "").expect_err("sections are missing");
    insta::assert_snapshot!("host_empty", report.to_lines());
}

#[test]
fn examples_are_valid_and_paths_are_relative_to_their_folder() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut zones = Vec::new();
    for seat in 1..=3 {
        let path = folder.join(format!("host-{seat}.ini"));
        let settings = HostSettings::read(&path).expect("the example has no fault");
        let data = settings.data.expect("the example has a data folder");
        assert_eq!(data.seat, SeatId(seat));
        assert_eq!(settings.voters[&data.seat], settings.listen.peers);
        assert_eq!(data.folder, folder.join(format!("data/host-{seat}")));
        assert_eq!(settings.peers.secret_file, folder.join("peer-secret.txt"));
        zones.push(settings.host.zone);
    }
    zones.dedup();
    assert_eq!(zones.len(), 3);
}

#[test]
fn an_error_for_a_missing_file_contains_its_path() {
    let error = HostSettings::read(Path::new("no/such/host.ini")).expect_err("no such file");
    assert_eq!(error.to_string(), "cannot read no/such/host.ini");
}

//! Tests of board aggregation, and that a cached board is never replaced by an
//! older one.

use crate::support::{MachineDriver, apply};
use chicoryladder_state::{BoardAggregator, BoardCache, FleetCommand, FleetView, StatisticsWindow};
use chicoryladder_types::{ClassName, HostName, RefusalReason, TermNumber};
use std::time::{Duration, Instant, SystemTime};

const CLASS: &str = "[class chat]\nkind = online\nfirst_token_ms = 100\nanswer_ms = 1000\n";

fn view() -> FleetView {
    let mut command = apply(0, "op", "curepipe");
    if let FleetCommand::ApplyDocument(command) = &mut command {
        CLASS.clone_into(&mut command.text);
    }
    let mut driver = MachineDriver::default();
    driver.apply_next(&command);
    driver.machine.view()
}

fn host(name: &str) -> HostName {
    HostName::try_from(name).expect("a valid name")
}

fn chat() -> ClassName {
    ClassName::try_from("chat").expect("a valid name")
}

/// A window with `within` requests that met the target, `late` ones that missed it
/// and `failed` ones.
fn window(within: u64, late: u64, failed: u64) -> StatisticsWindow {
    let mut window = StatisticsWindow::default();
    for number in 0..within + late {
        let in_time = number < within;
        let answer = Duration::from_millis(if in_time { 500 } else { 2000 });
        let first = Some(Duration::from_millis(50));
        window.record_served(&chat(), first, answer, in_time);
    }
    for _ in 0..failed {
        window.record_refused(&chat(), RefusalReason::ServerFailed);
    }
    window
}

fn on_target(windows: &[StatisticsWindow]) -> Option<bool> {
    let now = Instant::now();
    let mut aggregator = BoardAggregator::default();
    for (number, window) in windows.iter().enumerate() {
        aggregator.record_report(host(&format!("host-{number}")), window.report(), now);
    }
    let board = aggregator.build(TermNumber(1), &view(), &[], now, SystemTime::UNIX_EPOCH);
    board.classes[0].on_target
}

#[test]
fn the_target_of_a_class_is_checked_against_the_requests_of_all_hosts() {
    assert_eq!(on_target(&[]), None);
    assert_eq!(on_target(&[window(95, 5, 0)]), Some(true));
    assert_eq!(on_target(&[window(94, 6, 0)]), Some(false));
    assert_eq!(
        on_target(&[window(94, 6, 0), window(100, 0, 0)]),
        Some(true)
    );
    assert_eq!(on_target(&[window(95, 0, 6)]), Some(false));
}

#[test]
fn refusals_caused_by_the_caller_do_not_count_against_the_target() {
    let mut window = window(10, 0, 0);
    for _ in 0..90 {
        window.record_refused(&chat(), RefusalReason::RateExceeded);
    }
    assert_eq!(on_target(&[window]), Some(true));
}

#[test]
fn rows_show_the_percentile_of_merged_latencies() {
    let now = Instant::now();
    let mut aggregator = BoardAggregator::default();
    aggregator.record_report(host("host-1"), window(10, 0, 0).report(), now);
    aggregator.record_report(host("host-2"), window(0, 10, 0).report(), now);
    let hosts = [host("host-1"), host("host-2"), host("host-3")];
    let board = aggregator.build(TermNumber(1), &view(), &hosts, now, SystemTime::UNIX_EPOCH);
    let row = &board.classes[0];
    assert_eq!((row.served, row.answer_target_ms), (20, Some(1000)));
    let answer = row.answer_ms.expect("answers were counted");
    assert!((2000..2030).contains(&answer), "{answer}");
    assert_eq!(board.hosts_missing, [host("host-3")]);
}

#[test]
fn old_slots_and_old_reports_are_not_counted() {
    let mut window = window(10, 0, 0);
    for _ in 0..30 {
        window.advance();
    }
    assert!(window.report().classes.is_empty());
    let now = Instant::now();
    let mut aggregator = BoardAggregator::default();
    aggregator.record_report(host("host-1"), self::window(10, 0, 0).report(), now);
    let later = now + Duration::from_secs(5);
    let hosts = [host("host-1")];
    let board = aggregator.build(
        TermNumber(1),
        &view(),
        &hosts,
        later,
        SystemTime::UNIX_EPOCH,
    );
    assert_eq!(board.classes[0].served, 0);
    assert_eq!(board.hosts_missing, hosts);
}

#[test]
fn board_numbers_increase_over_terms_and_the_cache_never_goes_back() {
    let now = Instant::now();
    let mut old_leader = BoardAggregator::default();
    let mut new_leader = BoardAggregator::default();
    let build = |aggregator: &mut BoardAggregator, term| {
        aggregator.build(TermNumber(term), &view(), &[], now, SystemTime::UNIX_EPOCH)
    };
    let first = build(&mut old_leader, 1);
    let second = build(&mut old_leader, 1);
    let successor = build(&mut new_leader, 2);
    let late = build(&mut old_leader, 1);
    assert!(first.number < second.number && second.number < successor.number);
    let mut cache = BoardCache::default();
    assert!(cache.replace_if_newer(second));
    assert!(!cache.replace_if_newer(first));
    assert!(cache.replace_if_newer(successor.clone()));
    assert!(!cache.replace_if_newer(late));
    assert_eq!(*cache.board(), successor);
}

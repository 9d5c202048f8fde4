//! What a host remembers and reports of the limits that servers name, and which reports the
//! broker believes.

use crate::support::{BrokerFixture, check_in, granted};
use chicoryladder_broker::{LimitReport, LimitStatement, NamedLimits, ServerCheckIn, ServerLimit};
use chicoryladder_types::prelude::*;
use std::time::{Duration, Instant};

fn name(text: &str) -> ServerName {
    ServerName::try_from(text).expect("a valid test value")
}

fn limit(per_second: f64) -> ServerLimit {
    ServerLimit::try_from(per_second).expect("it is valid")
}

fn limited(per_second: f64) -> LimitStatement {
    LimitStatement::Limited(limit(per_second))
}

fn report(per_second: Option<f64>, age_ms: u64) -> LimitReport {
    LimitReport {
        server: name("a1"),
        incarnation: 1,
        limit: per_second.map(limit),
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn a_limit_holds_until_a_response_names_none() {
    let now = Instant::now();
    let mut limits = NamedLimits::default();
    assert!(!limits.record(&name("a1"), 1, LimitStatement::Unlimited, now));
    assert!(limits.record(&name("a1"), 1, limited(2.0), now));
    assert!(!limits.record(&name("a1"), 1, LimitStatement::Unreadable, now));
    assert_eq!(limits.limit(&name("a1"), 1), Some(limit(2.0)));
    assert_eq!(limits.limit(&name("a1"), 2), None);
    assert!(limits.record(&name("a1"), 1, LimitStatement::Unlimited, now));
    assert_eq!(limits.limit(&name("a1"), 1), None);
}

#[test]
fn a_response_of_an_earlier_incarnation_names_no_limit() {
    let now = Instant::now();
    let mut limits = NamedLimits::default();
    limits.record(&name("a1"), 2, limited(2.0), now);
    assert!(!limits.record(&name("a1"), 1, LimitStatement::Unlimited, now));
    assert_eq!(limits.limit(&name("a1"), 2), Some(limit(2.0)));
    assert!(limits.record(&name("a1"), 3, LimitStatement::Unlimited, now));
    assert_eq!(limits.limit(&name("a1"), 3), None);
}

/// Guards against a limit that a new broker never learns, and one that it never learns the
/// end of.
#[test]
fn a_limit_is_reported_at_once_and_then_each_second() {
    let start = Instant::now();
    let mut limits = NamedLimits::default();
    limits.record(&name("a1"), 1, limited(2.0), start);
    assert_eq!(limits.take_reports(start).len(), 1);
    assert!(limits.take_reports(start).is_empty());
    let later = start + Duration::from_secs(1);
    limits.record(&name("a1"), 1, limited(2.0), later);
    let reports = limits.take_reports(later + Duration::from_millis(30));
    assert_eq!(reports, [report(Some(2.0), 30)]);
    limits.record(&name("a1"), 1, LimitStatement::Unlimited, later);
    let ended = limits.take_reports(later);
    assert_eq!(ended, [report(None, 0)]);
    // The call was lost.
    limits.return_reports(&ended);
    assert_eq!(limits.take_reports(later), [report(None, 0)]);
}

/// Guards against a new broker that learns no limits until servers name them again.
#[test]
fn a_new_broker_gets_all_limits_at_once() {
    let now = Instant::now();
    let mut limits = NamedLimits::default();
    limits.record(&name("a1"), 1, limited(2.0), now);
    limits.adopt(&name("a2"), 1, Some(limit(3.0)), now);
    limits.take_reports(now);
    assert!(limits.take_reports(now).is_empty());
    limits.report_all();
    assert_eq!(limits.take_reports(now).len(), 2);
}

#[test]
fn remembered_limits_are_bounded() {
    let start = Instant::now();
    let mut limits = NamedLimits::default();
    for number in 0..5_000u64 {
        let now = start + Duration::from_millis(number);
        limits.record(&name(&format!("s{number}")), 1, limited(2.0), now);
    }
    assert_eq!(limits.take_reports(start).len(), 4_096);
    assert!(limits.limit(&name("s4999"), 1).is_some());
    assert!(limits.limit(&name("s0"), 1).is_none());
}

/// Guards against a limit that ends by the report of a response from before it began.
#[test]
fn the_broker_believes_the_newest_response_in_any_order_of_reports() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    fixture.now += Duration::from_secs(1);
    let now = fixture.now;
    assert!(fixture.broker.record_limit(&report(Some(2.0), 10), now));
    assert!(!fixture.broker.record_limit(&report(None, 300), now));
    assert!(!fixture.broker.record_limit(&report(Some(9.0), 400), now));
    assert_eq!(fixture.broker.limited_servers(), 1);
    let now = now + Duration::from_millis(200);
    assert!(fixture.broker.record_limit(&report(None, 20), now));
    assert!(!fixture.broker.record_limit(&report(Some(2.0), 100), now));
    assert_eq!(fixture.broker.limited_servers(), 0);
}

#[test]
fn a_limit_concerns_one_incarnation() {
    let mut fixture = BrokerFixture::new(&[("a1", "a")], Vec::new());
    let now = fixture.now;
    let other = LimitReport {
        incarnation: 3,
        ..report(Some(2.0), 0)
    };
    assert!(!fixture.broker.record_limit(&other, now));
    assert!(fixture.broker.record_limit(&report(Some(2.0), 0), now));
    let restarted = ServerCheckIn {
        incarnation: 2,
        ..check_in("a1", "a", 1)
    };
    fixture.broker.check_in(restarted.clone(), now);
    assert_eq!(fixture.broker.limited_servers(), 0);
    let restarted = ServerCheckIn {
        incarnation: 3,
        ..restarted
    };
    fixture.broker.check_in(restarted, now);
    assert_eq!(fixture.broker.limited_servers(), 1);
}

/// Guards against a broker that drops what hosts report of a server before its first check-in,
/// as when the host of a new broker has just started, and then sends it all it has slots for.
#[test]
fn a_limit_reported_before_the_first_check_in_holds_from_it_on() {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    fixture.now += Duration::from_secs(1);
    let now = fixture.now;
    fixture.broker.record_limit(&report(Some(2.0), 10), now);
    fixture.broker.record_limit(&report(None, 300), now);
    fixture.tick(Duration::from_millis(30));
    let now = fixture.now;
    fixture.broker.check_in(check_in("a1", "a", 1), now);
    assert_eq!(fixture.broker.limited_servers(), 1);
    // A response that was read before the limit was named is still outdated.
    assert!(!fixture.broker.record_limit(&report(None, 60), now));
    assert_eq!(granted(&fixture.request_online()), None);
}

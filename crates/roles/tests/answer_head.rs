//! Tests of what the head of a response tells about its server.

use chicoryladder_broker::{LimitStatement, ServerLimit, ServerPhase};
use chicoryladder_roles::ports::AnswerHead;
use std::time::Duration;

fn leaving(id: Option<&str>) -> AnswerHead {
    AnswerHead {
        id: id.map(str::to_owned),
        phase: ServerPhase::Leaving,
        ..AnswerHead::default()
    }
}

#[test]
fn every_kind_of_own_response_announces_a_departure() {
    let served = AnswerHead {
        signed: true,
        ..leaving(Some("r1"))
    };
    let refused = AnswerHead {
        not_run: true,
        ..leaving(Some("r1"))
    };
    let failed = leaving(Some("r1"));
    for head in [served, refused, failed] {
        assert!(head.announces_departure("r1"), "{head:?}");
    }
}

#[test]
fn responses_of_others_announce_nothing() {
    let other_server = AnswerHead {
        wrong_server: true,
        ..leaving(Some("r1"))
    };
    let ready = AnswerHead {
        phase: ServerPhase::Ready,
        ..leaving(Some("r1"))
    };
    for head in [leaving(Some("r2")), leaving(None), other_server, ready] {
        assert!(!head.announces_departure("r1"), "{head:?}");
    }
}

/// Guards against a limit that is taken from the response of another server.
#[test]
fn only_own_responses_name_a_limit() {
    let limit = ServerLimit::try_from(2.0).expect("it is valid");
    let named = AnswerHead {
        id: Some("r1".to_owned()),
        limit: LimitStatement::Limited(limit),
        ..AnswerHead::default()
    };
    let statement = named.limit_statement("r1", None);
    assert_eq!(statement, Some(LimitStatement::Limited(limit)));
    let misdirected = AnswerHead {
        wrong_server: true,
        ..named.clone()
    };
    assert_eq!(misdirected.limit_statement("r1", None), None);
    assert_eq!(named.limit_statement("r2", None), None);
}

/// Guards against a cold server that is sent requests at the limit it names, or at none, and
/// against a service without terms on cold servers whose servers are paced.
#[test]
fn a_cold_server_names_the_stricter_of_its_limit_and_the_cold_rate() {
    let limit = |per_second: f64| ServerLimit::try_from(per_second).expect("it is valid");
    let stated = |named, cold_ms, cold_limit| {
        let head = AnswerHead {
            id: Some("r1".to_owned()),
            limit: named,
            cold_remaining: Some(Duration::from_millis(cold_ms)),
            ..AnswerHead::default()
        };
        head.limit_statement("r1", cold_limit)
    };
    let unlimited = LimitStatement::Unlimited;
    let limited = |per_second| LimitStatement::Limited(limit(per_second));
    let cold_limit = Some(limit(6.2));
    assert_eq!(stated(unlimited, 900, cold_limit), Some(limited(6.2)));
    assert_eq!(stated(limited(9.0), 900, cold_limit), Some(limited(6.2)));
    assert_eq!(stated(limited(2.0), 900, cold_limit), Some(limited(2.0)));
    assert_eq!(stated(limited(9.0), 0, cold_limit), Some(limited(9.0)));
    assert_eq!(stated(unlimited, 0, cold_limit), Some(unlimited));
    assert_eq!(stated(unlimited, 900, None), Some(unlimited));
}

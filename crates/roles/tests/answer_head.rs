//! Tests of what the head of a response tells about its server.

use chicoryladder_broker::{LimitStatement, ServerLimit, ServerPhase};
use chicoryladder_roles::ports::AnswerHead;

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
    let statement = named.limit_statement("r1");
    assert_eq!(statement, Some(LimitStatement::Limited(limit)));
    let misdirected = AnswerHead {
        wrong_server: true,
        ..named.clone()
    };
    assert_eq!(misdirected.limit_statement("r1"), None);
    assert_eq!(named.limit_statement("r2"), None);
}

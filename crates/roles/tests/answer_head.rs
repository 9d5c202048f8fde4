//! Tests of what the head of a response tells about its server.

use chicoryladder_broker::ServerPhase;
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

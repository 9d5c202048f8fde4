//! Tests of at-most-once request claims.

#![allow(clippy::unwrap_used)]

use chicoryladder_state::{
    AtMostOnceEnd, AtMostOnceName, ClaimOutcome, ClaimRequest, FleetCommand, FleetMachine,
    FleetOutcome, RecordedAnswer, RequestDigest, SettleRequest,
};
use chicoryladder_types::{LogIndex, RequestId};
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3600);

fn name() -> AtMostOnceName {
    AtMostOnceName {
        team: "rent-desk".try_into().unwrap(),
        key: "charge-1".to_owned(),
    }
}

/// Applies commands at successive log positions.
#[derive(Default)]
struct ClaimDriver {
    machine: FleetMachine,
    index: LogIndex,
}

impl ClaimDriver {
    fn apply(&mut self, command: &FleetCommand) -> FleetOutcome {
        self.index = self.index.next();
        self.machine.apply(self.index, command)
    }

    fn claim(&mut self, request: u128, body: &[u8], now: Duration) -> ClaimOutcome {
        let command = FleetCommand::ClaimRequest(ClaimRequest {
            name: name(),
            digest: RequestDigest::of("POST", "/charges", body),
            request: RequestId::new(request),
            now,
        });
        match self.apply(&command) {
            FleetOutcome::Claimed(outcome) => outcome,
            outcome => panic!("{outcome:?}"),
        }
    }

    fn settle(&mut self, request: u128, end: AtMostOnceEnd) {
        let command = FleetCommand::SettleRequest(SettleRequest {
            name: name(),
            request: RequestId::new(request),
            end,
        });
        assert_eq!(self.apply(&command), FleetOutcome::Settled);
    }

    fn restart(&mut self) {
        let bytes = self.machine.snapshot().unwrap();
        self.machine = FleetMachine::new();
        self.machine.restore(&bytes).unwrap();
    }
}

fn answer() -> AtMostOnceEnd {
    AtMostOnceEnd::Answered(RecordedAnswer {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: b"{}".to_vec(),
    })
}

#[test]
fn one_request_holds_a_key_and_its_response_is_recorded() {
    let mut driver = ClaimDriver::default();
    assert_eq!(driver.claim(1, b"a", HOUR), ClaimOutcome::Claimed);
    assert_eq!(driver.claim(1, b"a", HOUR), ClaimOutcome::Claimed);
    assert_eq!(driver.claim(2, b"a", HOUR), ClaimOutcome::StillRunning);
    assert_eq!(driver.claim(2, b"b", HOUR), ClaimOutcome::DigestMismatch);
    // Only the claiming request can record its end, and only once.
    driver.settle(2, AtMostOnceEnd::NotRun);
    assert_eq!(driver.claim(2, b"a", HOUR), ClaimOutcome::StillRunning);
    driver.settle(1, answer());
    driver.settle(1, AtMostOnceEnd::NotRun);
    driver.restart();
    assert_eq!(driver.claim(2, b"a", HOUR), ClaimOutcome::Ended(answer()));
    assert_eq!(driver.claim(2, b"b", HOUR), ClaimOutcome::DigestMismatch);
}

#[test]
fn a_request_that_did_not_run_releases_its_key() {
    let mut driver = ClaimDriver::default();
    assert_eq!(driver.claim(1, b"a", HOUR), ClaimOutcome::Claimed);
    driver.settle(1, AtMostOnceEnd::NotRun);
    assert_eq!(driver.claim(2, b"a", HOUR), ClaimOutcome::Claimed);
    driver.settle(1, answer());
    assert_eq!(driver.claim(3, b"a", HOUR), ClaimOutcome::StillRunning);
}

#[test]
fn the_claim_of_a_lost_host_is_not_granted_again_while_it_is_retained() {
    let mut driver = ClaimDriver::default();
    assert_eq!(driver.claim(1, b"a", HOUR), ClaimOutcome::Claimed);
    let may_have_run = ClaimOutcome::Ended(AtMostOnceEnd::MayHaveRun);
    assert_eq!(driver.claim(2, b"a", HOUR * 2), may_have_run);
    driver.settle(1, answer());
    assert_eq!(
        driver.claim(2, b"a", HOUR * 3),
        ClaimOutcome::Ended(answer())
    );
}

#[test]
fn claims_expire_after_a_day() {
    let mut driver = ClaimDriver::default();
    assert_eq!(driver.claim(1, b"a", HOUR), ClaimOutcome::Claimed);
    driver.settle(1, answer());
    assert_eq!(
        driver.claim(2, b"a", HOUR * 24),
        ClaimOutcome::Ended(answer())
    );
    assert_eq!(driver.claim(2, b"a", HOUR * 26), ClaimOutcome::Claimed);
}

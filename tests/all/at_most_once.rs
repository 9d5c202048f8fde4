//! A non-idempotent request (here a charge) with an idempotency key runs at most
//! once, whichever hosts its resends reach.

use crate::fixture::{FleetFixture, HttpAnswer, HttpRequest, eventually, send};
use chicoryladder_standin::{FaultPlan, PlainHandle};
use std::time::Duration;

const CHARGE: &str = "{\"stall\":12,\"rent\":300}";

/// A fleet with a plain service that takes charges, and a key to call it.
struct ChargeFixture {
    fleet: FleetFixture,
    ledger: PlainHandle,
    key: String,
}

impl ChargeFixture {
    async fn start() -> Self {
        let fleet = FleetFixture::with_document(3).await;
        let ledger = fleet.start_service("ledger-1", "rent-ledger").await;
        let key = fleet.grant_key(0, "rent-desk").await.text;
        for host in 0..3 {
            let callers = fleet.ports(host).callers;
            let known = || async {
                let request = HttpRequest::get(callers, "/services/rent-ledger/look");
                send(request.with_key(&key)).await.unwrap().status == 200
            };
            eventually("the key works on the host", known).await;
        }
        Self { fleet, ledger, key }
    }

    fn request(&self, host: usize, name: &str, body: &str) -> HttpRequest {
        let callers = self.fleet.ports(host).callers;
        HttpRequest::post(callers, "/services/rent-ledger/charges", body.to_owned())
            .with_key(&self.key)
            .with_field("idempotency-key", name)
    }

    async fn charge(&self, host: usize, name: &str) -> HttpAnswer {
        send(self.request(host, name, CHARGE)).await.unwrap()
    }

    fn runs(&self, name: &str) -> u64 {
        self.ledger.runs().get(name).copied().unwrap_or_default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_to_another_host_gets_the_first_response() {
    let fixture = ChargeFixture::start().await;
    let first = fixture.charge(0, "charge-1").await;
    assert_eq!(first.status, 200, "{}", first.text());
    for host in [0, 1, 2] {
        let again = fixture.charge(host, "charge-1").await;
        assert_eq!(again.status, 200, "{}", again.text());
        assert_eq!(again.body, first.body);
        assert_eq!(again.verdict(), Some("ran"));
    }
    assert_eq!(fixture.runs("charge-1"), 1);
    let other = send(fixture.request(1, "charge-1", "{}")).await.unwrap();
    assert_eq!(other.reason(), Some("idempotency_key_reused"));
    assert_eq!(other.verdict(), Some("not-run"));
    assert_eq!(fixture.runs("charge-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_run_once() {
    let fixture = ChargeFixture::start().await;
    fixture.ledger.control().set_faults(FaultPlan {
        delay: Some(Duration::from_millis(300)),
        ..FaultPlan::default()
    });
    let answers = tokio::join!(
        fixture.charge(0, "charge-2"),
        fixture.charge(1, "charge-2"),
        fixture.charge(2, "charge-2"),
    );
    let answers = [answers.0, answers.1, answers.2];
    let served = answers.iter().filter(|answer| answer.status == 200);
    assert!(served.count() >= 1);
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.reason(), Some("still_running"), "{}", answer.text());
        assert_eq!(answer.verdict(), Some("may-have-run"));
        assert!(answer.field("retry-after").is_some());
    }
    assert_eq!(fixture.runs("charge-2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_that_may_have_run_is_never_run_again() {
    let fixture = ChargeFixture::start().await;
    // The service crashes after it runs the charge and before it responds.
    fixture.ledger.control().set_faults(FaultPlan {
        crash_on: Some("stall".to_owned()),
        ..FaultPlan::default()
    });
    let lost = fixture.charge(0, "charge-3").await;
    assert_eq!(lost.verdict(), Some("may-have-run"), "{}", lost.text());
    fixture.ledger.control().set_faults(FaultPlan::default());
    fixture.ledger.control().recover().await;
    for host in [1, 2, 0] {
        let again = fixture.charge(host, "charge-3").await;
        assert_eq!(again.reason(), Some("outcome_unknown"), "{}", again.text());
        assert_eq!(again.verdict(), Some("may-have-run"));
    }
    assert_eq!(fixture.runs("charge-3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_that_did_not_run_may_be_sent_again() {
    let fixture = ChargeFixture::start().await;
    fixture.ledger.control().set_faults(FaultPlan {
        refuses: true,
        ..FaultPlan::default()
    });
    let refused = fixture.charge(0, "charge-4").await;
    assert_eq!(refused.verdict(), Some("not-run"), "{}", refused.text());
    fixture.ledger.control().set_faults(FaultPlan::default());
    let served = || async { fixture.charge(2, "charge-4").await.status == 200 };
    eventually("the charge is served", served).await;
    assert_eq!(fixture.runs("charge-4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_whose_caller_disconnected_is_never_run_again() {
    let fixture = ChargeFixture::start().await;
    fixture.ledger.control().set_faults(FaultPlan {
        delay: Some(Duration::from_millis(500)),
        ..FaultPlan::default()
    });
    let disconnecting = tokio::spawn(send(fixture.request(0, "charge-5", CHARGE)));
    eventually("the charge runs", || async { fixture.runs("charge-5") > 0 }).await;
    disconnecting.abort();
    let recorded =
        || async { fixture.charge(1, "charge-5").await.reason() != Some("still_running") };
    eventually("the host records that the caller disconnected", recorded).await;
    let again = fixture.charge(2, "charge-5").await;
    assert_eq!(again.verdict(), Some("may-have-run"), "{}", again.text());
    assert_eq!(fixture.runs("charge-5"), 1);
}

//! Tests of the plain service and its run counts.

use crate::support::{TestClient, plain_service};
use chicoryladder_standin::{FaultPlan, PlainServer};
use hyper::Method;

#[tokio::test]
async fn runs_are_counted_by_idempotency_key() {
    let service = PlainServer::start(plain_service("p")).await.unwrap();
    let client = TestClient::new();
    let headers = [("idempotency-key", "charge-7"), ("x-request-id", "r")];
    for _ in 0..2 {
        let path = "/charges?stall=4";
        let response = client
            .send(Method::PUT, service.address(), path, &headers, "rent")
            .await
            .unwrap();
        assert_eq!(response.headers()["x-request-id"], "r");
    }
    assert_eq!(service.runs()["charge-7"], 2);
    assert_eq!(
        service.received()[0].header("idempotency-key"),
        Some("charge-7")
    );
}

#[tokio::test]
async fn run_before_a_crash_is_counted() {
    let service = PlainServer::start(plain_service("p")).await.unwrap();
    service.control().set_faults(FaultPlan {
        crash_on: Some("rent".to_owned()),
        ..FaultPlan::default()
    });
    let client = TestClient::new();
    let response = client
        .send(Method::POST, service.address(), "/charges", &[], "rent")
        .await;
    assert!(response.is_err());
    assert_eq!(service.runs()["POST /charges rent"], 1);
}

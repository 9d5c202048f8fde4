//! Entry hosts that are cut off from all control hosts.

use crate::client::Call;
use crate::world::{ProcessFleet, Role};
use hyper::Method;

/// The `connection` field of a response to a caller of an entry host.
async fn connection_field(fleet: &ProcessFleet, entry: &str) -> Option<String> {
    let answer = fleet.caller_request(entry, "/ping/1", "probe").send().await;
    let headers = answer.expect("an answer").headers;
    let field = headers.get("connection")?;
    Some(field.to_str().expect("text").to_owned())
}

/// Guards against callers that stay with a host on kept connections after the load balancer has
/// taken it out of rotation, until it refuses them since its view of the keys is too old.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_host_closes_the_connections_of_its_callers() {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let probe = Call::new(fleet.readiness_address(&entry), Method::GET, "/readyz");
    let is_ready = || async {
        let answer = probe.send().await;
        answer.is_some_and(|answer| answer.status.is_success())
    };
    assert_eq!(connection_field(&fleet, &entry).await, None);
    for role in [Role::Control, Role::Store] {
        for other in fleet.host_names(role) {
            fleet.faults.cut(&entry, &other);
            fleet.faults.cut(&other, &entry);
        }
    }
    for what in ["a first probe fails", "a second probe fails"] {
        let is_unready = || async { !is_ready().await };
        fleet.wait_until(what, is_unready).await;
    }
    let field = connection_field(&fleet, &entry).await;
    assert_eq!(field.as_deref(), Some("close"));
    fleet.faults.heal();
    fleet.wait_until("the host is ready", is_ready).await;
    assert_eq!(connection_field(&fleet, &entry).await, None);
}

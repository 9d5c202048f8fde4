//! Ordinary load on a host with little memory.

use crate::world::{ProcessFleet, Role};
use futures_util::future::join_all;

/// `memory_mb` and `descriptors` of the smallest hosts in use.
const MACHINE: (u64, u64) = (110, 1_024);

/// The requests that are under way at once.
const CONCURRENT: usize = 60;

/// The body of an ordinary request.
const BODY_BYTES: usize = 6 * 1024;

/// The largest body that the plan allows.
const LARGEST_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Guards against bounds on memory or connections that callers inside the limits meet.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_host_refuses_no_ordinary_caller_for_lack_of_room() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet.restart_with_machine(&entry, MACHINE);
    fleet
        .wait_until("the host serves again", || async {
            let call = fleet.caller_request(&entry, "/ping/1", "probe");
            let answer = call.send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
    let mut served = 0;
    for round in 0..10 {
        let calls = (0..CONCURRENT).map(|number| {
            let id = format!("ordinary-{round}-{number}");
            let call = fleet.caller_request(&entry, "/ping/1", &id);
            call.body(vec![b'x'; BODY_BYTES])
        });
        let answers = join_all(calls.map(|call| async move { call.send().await })).await;
        for answer in answers {
            let answer = answer.expect("an answer");
            assert!(!answer.text().contains("\"overloaded\""), "{answer:?}");
            // The rate of the team is a reason that has nothing to do with the host.
            let is_rate = answer.text().contains("\"rate_exceeded\"");
            assert!(answer.status.is_success() || is_rate, "{answer:?}");
            served += usize::from(answer.status.is_success());
        }
    }
    assert!(served > 0);
    let call = fleet.caller_request(&entry, "/ping/1", "largest");
    let call = call.body(vec![b'x'; LARGEST_BODY_BYTES]);
    let answer = call.send().await.expect("an answer");
    assert!(answer.status.is_success(), "{}", answer.status);
    println!("{served} of {} served", 10 * CONCURRENT);
    for name in ["client_connections_refused", "client_connections_evicted"] {
        assert_eq!(fleet.level(&entry, name).await, Some(0.0), "{name}");
    }
    for name in ["client_requests_refused", "client_bodies_evicted"] {
        assert_eq!(fleet.level(&entry, name).await, Some(0.0), "{name}");
    }
}

//! Daemons without a path to any backend server.

use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, send};

const CHAT: &str = "/v1/chat/completions";

/// The requests that each host gets.
const REQUESTS: usize = 40;

/// A fleet of three daemons, the first without a path to servers, and the requests served by
/// each at the first attempt.
async fn served_by_each() -> Vec<usize> {
    let mut fleet = FleetFixture::with_document(3).await;
    let mut engines = Vec::new();
    for (name, zone) in [
        ("engine-1", "zone-a"),
        ("engine-2", "zone-b"),
        ("engine-3", "zone-c"),
    ] {
        engines.push(fleet.start_engine(name, zone).await);
    }
    let key = fleet.grant_key(1, "curepipe").await;
    fleet.strand_host(0).await;
    for host in 1..3 {
        let callers = fleet.ports(host).callers;
        let serves = || async {
            let request = HttpRequest::post(callers, CHAT, chat_body(2, false));
            let answer = send(request.with_key(&key.text)).await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        eventually("the other hosts serve", serves).await;
    }
    let mut served = vec![0; 3];
    for _ in 0..REQUESTS {
        for (host, served) in served.iter_mut().enumerate() {
            let request = HttpRequest::post(fleet.ports(host).callers, CHAT, chat_body(2, false));
            let answer = send(request.with_key(&key.text)).await;
            *served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        }
    }
    served
}

/// Guards against daemons that suspend servers by the word of one that reaches none.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_a_path_to_servers_takes_none_from_the_others() {
    let served = served_by_each().await;
    assert_eq!(served[1..], [REQUESTS, REQUESTS], "{served:?}");
}

/// Guards against a daemon without a path to servers that serves none of its callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_a_path_to_servers_serves_its_callers() {
    let served = served_by_each().await;
    // The users' rule lets one in 50 of all first attempts fail.
    assert!(served[0] * 50 >= REQUESTS * 49, "{served:?}");
}

//! Tests of the announcements that stand-ins send to entry hosts.

use crate::support::{fast_engine, plain_service};
use chicoryladder_standin::{EngineServer, PlainHandle, PlainServer};
use chicoryladder_types::ServerAnnouncement;
use std::time::Duration;

/// The announcements received by a plain service that acts as an entry host.
fn announcements(entry_host: &PlainHandle) -> Vec<ServerAnnouncement> {
    let received = entry_host.received();
    let requests = received
        .iter()
        .filter(|request| request.path == "/servers/v1/announce");
    requests
        .map(|request| serde_json::from_slice(&request.body).unwrap())
        .collect()
}

async fn wait_for(entry_host: &PlainHandle, matches: impl Fn(&ServerAnnouncement) -> bool) {
    let found = async {
        while !announcements(entry_host).iter().any(&matches) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), found)
        .await
        .unwrap();
}

#[tokio::test]
async fn engine_announces_itself_and_its_leaving_to_every_entry_host() {
    let first = PlainServer::start(plain_service("h1")).await.unwrap();
    let second = PlainServer::start(plain_service("h2")).await.unwrap();
    let mut options = fast_engine("e");
    options.entry_hosts = vec![first.address(), second.address()];
    options.announce_period = Duration::from_millis(20);
    let engine = EngineServer::start(options).await.unwrap();
    let address = engine.address();
    wait_for(&first, |a| a.address == address && !a.leaving).await;
    wait_for(&second, |a| a.address == address && !a.leaving).await;
    engine.stop(Duration::ZERO).await;
    assert!(announcements(&first).last().unwrap().leaving);
    assert!(announcements(&second).last().unwrap().leaving);
}

#[tokio::test]
async fn recovered_engine_announces_a_higher_generation() {
    let host = PlainServer::start(plain_service("h")).await.unwrap();
    let mut options = fast_engine("e");
    options.entry_hosts = vec![host.address()];
    let engine = EngineServer::start(options).await.unwrap();
    wait_for(&host, |a| a.generation.0 == 1).await;
    engine.control().crash().await;
    engine.control().recover().await;
    wait_for(&host, |a| a.generation.0 == 2).await;
}

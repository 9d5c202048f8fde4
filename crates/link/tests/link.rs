//! Messages between two links over loopback.

#![allow(clippy::unwrap_used)]

use chicoryladder_link::{LinkIdentity, LinkTiming, PeerLink, PeerSecret};
use chicoryladder_types::SystemClock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

const GUARD: Duration = Duration::from_secs(20);

async fn start(
    host: &str,
    secret: &str,
) -> (PeerLink, mpsc::Receiver<chicoryladder_link::InboundMessage>) {
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let identity = LinkIdentity {
        host: host.try_into().unwrap(),
        zone: "zone-a".try_into().unwrap(),
        incarnation: 1,
    };
    let secret = PeerSecret::try_from(secret).unwrap();
    let timing = LinkTiming {
        probe_interval: Duration::from_millis(50),
        ..LinkTiming::default()
    };
    PeerLink::start(address, identity, secret, timing, Arc::new(SystemClock))
        .await
        .unwrap()
}

#[tokio::test]
async fn delivers_in_order_to_the_named_peer() {
    let (a, _a_messages) = start("a", "a shared secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    for n in 0..100_u8 {
        a.send(b.address(), vec![n]).unwrap();
    }
    for n in 0..100_u8 {
        let message = tokio::time::timeout(GUARD, b_messages.recv())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(message.payload, vec![n]);
        assert_eq!(message.sender.as_str(), "a");
        assert_eq!(message.reply_address, a.address());
    }
}

#[tokio::test]
async fn drops_messages_sealed_with_another_secret() {
    let (a, _a_messages) = start("a", "a wrong secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    let (c, _c_messages) = start("c", "a shared secret text").await;
    a.send(b.address(), b"forged".to_vec()).unwrap();
    while b.stats().counts().rejected_tag == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    c.send(b.address(), b"true".to_vec()).unwrap();
    let message = tokio::time::timeout(GUARD, b_messages.recv())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(message.payload, b"true");
}

#[tokio::test]
async fn reaches_a_peer_that_starts_later() {
    let (a, _a_messages) = start("a", "a shared secret text").await;
    let (b, b_messages) = start("b", "a shared secret text").await;
    let address = b.address();
    drop((b, b_messages));
    a.send(address, b"lost".to_vec()).unwrap();
    let (c, mut c_messages) = start("c", "a shared secret text").await;
    a.send(c.address(), b"kept".to_vec()).unwrap();
    let message = tokio::time::timeout(GUARD, c_messages.recv())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(message.payload, b"kept");
}

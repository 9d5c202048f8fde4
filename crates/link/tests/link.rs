//! Messages between two links over loopback.

#![allow(clippy::unwrap_used)]

use chicoryladder_link::{
    LinkIdentity, LinkTiming, MESSAGE_MAX_BYTES, PeerLink, PeerSecret, SendError,
};
use chicoryladder_types::SystemClock;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// The maximum time to wait for an expected message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);

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
        probe_timeout: Duration::from_millis(300),
        ..LinkTiming::default()
    };
    PeerLink::start(address, identity, secret, timing, Arc::new(SystemClock))
        .await
        .unwrap()
}

#[tokio::test]
async fn delivers_messages_in_order_to_the_addressed_peer() {
    let (a, _a_messages) = start("a", "a shared secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    for n in 0..100_u8 {
        a.send(b.address(), vec![n]).unwrap();
    }
    for n in 0..100_u8 {
        let message = tokio::time::timeout(MESSAGE_TIMEOUT, b_messages.recv())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(message.payload, vec![n]);
        assert_eq!(message.sender.as_str(), "a");
        assert_eq!(message.reply_address, a.address());
    }
}

#[tokio::test]
async fn drops_messages_sealed_with_a_different_secret() {
    let (a, _a_messages) = start("a", "a wrong secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    let (c, _c_messages) = start("c", "a shared secret text").await;
    a.send(b.address(), b"forged".to_vec()).unwrap();
    while b.stats().counts().rejected_tag == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    c.send(b.address(), b"true".to_vec()).unwrap();
    let message = tokio::time::timeout(MESSAGE_TIMEOUT, b_messages.recv())
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
    let message = tokio::time::timeout(MESSAGE_TIMEOUT, c_messages.recv())
        .await
        .unwrap()
        .unwrap();
    assert_eq!(message.payload, b"kept");
}

/// Relays bytes between a dialer and a listener; can stop relaying without closing
/// the connections.
struct FreezableRelay {
    address: SocketAddr,
    frozen_up_to: watch::Sender<u64>,
    accepted: watch::Receiver<u64>,
}

impl FreezableRelay {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (frozen_up_to, frozen) = watch::channel(0);
        let (count, accepted) = watch::channel(0);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((near, _)) = listener.accept().await {
                let far = TcpStream::connect(target).await.unwrap();
                number += 1;
                count.send_replace(number);
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(relay(near_read, far_write, number, frozen.clone()));
                tokio::spawn(relay(far_read, near_write, number, frozen.clone()));
            }
        });
        Self {
            address,
            frozen_up_to,
            accepted,
        }
    }

    /// Freezes all connections accepted so far; later ones are relayed.
    fn freeze(&self) {
        let latest = *self.accepted.borrow();
        self.frozen_up_to.send_replace(latest);
    }
}

async fn relay(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    number: u64,
    frozen_up_to: watch::Receiver<u64>,
) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes).await {
        if count == 0 {
            return;
        }
        if *frozen_up_to.borrow() >= number {
            std::future::pending::<()>().await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn replaces_an_unresponsive_connection() {
    let (a, _a_messages) = start("a", "a shared secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    let relay = FreezableRelay::start(b.address()).await;
    a.send(relay.address, b"before".to_vec()).unwrap();
    let before = tokio::time::timeout(MESSAGE_TIMEOUT, b_messages.recv()).await;
    assert_eq!(before.unwrap().unwrap().payload, b"before");
    // Longer than the probe timeout: a connection with answered probes is kept.
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(a.stats().counts().replaced_unresponsive, 0);

    relay.freeze();
    let sending = async {
        loop {
            a.send(relay.address, b"after".to_vec()).unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let after = tokio::select! {
        message = b_messages.recv() => message.unwrap(),
        () = sending => unreachable!(),
        () = tokio::time::sleep(MESSAGE_TIMEOUT) => panic!("no message over a new connection"),
    };
    assert_eq!(after.payload, b"after");
    assert!(a.stats().counts().replaced_unresponsive >= 1);
}

#[tokio::test]
async fn long_messages_arrive_completely_between_short_ones() {
    let (a, _a_messages) = start("a", "a shared secret text").await;
    let (b, mut b_messages) = start("b", "a shared secret text").await;
    let long: Vec<u8> = (0..5_000_000_u32).map(|n| n.to_le_bytes()[0]).collect();
    a.send(b.address(), vec![1]).unwrap();
    a.send(b.address(), long.clone()).unwrap();
    a.send(b.address(), vec![2]).unwrap();
    for expected in [vec![1], long, vec![2]] {
        let message = tokio::time::timeout(MESSAGE_TIMEOUT, b_messages.recv()).await;
        assert!(message.unwrap().unwrap().payload == expected);
    }
    let too_long = vec![0; MESSAGE_MAX_BYTES + 1];
    assert_eq!(a.send(b.address(), too_long), Err(SendError::TooLong));
}

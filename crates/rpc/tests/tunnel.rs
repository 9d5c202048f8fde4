//! Tunnels through a peer, over TCP sockets.

use chicoryladder_rpc::{
    PeerIdentity, RpcClient, RpcHandler, RpcServer, TunnelRequest, TunnelSecret, TunnelStream,
    UncountedBounds,
};
use chicoryladder_types::SystemClock;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The time for which a part of a response travels, and a reset.
const RESET_PAUSE: Duration = Duration::from_millis(50);

const TIMEOUT: Duration = Duration::from_secs(5);

/// Connects tunnels to any target.
struct Connector;

impl RpcHandler for Connector {
    fn connect_tunnel(
        &self,
        _: Arc<PeerIdentity>,
        request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        async move { TcpStream::connect(request.target).await.ok() }.boxed()
    }
}

fn client() -> RpcClient {
    let identity = PeerIdentity {
        host: HostName::try_from("entry-1").expect("a valid name"),
        zone: ZoneName::try_from("zone-a").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 7,
    };
    RpcClient::new(identity, Arc::new(SystemClock))
}

async fn peer() -> RpcServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = RpcServer::start(address, Arc::new(Connector), Arc::new(UncountedBounds)).await;
    server.expect("a free loopback port")
}

/// A tunnel with its peer, and the target's end of it.
async fn tunnel() -> (RpcServer, TunnelStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let peer = peer().await;
    let client = client();
    let (tunnel, accepted) =
        tokio::join!(client.open_tunnel(peer.address, address), listener.accept());
    let (target, _) = accepted.expect("a connection");
    (peer, tunnel.expect("a tunnel"), target)
}

async fn read_all(tunnel: &mut TunnelStream) -> (Vec<u8>, std::io::Result<usize>) {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, tunnel.read_to_end(&mut bytes)).await;
    (bytes, read.expect("the tunnel ends"))
}

#[tokio::test]
async fn bytes_pass_both_ways_and_an_orderly_end_arrives_as_one() {
    let (_peer, mut tunnel, mut target) = tunnel().await;
    let request: Vec<u8> = (0..200_000u32).map(|n| n.to_le_bytes()[0]).collect();
    let sent = request.clone();
    let answering = tokio::spawn(async move {
        let mut received = vec![0; sent.len()];
        target.read_exact(&mut received).await.expect("the request");
        target.write_all(&received).await.expect("it is open");
    });
    let (mut from_tunnel, mut to_tunnel) = tokio::io::split(&mut tunnel);
    let mut response = Vec::new();
    let writing = to_tunnel.write_all(&request);
    let reading = from_tunnel.read_to_end(&mut response);
    let (written, read) = tokio::join!(writing, reading);
    written.expect("the tunnel is open");
    read.expect("an orderly end");
    answering.await.expect("no panic");
    assert!(response == request);
}

#[tokio::test]
async fn a_lost_peer_does_not_look_like_the_end_of_the_response() {
    let (peer, mut tunnel, mut target) = tunnel().await;
    target
        .write_all(b"the first half")
        .await
        .expect("it is open");
    let mut first = [0; 14];
    tunnel.read_exact(&mut first).await.expect("the first half");
    peer.stop();
    let (rest, end) = read_all(&mut tunnel).await;
    assert!(rest.is_empty());
    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::UnexpectedEof)
    );
    assert!(tunnel.health().is_lost());
}

#[tokio::test]
async fn a_reset_by_the_target_arrives_as_one() {
    let (_peer, mut tunnel, target) = tunnel().await;
    target.set_zero_linger().expect("a socket option");
    drop(target);
    let (_, end) = read_all(&mut tunnel).await;
    assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
    );
    assert!(!tunnel.health().is_lost());
}

/// Resets a tunnel's target after a part of its response, while the request is still being
/// written. Returns the bytes that arrive and how they end.
async fn reset_during_request(part_bytes: usize) -> (usize, std::io::Result<usize>) {
    let (_peer, tunnel, mut target) = tunnel().await;
    let (mut from_tunnel, mut to_tunnel) = tokio::io::split(tunnel);
    let writing = tokio::spawn(async move {
        // More than all buffers on the way hold.
        let request = vec![7; 64 * 1024 * 1024];
        // The peer ends the tunnel.
        let _ = to_tunnel.write_all(&request).await;
    });
    let part = vec![8; part_bytes];
    // What does not fit into the buffers is not sent.
    let _ = tokio::time::timeout(RESET_PAUSE, target.write_all(&part)).await;
    tokio::time::sleep(RESET_PAUSE).await;
    target.set_zero_linger().expect("a socket option");
    drop(target);
    tokio::time::sleep(RESET_PAUSE).await;
    let mut bytes = Vec::new();
    let reading = from_tunnel.read_to_end(&mut bytes);
    let end = tokio::time::timeout(TIMEOUT, reading).await;
    writing.abort();
    (bytes.len(), end.expect("the tunnel ends"))
}

/// Callers got a part of a response as a whole one: the write of the request saw the reset, and
/// the read of the response took what followed for an orderly end.
#[tokio::test]
async fn a_reset_during_the_request_does_not_look_like_the_end_of_the_response() {
    let mut orderly = Vec::new();
    for part_bytes in [16, 64 * 1024, 16 * 1024 * 1024] {
        for _ in 0..10 {
            let (received, end) = reset_during_request(part_bytes).await;
            if end.is_ok() {
                orderly.push((part_bytes, received));
            }
        }
    }
    assert!(orderly.is_empty(), "orderly ends of 30: {orderly:?}");
}

#[tokio::test]
async fn the_target_sees_at_once_that_the_client_has_left() {
    let (_peer, mut tunnel, mut target) = tunnel().await;
    tunnel.write_all(b"a request").await.expect("it is open");
    let mut request = [0; 9];
    target.read_exact(&mut request).await.expect("the request");
    drop(tunnel);
    let end = tokio::time::timeout(TIMEOUT, target.read(&mut request)).await;
    assert_eq!(end.expect("the connection ends").unwrap_or_default(), 0);
}

#[tokio::test]
async fn a_response_that_the_target_gives_before_it_stops_reading_arrives() {
    let (_peer, mut tunnel, mut target) = tunnel().await;
    tunnel.write_all(b"a request").await.expect("it is open");
    let mut request = [0; 9];
    target.read_exact(&mut request).await.expect("the request");
    target.write_all(b"rejected").await.expect("it is open");
    target.shutdown().await.expect("it is open");
    let (response, end) = read_all(&mut tunnel).await;
    assert_eq!(response, b"rejected");
    end.expect("an orderly end");
}

#[tokio::test]
async fn a_target_that_refuses_connections_declines_the_tunnel() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let closed = listener.local_addr().expect("an address");
    drop(listener);
    let peer = peer().await;
    let opened = client().open_tunnel(peer.address, closed).await;
    assert!(opened.is_err());
}

/// Guards against a stop that cuts a response, however slow, or that gets new requests.
#[tokio::test]
async fn a_peer_that_drains_finishes_responses_and_asks_for_no_further_requests() {
    let (peer, mut tunnel, mut target) = tunnel().await;
    tunnel.write_all(b"a request").await.expect("it is open");
    let mut request = [0; 9];
    target.read_exact(&mut request).await.expect("the request");
    let address = peer.address;
    let draining = tokio::spawn(async move { peer.drain_tunnels().await });
    target.write_all(b"first").await.expect("it is open");
    let mut part = [0; 5];
    tunnel.read_exact(&mut part).await.expect("a part");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let target_address = target.local_addr().expect("an address");
    let opened = client().open_tunnel(address, target_address).await;
    assert!(opened.is_err());
    target.write_all(b"other").await.expect("it is open");
    tunnel.read_exact(&mut part).await.expect("the rest");
    assert_eq!(&part, b"other");
    assert!(tunnel.health().is_closing());
    assert!(!draining.is_finished());
    drop(tunnel);
    let drained = tokio::time::timeout(TIMEOUT, draining).await;
    drained.expect("the tunnel is closed").expect("no panic");
}

/// Opens tunnels for hosts that know a secret.
struct GuardedConnector(TunnelSecret);

impl RpcHandler for GuardedConnector {
    fn connect_tunnel(
        &self,
        peer: Arc<PeerIdentity>,
        request: TunnelRequest,
    ) -> BoxFuture<'static, Option<TcpStream>> {
        let is_authentic = request.is_authentic(&peer, &self.0, SystemClock.since_epoch());
        let is_replay = request.is_authentic(
            &peer,
            &self.0,
            SystemClock.since_epoch() + Duration::from_secs(40),
        );
        async move {
            assert!(!is_replay, "an old request is refused");
            let connecting = TcpStream::connect(request.target);
            if is_authentic {
                connecting.await.ok()
            } else {
                None
            }
        }
        .boxed()
    }
}

#[tokio::test]
async fn only_hosts_that_know_the_secret_get_tunnels() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = target.local_addr().map(|address| (target, address));
    let (_listener, address) = target.expect("an address");
    let handler = GuardedConnector(TunnelSecret::new("a secret of all hosts"));
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer = RpcServer::start(any_port, Arc::new(handler), Arc::new(UncountedBounds)).await;
    let peer = peer.expect("a free loopback port");
    let secrets = [
        (Some("a secret of all hosts"), true),
        (Some("another secret of hosts"), false),
        (None, false),
    ];
    for (secret, is_opened) in secrets {
        let identity = client().identity().clone();
        let secret = secret.map(TunnelSecret::new);
        let client = RpcClient::with_tunnel_secret(identity, Arc::new(SystemClock), secret);
        let opened = client.open_tunnel(peer.address, address).await;
        assert_eq!(opened.is_ok(), is_opened);
    }
}

/// Guards against a host that runs out of sockets and memory by the tunnels of others.
#[tokio::test]
async fn tunnels_beyond_the_maximum_are_declined() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = listener.local_addr().expect("an address");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer =
        RpcServer::start_with_tunnels(address, Arc::new(Connector), Arc::new(UncountedBounds), 2)
            .await;
    let peer = peer.expect("a free loopback port");
    let client = client();
    let first = client.open_tunnel(peer.address, target).await;
    let second = client.open_tunnel(peer.address, target).await;
    assert!(first.is_ok() && second.is_ok());
    assert!(client.open_tunnel(peer.address, target).await.is_err());
    drop(first);
    let reopened = async {
        while client.open_tunnel(peer.address, target).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reopened)
        .await
        .expect("a tunnel ended");
}

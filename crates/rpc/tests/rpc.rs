//! Calls and notices over TCP sockets.

use bytes::Bytes;
use chicoryladder_rpc::{
    PeerIdentity, RpcClient, RpcError, RpcHandler, RpcServer, UncountedBounds,
};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{PeerBounds, PeerCharge, SystemClock};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(2);

fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        host: HostName::try_from(name).expect("a valid name"),
        zone: ZoneName::try_from("zone-a").expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 7,
    }
}

fn client(name: &str) -> RpcClient {
    RpcClient::new(identity(name), Arc::new(SystemClock))
}

/// Replies with the caller's name and payload; a numeric payload is a delay in
/// milliseconds before the reply.
#[derive(Default)]
struct EchoHandler {
    notices: Mutex<Vec<Bytes>>,
}

impl RpcHandler for EchoHandler {
    fn call(&self, peer: Arc<PeerIdentity>, payload: Bytes) -> BoxFuture<'static, Option<Bytes>> {
        async move {
            let text = String::from_utf8_lossy(&payload).into_owned();
            if let Ok(wait_ms) = text.parse() {
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
            Some(format!("{}:{text}", peer.host).into())
        }
        .boxed()
    }

    fn notice(&self, _: &PeerIdentity, payload: Bytes) {
        self.notices
            .lock()
            .expect("no test thread has panicked")
            .push(payload);
    }
}

async fn server(handler: Arc<EchoHandler>) -> RpcServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    RpcServer::start(address, handler, Arc::new(UncountedBounds))
        .await
        .expect("a free loopback port")
}

#[tokio::test]
async fn a_call_returns_a_reply_and_identifies_the_caller() {
    let server = server(Arc::default()).await;
    let reply = client("entry-1")
        .call(server.address, "hello", TIMEOUT)
        .await;
    assert_eq!(reply.expect("a reply"), "entry-1:hello");
}

#[tokio::test]
async fn a_slow_call_does_not_delay_others() {
    let server = server(Arc::default()).await;
    let client = client("entry-1");
    let slow = client.call(server.address, "400", TIMEOUT);
    let fast = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let started = Instant::now();
        client
            .call(server.address, "fast", TIMEOUT)
            .await
            .expect("a reply");
        started.elapsed()
    };
    let (slow, fast) = tokio::join!(slow, fast);
    assert_eq!(slow.expect("a reply"), "entry-1:400");
    assert!(fast < Duration::from_millis(200), "{fast:?}");
}

#[tokio::test]
async fn long_payloads_arrive_completely() {
    let server = server(Arc::default()).await;
    let text = "x".repeat(3_000_000);
    let reply = client("e")
        .call(server.address, text.clone(), TIMEOUT)
        .await;
    assert_eq!(reply.expect("a reply").len(), text.len() + 2);
}

#[tokio::test]
async fn notices_arrive_in_order() {
    let handler = Arc::<EchoHandler>::default();
    let server = server(handler.clone()).await;
    let client = client("entry-1");
    for number in 0..100 {
        client.notify(server.address, number.to_string());
    }
    client
        .call(server.address, "end", TIMEOUT)
        .await
        .expect("a reply");
    let notices = handler.notices.lock().expect("no test thread has panicked");
    let expected: Vec<String> = (0..100).map(|number| number.to_string()).collect();
    assert_eq!(*notices, expected);
}

#[tokio::test]
async fn a_call_to_an_unreachable_peer_fails_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let started = Instant::now();
    let result = client("e").call(address, "hello", TIMEOUT).await;
    assert_eq!(result, Err(RpcError::Unreachable));
    assert!(started.elapsed() < Duration::from_secs(1));
}

/// A peer that accepts connections and all data, but returns nothing, as after a middlebox
/// has dropped its state of the connections. Returns its address and the number of
/// connections so far.
async fn silent_peer() -> (SocketAddr, Arc<Mutex<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free loopback port");
    let address = listener.local_addr().expect("a bound address");
    let accepted = Arc::new(Mutex::new(0));
    let counted = accepted.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            *counted.lock().expect("no test thread has panicked") += 1;
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
            });
        }
    });
    (address, accepted)
}

/// Pattern: the leader falls silent, frozen or cut off, while requests wait for it.
#[tokio::test]
async fn a_call_to_a_silent_peer_fails_once_a_probe_is_unanswered() {
    let (address, accepted) = silent_peer().await;
    let client = client("e");
    let started = Instant::now();
    let max_silence = Duration::from_millis(100);
    let patient = client.call(address, "hello", Duration::from_millis(400));
    let urgent = async {
        let result = client.call_responsive(address, "hello", TIMEOUT, max_silence);
        (result.await, started.elapsed())
    };
    let (patient, (urgent, elapsed)) = tokio::join!(patient, urgent);
    assert_eq!(urgent, Err(RpcError::Unreachable));
    assert!(elapsed >= max_silence, "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
    assert_eq!(patient, Err(RpcError::TimedOut));
    assert_eq!(*accepted.lock().expect("no test thread has panicked"), 1);
}

#[tokio::test]
async fn a_call_outlasts_its_maximum_silence_while_the_peer_answers_probes() {
    let server = server(Arc::default()).await;
    let max_silence = Duration::from_millis(100);
    let reply = client("e")
        .call_responsive(server.address, "700", TIMEOUT, max_silence)
        .await;
    assert_eq!(reply.expect("a reply"), "e:700");
}

#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let (address, accepted) = silent_peer().await;
    let client = client("e");
    let first = client.call(address, "hello", Duration::from_secs(4)).await;
    assert_eq!(first, Err(RpcError::Unreachable));
    let second = client
        .call(address, "hello", Duration::from_millis(300))
        .await;
    assert_eq!(second, Err(RpcError::TimedOut));
    assert_eq!(*accepted.lock().expect("no test thread has panicked"), 2);
}

#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let handler = Arc::<EchoHandler>::default();
    let first = server(handler.clone()).await;
    let address = first.address;
    let client = client("e");
    client.call(address, "a", TIMEOUT).await.expect("a reply");
    first.stop();
    let until = Instant::now() + Duration::from_secs(5);
    let restarted = loop {
        match RpcServer::start(address, handler.clone(), Arc::new(UncountedBounds)).await {
            Ok(server) => break server,
            Err(error) if Instant::now() > until => panic!("{error}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let reply = loop {
        match client.call(restarted.address, "b", TIMEOUT).await {
            Ok(reply) => break reply,
            Err(error) if Instant::now() > until => panic!("{error}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    assert_eq!(reply, "e:b");
}

#[tokio::test]
async fn malformed_frames_close_the_connection() {
    let server = server(Arc::default()).await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    stream
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("a successful write");
    let mut rest = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(read.is_ok(), "the connection was not closed");
    assert!(rest.is_empty());
}

/// Bounds with room for a number of bytes, and few unidentified connections.
struct SmallBounds {
    capacity: usize,
    used: Arc<AtomicUsize>,
    closed: AtomicUsize,
}

struct SmallCharge(Arc<AtomicUsize>, usize);

impl Drop for SmallCharge {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

impl PeerBounds for SmallBounds {
    fn try_charge_peer(&self, bytes: usize) -> Option<PeerCharge> {
        let fits = |used: usize| Some(used + bytes).filter(|sum| *sum <= self.capacity);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .ok()?;
        Some(Box::new(SmallCharge(self.used.clone(), bytes)))
    }

    fn message_max_bytes(&self) -> usize {
        self.capacity
    }

    fn unidentified_max(&self) -> usize {
        4
    }

    fn note_closed_peer(&self, _: IpAddr, _: &str) {
        self.closed.fetch_add(1, Ordering::Relaxed);
    }
}

async fn bounded_server(capacity: usize) -> (RpcServer, Arc<SmallBounds>) {
    let bounds = Arc::new(SmallBounds {
        capacity,
        used: Arc::default(),
        closed: AtomicUsize::new(0),
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::<EchoHandler>::default();
    let server = RpcServer::start(address, handler, bounds.clone()).await;
    (server.expect("a free loopback port"), bounds)
}

/// The length, the kind and the number of a frame.
fn frame_head(kind: u8, payload_bytes: usize) -> Vec<u8> {
    let mut head = u32::try_from(9 + payload_bytes)
        .expect("a short frame")
        .to_be_bytes()
        .to_vec();
    head.push(kind);
    head.extend(1_u64.to_be_bytes());
    head
}

fn greeting() -> Vec<u8> {
    let identity = postcard::to_stdvec(&identity("crowd")).expect("an encoding");
    let mut frame = frame_head(0, identity.len());
    frame.extend(identity);
    frame
}

/// Whether a connection was closed by the server within a time.
async fn is_closed_within(stream: &mut TcpStream, timeout: Duration) -> bool {
    let read = tokio::time::timeout(timeout, stream.read(&mut [0; 64])).await;
    read.is_ok_and(|read| !read.is_ok_and(|count| count > 0))
}

async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !is_met() {
        assert!(Instant::now() < until, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a message that is kept before it is charged, and against charges that stay.
#[tokio::test]
async fn messages_are_charged_until_they_are_answered() {
    let (server, bounds) = bounded_server(8_000_000).await;
    let client = client("entry-1");
    let reply = client.call(server.address, "x".repeat(3_000_000), TIMEOUT);
    assert_eq!(reply.await.expect("a reply").len(), 3_000_008);
    let used = || bounds.used.load(Ordering::Relaxed);
    wait_until("the charge stays", || used() < 100_000).await;
    let slow = client.call(server.address, "0".repeat(99_997) + "900", TIMEOUT);
    let seen = wait_until("no charge", || used() > 100_000);
    let (reply, ()) = tokio::join!(slow, seen);
    assert!(reply.is_ok());
    drop(client);
    wait_until("the connection stays charged", || used() == 0).await;
}

/// Guards against a message that is refused because others fill the account for a moment.
#[tokio::test]
async fn messages_wait_for_room() {
    let (server, bounds) = bounded_server(3_000_000).await;
    let client = client("entry-1");
    let room = bounds.try_charge_peer(2_900_000).expect("room");
    let call = client.call(server.address, "x".repeat(1_000_000), TIMEOUT);
    let release = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        drop(room);
    };
    let (reply, ()) = tokio::join!(call, release);
    assert_eq!(reply.expect("a reply").len(), 1_000_008);
}

/// Guards against declared lengths that take room, and against stalled messages that keep it.
#[tokio::test]
async fn messages_that_stall_are_given_up() {
    let (server, bounds) = bounded_server(8_000_000).await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let mut bytes = greeting();
    bytes.extend(frame_head(1, 6_000_000));
    bytes.resize(bytes.len() + 100_000, b'x');
    stream.write_all(&bytes).await.expect("a successful write");
    let used = || bounds.used.load(Ordering::Relaxed);
    wait_until("no charge", || used() > 100_000).await;
    assert!(used() < 400_000, "{}", used());
    assert!(is_closed_within(&mut stream, Duration::from_secs(15)).await);
    wait_until("the charge stays", || used() == 0).await;
}

/// Guards against messages that no machine has room for, which would wait for it in vain.
#[tokio::test]
async fn messages_beyond_the_account_are_refused_at_once() {
    let (server, bounds) = bounded_server(1_000_000).await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let mut bytes = greeting();
    bytes.extend(frame_head(1, 2_000_000));
    stream.write_all(&bytes).await.expect("a successful write");
    assert!(is_closed_within(&mut stream, TIMEOUT).await);
    assert_eq!(bounds.closed.load(Ordering::Relaxed), 1);
}

/// Guards against connections that send messages before they have identified themselves.
#[tokio::test]
async fn unidentified_connections_may_send_a_greeting_only() {
    let (server, _) = bounded_server(8_000_000).await;
    for head in [frame_head(1, 5), frame_head(0, 2_000), frame_head(4, 0)] {
        let mut stream = TcpStream::connect(server.address)
            .await
            .expect("a connection");
        stream.write_all(&head).await.expect("a successful write");
        let _ = stream.write_all(b"hello").await;
        assert!(is_closed_within(&mut stream, TIMEOUT).await, "{head:?}");
    }
}

/// Guards against silent connections that keep hosts out or stay open, and against hosts that are
/// closed with them.
#[tokio::test]
async fn unidentified_connections_are_bounded_in_number_and_time() {
    let (server, _) = bounded_server(8_000_000).await;
    let mut host = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    host.write_all(&greeting())
        .await
        .expect("a successful write");
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut silent = Vec::new();
    for _ in 0..6 {
        silent.push(
            TcpStream::connect(server.address)
                .await
                .expect("a connection"),
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let moment = Duration::from_millis(500);
    assert!(is_closed_within(&mut silent[0], moment).await);
    assert!(is_closed_within(&mut silent[1], moment).await);
    assert!(!is_closed_within(&mut silent[5], moment).await);
    let reply = client("entry-1")
        .call(server.address, "hello", TIMEOUT)
        .await;
    assert_eq!(reply.expect("a reply"), "entry-1:hello");
    assert!(is_closed_within(&mut silent[5], Duration::from_secs(15)).await);
    assert!(!is_closed_within(&mut host, moment).await);
}

/// Guards against frames that are split or joined by the network and lose their borders.
#[tokio::test]
async fn frames_in_pieces_are_read_whole() {
    let (server, _) = bounded_server(8_000_000).await;
    let stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let (mut reading, mut writing) = stream.into_split();
    let mut bytes = greeting();
    let sizes = [1, 8_179, 8_180, 20_000, 7, 70_000, 131_072, 3];
    for size in sizes {
        bytes.extend(frame_head(1, size));
        bytes.resize(bytes.len() + size, b'x');
    }
    let sending = tokio::spawn(async move {
        for piece in bytes.chunks(5_003) {
            writing.write_all(piece).await.expect("a successful write");
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        writing
    });
    // Each reply has a length, a kind, a number and `crowd:` before the payload.
    let expected: usize = sizes.iter().map(|size| 4 + 9 + 6 + size).sum();
    let mut received = vec![0; expected];
    let reading = tokio::time::timeout(TIMEOUT, reading.read_exact(&mut received));
    reading.await.expect("in time").expect("all replies");
    drop(sending.await);
}

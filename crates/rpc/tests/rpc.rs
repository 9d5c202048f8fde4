//! Calls and notices over TCP sockets.

use bytes::Bytes;
use chicoryladder_rpc::{PeerIdentity, RpcClient, RpcError, RpcHandler, RpcServer};
use chicoryladder_types::SystemClock;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

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
    RpcServer::start(address, handler)
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
        match RpcServer::start(address, handler.clone()).await {
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
    use tokio::io::AsyncWriteExt;
    let server = server(Arc::default()).await;
    let mut stream = tokio::net::TcpStream::connect(server.address)
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

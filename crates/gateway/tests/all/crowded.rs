//! Bodies, connections and answers beyond what the machine has room for, and those within.

use crate::raw::{EVENT_TIMEOUT, exchange};
use chicoryladder_gateway::{
    AnswerBody, BodyLimits, HttpListener, HttpService, ListenerLimits, MachineBounds, bytes_body,
    read_body, text_answer,
};
use chicoryladder_settings::MachineLimits;
use chicoryladder_types::SystemClock;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, join_all};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MEGABYTE: usize = 1_000_000;

/// A time after which a connection counts as stalled.
const STALL: Duration = Duration::from_millis(700);

const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 4 * 1024 * 1024,
    timeout: Duration::from_secs(20),
};

/// Answers with the length of the body, or with 4 MB at the path `/large`.
struct LengthService;

impl HttpService for LengthService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        async move {
            let (parts, body) = request.into_parts();
            if parts.uri.path() == "/large" {
                return Ok(Response::new(bytes_body(vec![b'x'; 4 * MEGABYTE])));
            }
            let body = read_body(&parts.extensions, body, LIMITS).await?;
            Ok(text_answer(200, &format!("length {}", body.len())))
        }
        .boxed()
    }
}

async fn start(memory_mb: u64, descriptors: u64) -> (SocketAddr, MachineBounds) {
    let machine = MachineLimits {
        memory_bytes: Some(memory_mb * 1_000_000),
        descriptors: Some(descriptors),
    };
    let bounds = MachineBounds::new(machine, Arc::new(SystemClock));
    let limits = ListenerLimits {
        header_max_bytes: 32 * 1024,
        header_timeout: Duration::from_secs(20),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let service = Arc::new(LengthService);
    let listener = HttpListener::start("test", address, limits, bounds.clone(), service).await;
    let listener = listener.unwrap();
    let address = listener.address;
    // The listener serves until the runtime of the test ends.
    std::mem::forget(listener);
    (address, bounds)
}

fn head(length: usize) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")
}

fn whole(length: usize) -> Vec<u8> {
    let mut bytes = head(length).into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    bytes
}

/// Sends a body of `length` bytes but for the last one.
async fn send_short(address: SocketAddr, length: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let bytes = whole(length);
    // The listener may close the connection in between.
    let _ = stream.write_all(&bytes[..bytes.len() - 1]).await;
    stream
}

async fn read_rest(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let reading = stream.read_to_end(&mut text);
    // The connection may end with a reset after the answer.
    let _ = tokio::time::timeout(EVENT_TIMEOUT, reading).await.unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

/// Waits until an account holds no more than `bytes`.
async fn wait_for_level(bounds: &MachineBounds, bytes: usize) {
    let started = Instant::now();
    while bounds.memory().used() > bytes {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "{}",
            bounds.memory().used()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against bounds that a single caller inside the limits meets on a small machine.
#[tokio::test]
async fn a_body_of_four_mebibytes_fits_on_a_small_machine() {
    let (address, bounds) = start(110, 1_024).await;
    let response = exchange(address, &whole(LIMITS.max_bytes)).await;
    assert!(response.ends_with("length 4194304"), "{response}");
    wait_for_level(&bounds, 0).await;
}

/// Guards against a refusal that asks for a repetition of what never fits.
#[tokio::test]
async fn a_body_beyond_the_account_is_refused_for_good() {
    let (address, _) = start(16, 1_024).await;
    let response = exchange(address, &whole(LIMITS.max_bytes)).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(!response.contains("retry-after"), "{response}");
}

/// Guards against a declared length that takes room before its bytes have arrived.
#[tokio::test]
async fn a_declared_length_takes_no_room() {
    let (address, bounds) = start(110, 1_024).await;
    let mut streams = Vec::new();
    for _ in 0..100 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let text = head(LIMITS.max_bytes) + "x";
        stream.write_all(text.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    tokio::time::sleep(STALL).await;
    let used = bounds.memory().used();
    assert!(used < 100 * 40 * 1024, "{used}");
}

/// Guards against stalled bodies that keep the room from others, and against bytes that stay
/// charged after their connections have ended.
#[tokio::test]
async fn stalled_bodies_make_room_for_others() {
    let (address, bounds) = start(16, 1_024).await;
    let mut stalled = Vec::new();
    for _ in 0..3 {
        stalled.push(send_short(address, 900_000).await);
        // The first one has to be the one that has stalled for the longest time.
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    tokio::time::sleep(STALL).await;
    let response = exchange(address, &whole(1_500_000)).await;
    assert!(response.ends_with("length 1500000"), "{response}");
    let levels = bounds.levels();
    let evicted = levels
        .iter()
        .find(|level| level.0 == "client_bodies_evicted");
    assert!(evicted.is_some_and(|level| level.1 >= 1.0), "{levels:?}");
    let refused = read_rest(&mut stalled[0]).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(
        refused.contains("chicoryladder-verdict: not-run"),
        "{refused}"
    );
    assert!(
        refused.contains("chicoryladder-reason: overloaded"),
        "{refused}"
    );
    assert!(refused.contains("retry-after: 1"), "{refused}");
    drop(stalled);
    wait_for_level(&bounds, 0).await;
}

/// Guards against large bodies that leave no room for ordinary requests.
#[tokio::test]
async fn small_bodies_find_room_beside_large_ones() {
    let (address, _) = start(16, 1_024).await;
    let large = join_all((0..8).map(|_| send_short(address, 900_000))).await;
    let response = exchange(address, &whole(4_000)).await;
    assert!(response.ends_with("length 4000"), "{response}");
    drop(large);
}

/// Guards against chunks of one byte that cost more than their share of a buffer.
#[tokio::test]
async fn chunks_of_one_byte_cost_no_more_than_others() {
    let (address, bounds) = start(110, 1_024).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunks = "1\r\nx\r\n".repeat(100_000);
    stream.write_all(chunks.as_bytes()).await.unwrap();
    let started = Instant::now();
    while bounds.memory().used() < 100_000 {
        assert!(started.elapsed() < EVENT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(STALL).await;
    let used = bounds.memory().used();
    assert!(used < 400_000, "{used}");
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    let mut answer = vec![0; 1_024];
    let count = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.ends_with("length 100000"), "{answer}");
}

/// Guards against idle connections that keep others out, and against a bound that closes
/// connections which were opened a moment ago.
#[tokio::test]
async fn stalled_connections_make_room_for_others() {
    let (address, _) = start(110, 64).await;
    let mut idle = Vec::new();
    for _ in 0..20 {
        idle.push(TcpStream::connect(address).await.unwrap());
    }
    let mut late = TcpStream::connect(address).await.unwrap();
    assert_eq!(read_rest(&mut late).await, "");
    tokio::time::sleep(STALL).await;
    let response = exchange(address, &whole(10)).await;
    assert!(response.ends_with("length 10"), "{response}");
}

fn level(bounds: &MachineBounds, name: &str) -> f64 {
    let levels = bounds.levels();
    levels
        .iter()
        .find(|level| level.0 == name)
        .expect("a level")
        .1
}

/// Sends a body on a connection that stays open, and waits until it is idle again.
async fn send_and_stay(stream: &mut TcpStream, bounds: &MachineBounds, length: usize) {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    stream.write_all(&bytes).await.unwrap();
    let mut answer = [0; 1_024];
    let count = stream.read(&mut answer).await.unwrap();
    assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
    while level(bounds, "client_requests_served") > 0.0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
}

/// Guards against read buffers that have grown with a body and stay with an idle connection,
/// charged to nobody.
#[tokio::test]
async fn idle_connections_are_charged_for_buffers_that_have_grown() {
    let (address, bounds) = start(110, 1_024).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    send_and_stay(&mut stream, &bounds, 300).await;
    let before = bounds.memory().used();
    send_and_stay(&mut stream, &bounds, 300_000).await;
    let after = bounds.memory().used();
    assert!(after >= before + 8 * 1024, "{before} {after}");
    drop(stream);
    wait_for_level(&bounds, 0).await;
}

/// Guards against descriptors that run out when many idle connections send requests at once,
/// each of which needs a connection to a server.
#[tokio::test]
async fn idle_connections_make_room_for_served_requests() {
    let (address, bounds) = start(110, 64).await;
    let mut streams = Vec::new();
    for _ in 0..18 {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    tokio::time::sleep(STALL).await;
    assert!(level(&bounds, "client_connections") >= 16.0);
    for stream in &mut streams {
        // The listener may have closed the connection for an earlier request.
        let _ = stream.write_all(head(1_000).as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let open = level(&bounds, "client_connections");
        let served = level(&bounds, "client_requests_served");
        assert!(open * 2.0 + served <= 48.0, "{open} {served}");
    }
    let served = level(&bounds, "client_requests_served");
    assert!(served >= 12.0, "{served}");
}

/// Guards against bounds that the many callers behind one address of a load balancer meet.
#[tokio::test]
async fn hundreds_of_connections_of_one_address_are_served() {
    let (address, _) = start(110, 1_024).await;
    let mut streams = Vec::new();
    for _ in 0..400 {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    tokio::time::sleep(STALL).await;
    for stream in &mut streams {
        stream.write_all(&whole(4_000)).await.unwrap();
        let answer = read_rest(stream).await;
        assert!(answer.ends_with("length 4000"), "{answer}");
    }
}

/// Guards against answers that are left unread and charged to nobody, so that requests are
/// accepted for whose answers there is no room.
#[tokio::test]
async fn unread_answers_are_charged_and_given_up() {
    let (address, bounds) = start(16, 1_024).await;
    let mut unread = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = "GET /large HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        unread.push(stream);
        tokio::time::sleep(STALL).await;
    }
    let started = Instant::now();
    // The first answers go to the buffers of the system in part; what is left is charged.
    loop {
        let response = exchange(address, &whole(10)).await;
        if response.ends_with("length 10") {
            break;
        }
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 503 "),
            "{response}"
        );
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "{}",
            bounds.memory().used()
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(unread);
    wait_for_level(&bounds, 0).await;
}

/// Guards against a head that takes as long as a connection may be idle.
#[tokio::test]
async fn a_head_that_stops_short_ends_its_connection() {
    let (address, _) = start(110, 1_024).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhos").await.unwrap();
    let started = Instant::now();
    assert_eq!(read_rest(&mut stream).await, "");
    // Callers inside the limits take 3 s; the idle time of this listener is 20 s.
    assert!((3..18).contains(&started.elapsed().as_secs()));
}

/// Guards against a body that goes on for the whole time of its route, a byte at a time.
#[tokio::test]
async fn a_body_that_trickles_is_refused_as_slow() {
    let (address, _) = start(110, 1_024).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let started = Instant::now();
    stream.write_all(head(1_000).as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        // The listener closes the connection in between.
        while writer.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    let mut answer = vec![0; 1_024];
    let count = tokio::select! {
        () = sending => panic!("no answer"),
        count = reader.read(&mut answer) => count.unwrap(),
    };
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(
        answer.contains("chicoryladder-verdict: not-run"),
        "{answer}"
    );
    assert!((3..18).contains(&started.elapsed().as_secs()));
}

//! Prints the resident memory that a connection takes while it is idle, before its first
//! request and after one. Usage: `connection_cost [CONNECTIONS [THREADS]]`.
//!
//! Both ends are in this process; the client's ends are plain sockets, without a buffer.

use chicoryladder_gateway::{
    AnswerBody, BodyLimits, HttpListener, HttpService, ListenerLimits, MachineBounds, read_body,
    text_answer,
};
use chicoryladder_settings::MachineLimits;
use chicoryladder_types::SystemClock;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// The connections of a run without an argument.
const CONNECTIONS: usize = 3_000;

/// The threads of a run without a second argument.
const THREADS: usize = 2;

/// The wait for the listener to have seen what was sent.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Answers with the length of the body.
struct LengthService;

impl HttpService for LengthService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        async move {
            let (parts, body) = request.into_parts();
            let limits = BodyLimits {
                max_bytes: 1024 * 1024,
                timeout: Duration::from_secs(20),
            };
            let body = read_body(&parts.extensions, body, limits).await?;
            Ok(text_answer(200, &format!("length {}", body.len())))
        }
        .boxed()
    }
}

fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure
        .expect("a figure")
        .parse::<usize>()
        .expect("a number")
        * 1024
}

/// Sends one request on each connection, one after the other.
fn send_on_all(streams: &mut [TcpStream], head_bytes: usize, body_bytes: usize) {
    let filler = "f".repeat(head_bytes);
    let mut request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nx-f: {filler}\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    let mut answer = [0; 1_024];
    for stream in streams {
        stream.write_all(&request).expect("an open connection");
        let count = stream.read(&mut answer).expect("an answer");
        assert!(answer[..count].starts_with(b"HTTP/1.1 200 "));
    }
}

fn main() {
    let argument = |index: usize| {
        let argument = std::env::args().nth(index);
        argument.map(|argument| argument.parse().expect("a number"))
    };
    let count = argument(1).unwrap_or(CONNECTIONS);
    let threads = argument(2).unwrap_or(THREADS);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .expect("a runtime");
    let bounds = MachineBounds::new(MachineLimits::default(), Arc::new(SystemClock));
    let limits = ListenerLimits {
        header_max_bytes: 64 * 1024,
        header_timeout: Duration::from_secs(600),
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let starting = HttpListener::start("cost", any_port, limits, bounds, Arc::new(LengthService));
    let listener = runtime.block_on(starting).expect("a free port");
    let before = resident_bytes();
    let mut streams = Vec::with_capacity(count);
    for _ in 0..count {
        streams.push(TcpStream::connect(listener.address).expect("a connection"));
    }
    let report = |what: &str| {
        std::thread::sleep(SETTLE_TIME);
        let grown = resident_bytes().saturating_sub(before);
        println!("{what}: {} bytes a connection", grown / count);
    };
    report("idle, before the first request");
    send_on_all(&mut streams, 200, 300);
    report("idle, after a request of 500 bytes");
    for _ in 0..3 {
        send_on_all(&mut streams, 200, 300);
    }
    report("idle, after four such requests");
    send_on_all(&mut streams, 12_000, 4_000);
    report("idle, after a request of 16 KiB");
    send_on_all(&mut streams, 200, 300);
    report("idle, after another request of 500 bytes");
}

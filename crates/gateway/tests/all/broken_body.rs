//! Responses whose bodies fail while they are sent.

use crate::raw::EVENT_TIMEOUT;
use bytes::Bytes;
use chicoryladder_gateway::{
    AnswerBody, BodyError, HttpListener, HttpService, ListenerLimits, MachineBounds,
};
use chicoryladder_settings::MachineLimits;
use chicoryladder_types::{RequestRefusal, SystemClock};
use futures_util::future::BoxFuture;
use futures_util::{FutureExt, StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one chunk, after which the body fails on the path `/broken` and ends on others.
struct ChunkService;

impl HttpService for ChunkService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        let chunk: Result<_, BodyError> = Ok(Frame::data(Bytes::from_static(b"data: one\n\n")));
        let failure = (request.uri().path() == "/broken").then(|| Err("broken off".into()));
        let later = stream::iter(failure).then(|failure| async {
            // The chunk is sent before.
            tokio::time::sleep(Duration::from_millis(50)).await;
            failure
        });
        let body = StreamBody::new(stream::iter([chunk]).chain(later));
        std::future::ready(Ok(Response::new(body.boxed_unsync()))).boxed()
    }
}

async fn start() -> SocketAddr {
    let limits = ListenerLimits {
        header_max_bytes: 8192,
        header_timeout: Duration::from_secs(5),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let service = Arc::new(ChunkService);
    let bounds = MachineBounds::new(MachineLimits::default(), Arc::new(SystemClock));
    let listener = HttpListener::start("test", address, limits, bounds, service).await;
    let listener = listener.unwrap();
    let address = listener.address;
    // The listener serves until the runtime of the test ends.
    std::mem::forget(listener);
    address
}

/// Sends a request and reads until the connection ends.
async fn exchange(address: SocketAddr, head: &str) -> (String, io::Result<()>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("{head}\r\nhost: walks.example\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let reading = stream.read_to_end(&mut bytes);
    let read = tokio::time::timeout(EVENT_TIMEOUT, reading).await.unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    (text, read.map(|_| ()))
}

/// Guards against a broken-off body that looks complete to a caller without chunks, for whom
/// the end of the connection is the end of the body.
#[tokio::test]
async fn a_broken_body_without_chunks_ends_with_a_reset() {
    let address = start().await;
    let (text, end) = exchange(address, "GET /broken HTTP/1.0").await;
    assert!(text.contains("data: one"), "{text}");
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_whole_body_without_chunks_ends_with_its_connection() {
    let address = start().await;
    let (text, end) = exchange(address, "GET /whole HTTP/1.0").await;
    assert!(text.ends_with("data: one\n\n"), "{text}");
    end.unwrap();
}

#[tokio::test]
async fn a_broken_body_in_chunks_has_no_last_chunk() {
    let address = start().await;
    let (text, _) = exchange(address, "GET /broken HTTP/1.1\r\nconnection: close").await;
    assert!(text.contains("data: one"), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
}

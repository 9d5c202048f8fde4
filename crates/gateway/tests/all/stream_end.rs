//! Streams that end early are reported as errors, never as short successes.

use crate::raw::{EVENT_TIMEOUT, RawAnswer, raw_server};
use bytes::Bytes;
use chicoryladder_gateway::{StreamEnd, StreamOptions, watch_stream};
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;
use tokio::sync::oneshot;

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

async fn body_of(answer: RawAnswer) -> Incoming {
    let address = raw_server(answer).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/"))
        .body(Empty::new())
        .unwrap();
    client.request(request).await.unwrap().into_body()
}

/// What a caller received of a stream.
struct ReceivedStream {
    text: String,
    failed: bool,
    end: StreamEnd,
}

async fn watch(answer: RawAnswer, stop: BoxFuture<'static, RequestRefusal>) -> ReceivedStream {
    let body = body_of(answer).await;
    let (sender, end) = oneshot::channel();
    let options = StreamOptions {
        on_first_chunk: Box::new(|| {}),
        prefix: Bytes::new(),
        needs_end_marker: true,
        chunk_timeout: Duration::from_millis(300),
        stop,
        on_end: Box::new(move |end| {
            let _ = sender.send(end);
        }),
    };
    let mut body = watch_stream(body, options);
    let mut text = String::new();
    let mut failed = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap()),
            Err(_) => failed = true,
        }
    }
    let end = tokio::time::timeout(EVENT_TIMEOUT, end)
        .await
        .unwrap()
        .unwrap();
    ReceivedStream { text, failed, end }
}

fn never() -> BoxFuture<'static, RequestRefusal> {
    std::future::pending().boxed()
}

#[tokio::test]
async fn a_stream_with_its_end_marker_is_complete() {
    let text = format!("{HEAD}data: a\n\ndata: [DONE]\n\n");
    let received = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(received.end, StreamEnd::Complete);
    assert!(!received.failed);
    assert_eq!(received.text, "data: a\n\ndata: [DONE]\n\n");
}

#[tokio::test]
async fn a_stream_without_its_end_marker_ends_with_an_error() {
    let text = format!("{HEAD}data: a\n\n");
    let received = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(received.end, StreamEnd::Truncated);
    assert!(received.failed);
    assert!(received.text.contains("event: error"));
    assert!(received.text.contains("answer_truncated"));
    assert!(received.text.contains("may-have-run"));
    assert!(!received.text.contains("[DONE]"));
}

#[tokio::test]
async fn an_end_marker_in_mid_stream_does_not_count() {
    let text = format!("{HEAD}data: [DONE]\n\ndata: and more, cut short here\n\n");
    let received = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(received.end, StreamEnd::Truncated);
}

#[tokio::test]
async fn a_stalled_stream_ends_with_an_error() {
    let text = format!("{HEAD}data: a\n\n");
    let received = watch(RawAnswer::BytesThenStall(text), never()).await;
    assert_eq!(received.end, StreamEnd::Stalled);
    assert!(received.failed);
    assert!(received.text.contains("server_silent"));
}

#[tokio::test]
async fn a_stopped_stream_reports_the_reason() {
    let text = format!("{HEAD}data: a\n\n");
    let refusal = RequestRefusal::new(
        RefusalReason::WithdrawnKey,
        RunVerdict::MayHaveRun,
        "the key was withdrawn",
    );
    let stop = std::future::ready(refusal).boxed();
    let received = watch(RawAnswer::BytesThenStall(text), stop).await;
    assert_eq!(received.end, StreamEnd::Stopped);
    assert!(received.failed);
    assert!(received.text.contains("withdrawn_key"));
}

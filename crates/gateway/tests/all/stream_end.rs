//! Streams that end early are errors, never short successes.

use crate::raw::{PATIENCE, RawAnswer, raw_server};
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

/// What a caller got of a watched stream.
struct Watched {
    text: String,
    cut: bool,
    end: StreamEnd,
}

async fn watch(answer: RawAnswer, stop: BoxFuture<'static, RequestRefusal>) -> Watched {
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
    let mut cut = false;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap()),
            Err(_) => cut = true,
        }
    }
    let end = tokio::time::timeout(PATIENCE, end).await.unwrap().unwrap();
    Watched { text, cut, end }
}

fn never() -> BoxFuture<'static, RequestRefusal> {
    std::future::pending().boxed()
}

#[tokio::test]
async fn a_stream_with_its_end_marker_is_whole() {
    let text = format!("{HEAD}data: a\n\ndata: [DONE]\n\n");
    let watched = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(watched.end, StreamEnd::Complete);
    assert!(!watched.cut);
    assert_eq!(watched.text, "data: a\n\ndata: [DONE]\n\n");
}

#[tokio::test]
async fn a_stream_without_its_end_marker_is_told_and_cut() {
    let text = format!("{HEAD}data: a\n\n");
    let watched = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(watched.end, StreamEnd::Truncated);
    assert!(watched.cut);
    assert!(watched.text.contains("event: error"));
    assert!(watched.text.contains("answer_truncated"));
    assert!(watched.text.contains("may-have-run"));
    assert!(!watched.text.contains("[DONE]"));
}

#[tokio::test]
async fn an_end_marker_in_mid_stream_does_not_count() {
    let text = format!("{HEAD}data: [DONE]\n\ndata: and more, cut short here\n\n");
    let watched = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(watched.end, StreamEnd::Truncated);
}

#[tokio::test]
async fn a_silent_stream_is_told_and_cut() {
    let text = format!("{HEAD}data: a\n\n");
    let watched = watch(RawAnswer::BytesThenSilence(text), never()).await;
    assert_eq!(watched.end, StreamEnd::Stalled);
    assert!(watched.cut);
    assert!(watched.text.contains("server_silent"));
}

#[tokio::test]
async fn a_stopped_stream_tells_the_reason() {
    let text = format!("{HEAD}data: a\n\n");
    let refusal = RequestRefusal::new(
        RefusalReason::WithdrawnKey,
        RunVerdict::MayHaveRun,
        "the key was withdrawn",
    );
    let stop = std::future::ready(refusal).boxed();
    let watched = watch(RawAnswer::BytesThenSilence(text), stop).await;
    assert_eq!(watched.end, StreamEnd::Stopped);
    assert!(watched.cut);
    assert!(watched.text.contains("withdrawn_key"));
}

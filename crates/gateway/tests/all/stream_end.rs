//! Streams that end early are reported as errors, never as short successes.

use crate::raw::{EVENT_TIMEOUT, RawAnswer, raw_server};
use bytes::Bytes;
use chicoryladder_gateway::{EventBoundary, StreamEnd, StreamOptions, watch_stream};
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

const PROGRESS_TIMEOUT: Duration = Duration::from_millis(300);
const TOTAL_TIMEOUT: Duration = Duration::from_secs(2);

/// The greatest part of one event that may be forwarded, with what is in buffers.
const EVENT_MAX_BYTES: usize = 2 * 1024 * 1024;

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
    watch_as(answer, stop, BodyKind::Events).await
}

/// What a body is declared to hold.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyKind {
    /// The events of a successful response.
    Events,
    /// The events of a response with an error status, which has no end marker.
    ErrorEvents,
    NoEvents,
    /// A JSON text that ends with its connection.
    UnframedJson,
}

async fn watch_as(
    answer: RawAnswer,
    stop: BoxFuture<'static, RequestRefusal>,
    kind: BodyKind,
) -> ReceivedStream {
    let body = body_of(answer).await;
    let (sender, end) = oneshot::channel();
    let options = StreamOptions {
        on_first_chunk: Box::new(|| {}),
        prefix: Bytes::new(),
        has_events: matches!(kind, BodyKind::Events | BodyKind::ErrorEvents),
        is_unverified_json: kind == BodyKind::UnframedJson,
        needs_end_marker: kind == BodyKind::Events,
        progress_timeout: PROGRESS_TIMEOUT,
        total_timeout: TOTAL_TIMEOUT,
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

/// Guards against an event without end that is forwarded for as long as the caller reads.
#[tokio::test]
async fn an_event_without_end_ends_with_an_error() {
    let answer = RawAnswer::Paced {
        head: HEAD.to_owned(),
        text: "data: zzzzzzzz".repeat(4_096),
        pause: Duration::ZERO,
        count: u32::MAX,
        last: String::new(),
    };
    let received = watch(answer, never()).await;
    assert_eq!(received.end, StreamEnd::Malformed);
    assert!(received.failed && received.text.len() < EVENT_MAX_BYTES);
    assert!(received.text.contains("answer_truncated"));
}

/// Guards against a stalled stream that never ends since a byte arrives now and then.
#[tokio::test]
async fn a_stream_of_single_bytes_is_stalled() {
    let answer = RawAnswer::Paced {
        head: format!("{HEAD}data: a\n\n"),
        text: ":".to_owned(),
        pause: PROGRESS_TIMEOUT / 6,
        count: u32::MAX,
        last: String::new(),
    };
    let received = watch(answer, never()).await;
    assert_eq!(received.end, StreamEnd::Stalled);
    assert!(received.failed);
}

/// Guards against a body without end that arrives slowly but steadily.
#[tokio::test]
async fn a_body_without_end_ends_at_its_deadline() {
    let answer = RawAnswer::Paced {
        head: "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        text: " ".to_owned(),
        pause: PROGRESS_TIMEOUT / 6,
        count: u32::MAX,
        last: String::new(),
    };
    let received = watch_as(answer, never(), BodyKind::NoEvents).await;
    assert_eq!(received.end, StreamEnd::Stalled);
    assert!(received.failed);
}

#[tokio::test]
async fn a_slow_but_sound_stream_is_not_cut() {
    let events = 12;
    let pause = PROGRESS_TIMEOUT * 2 / 3;
    assert!(pause * events > TOTAL_TIMEOUT);
    let answer = RawAnswer::Paced {
        head: HEAD.to_owned(),
        text: "data: a\n\n".to_owned(),
        pause,
        count: events,
        last: "data: [DONE]\n\n".to_owned(),
    };
    let received = watch(answer, never()).await;
    assert_eq!(received.end, StreamEnd::Complete);
    assert!(!received.failed);
}

/// The response of a server that was cut off after `length` bytes of its body.
fn cut_stream(body: &str, length: usize) -> RawAnswer {
    RawAnswer::Bytes(format!("{HEAD}{}", &body[..length]))
}

/// Guards against a part of an event that a caller takes for a whole one, or that has the
/// text of the error in it.
#[tokio::test]
async fn an_error_follows_whole_events_only_wherever_a_stream_is_cut() {
    for end in ["\n", "\r\n", "\r"] {
        let events = [
            "id: 1",
            "data: one",
            "",
            ": comment",
            "data: two",
            "data: three",
            "",
        ];
        let body: String = events.map(|line| format!("{line}{end}")).concat();
        // A carriage return ends a line, also if a line feed follows.
        let event_ends = [body.find(": comment").unwrap(), body.len()];
        let event_ends = event_ends.map(|at| at + 1 - end.len());
        for length in 0..body.len() {
            let received = watch(cut_stream(&body, length), never()).await;
            let (forwarded, error) = received.text.split_once("event: error\n").unwrap();
            assert!(
                error.starts_with("data: {") && error.ends_with("}\n\n"),
                "{error}"
            );
            assert!(received.failed && received.end == StreamEnd::Truncated);
            let mut boundary = EventBoundary::default();
            boundary.push(forwarded.as_bytes());
            assert!(!boundary.is_within_event(), "{length} bytes: {forwarded:?}");
            let whole_events = event_ends.iter().filter(|at| length >= **at).count() as u64;
            assert_eq!(
                boundary.events(),
                whole_events,
                "{length} bytes: {forwarded:?}"
            );
            assert!(
                body.starts_with(forwarded.trim_end()),
                "{length} bytes: {forwarded:?}"
            );
        }
    }
}

/// Guards against an event that waits for the next one before it is forwarded.
#[tokio::test]
async fn a_whole_event_is_forwarded_at_once() {
    for end in ["\n", "\r\n", "\r"] {
        let text = format!("{HEAD}data: a{end}{end}");
        let received = watch(RawAnswer::BytesThenStall(text), never()).await;
        let event = format!("data: a{end}{end}");
        assert!(received.text.starts_with(&event), "{:?}", received.text);
    }
}

/// Guards against a stream that was cut off behind the text of the end marker within an event,
/// and that counts as complete.
#[tokio::test]
async fn an_end_marker_within_a_line_does_not_count() {
    let text = format!("{HEAD}data: a\n\ndata: {{\"text\":\"data: [DONE]");
    let received = watch(RawAnswer::Bytes(text), never()).await;
    assert_eq!(received.end, StreamEnd::Truncated);
    assert!(received.failed);
}

/// Guards against an error response in events that counts as complete although it was cut off.
#[tokio::test]
async fn an_error_response_that_ends_within_an_event_is_not_complete() {
    for (body, expected) in [
        ("data: one\n\ndata: tw", StreamEnd::Truncated),
        ("data: one\n\n", StreamEnd::Complete),
    ] {
        let answer = RawAnswer::Bytes(format!("{HEAD}{body}"));
        let received = watch_as(answer, never(), BodyKind::ErrorEvents).await;
        assert_eq!(received.end, expected);
        assert_eq!(received.failed, expected == StreamEnd::Truncated);
    }
}

/// Guards against a JSON text, too long to be held back, that its connection cut off and that a
/// caller gets as a whole one.
#[tokio::test]
async fn an_unframed_json_text_is_complete_only_as_a_whole() {
    let text = r#" {"walks":["a \\\"} ]","b\\"],"length":[{"km":1.5}]} "#;
    let whole = text.trim_end().len();
    for length in 0..=text.len() {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
        let answer = RawAnswer::Bytes(format!("{head}{}", &text[..length]));
        let received = watch_as(answer, never(), BodyKind::UnframedJson).await;
        assert_eq!(received.failed, length < whole, "{length} bytes");
        let is_complete = received.end == StreamEnd::Complete;
        assert_eq!(is_complete, length >= whole, "{length} bytes");
    }
}

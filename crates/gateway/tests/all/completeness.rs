//! Tests of the end of bodies: their framing, and events that are cut off.

use bytes::Bytes;
use chicoryladder_gateway::{BodyFraming, EventBoundary, check_whole_body, may_end_by_time_limit};
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use std::convert::Infallible;
use std::time::Duration;

type TestBody = UnsyncBoxBody<Bytes, Infallible>;

fn unsized_body() -> TestBody {
    let frame = Ok(Frame::data(Bytes::from_static(b"text")));
    StreamBody::new(stream::iter([frame])).boxed_unsync()
}

fn is_within_event(chunks: &[&[u8]]) -> bool {
    let mut boundary = EventBoundary::default();
    for chunk in chunks {
        boundary.push(chunk);
    }
    boundary.is_within_event()
}

#[test]
fn a_body_without_length_and_chunks_ends_with_its_connection() {
    let with_length = Response::new(Full::new(Bytes::from_static(b"text")).boxed_unsync());
    assert_eq!(BodyFraming::of(&with_length), BodyFraming::Length);
    let unframed = Response::new(unsized_body());
    assert_eq!(BodyFraming::of(&unframed), BodyFraming::UntilClose);
    let expected = [
        ("chunked", BodyFraming::Chunks),
        ("gzip, Chunked", BodyFraming::Chunks),
        // Only the last coding marks the end of the body.
        ("chunked, gzip", BodyFraming::UntilClose),
    ];
    for (codings, framing) in expected {
        let response = Response::builder().header("transfer-encoding", codings);
        let response = response.body(unsized_body()).expect("a valid response");
        assert_eq!(BodyFraming::of(&response), framing, "{codings}");
    }
}

#[test]
fn a_stream_is_within_an_event_until_its_blank_line() {
    for end in ["\n", "\r\n", "\r"] {
        let event = format!("id: 1{end}data: one{end}{end}").into_bytes();
        for length in 1..event.len() {
            let is_whole = event.len() - length < end.len();
            assert_eq!(
                is_within_event(&[&event[..length]]),
                !is_whole,
                "{length} bytes, lines end with {end:?}"
            );
        }
        for length in 1..=event.len() {
            let chunks: Vec<&[u8]> = event.chunks(length).collect();
            assert!(!is_within_event(&chunks), "chunks of {length}, {end:?}");
        }
    }
}

#[test]
fn an_empty_stream_and_whole_comments_are_not_within_an_event() {
    assert!(!is_within_event(&[]));
    assert!(!is_within_event(&[b"\n\n: keep-alive\n"]));
    assert!(!is_within_event(&[b"data: one\n\n: done\n"]));
    // A comment within an event, and one that is cut off.
    assert!(is_within_event(&[b"data: one\n: keep-alive\n"]));
    assert!(is_within_event(&[b"data: one\n\n: keep-a"]));
}

/// Guards against bodies that a crash cut off and that count as complete, since the end of
/// the connection is the only mark of their end.
#[test]
fn a_body_that_its_connection_ends_is_checked_by_its_content() {
    let is_whole = |framing, kind: &'static str, body: &str| {
        let mut fields = HeaderMap::new();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        check_whole_body(framing, &fields, body.as_bytes()).is_ok()
    };
    let close = BodyFraming::UntilClose;
    for kind in [
        "application/json",
        "Application/JSON; charset=utf-8",
        "application/problem+json",
    ] {
        assert!(is_whole(close, kind, r#"{"a":[1,2]}"#), "{kind}");
        assert!(!is_whole(close, kind, r#"{"a":[1,"#), "{kind}");
        // Framed bodies are whole as far as the server is concerned.
        assert!(is_whole(BodyFraming::Length, kind, r#"{"a":[1,"#), "{kind}");
    }
    for framing in [close, BodyFraming::Chunks, BodyFraming::Length] {
        assert!(is_whole(framing, "text/event-stream", "data: one\n\n"));
        assert!(!is_whole(
            framing,
            "text/event-stream",
            "data: one\n\ndata: t"
        ));
    }
    assert!(is_whole(close, "text/plain", "any text"));
}

/// Guards against streams and texts of items that count as complete where their server stopped at
/// its time limit.
#[test]
fn only_a_length_tells_the_end_of_a_stream_from_the_end_of_its_time() {
    for framing in [BodyFraming::Chunks, BodyFraming::UntilClose] {
        assert!(may_end_by_time_limit(framing, Duration::ZERO));
        assert!(may_end_by_time_limit(framing, Duration::from_micros(700)));
        assert!(!may_end_by_time_limit(framing, Duration::from_millis(2)));
    }
    assert!(!may_end_by_time_limit(BodyFraming::Length, Duration::ZERO));
}

/// Guards against event streams of which a crash left only the head, and that count as complete.
#[test]
fn an_event_stream_that_its_connection_ends_has_events() {
    let kind = HeaderValue::from_static("text/event-stream");
    let fields = HeaderMap::from_iter([(CONTENT_TYPE, kind)]);
    for body in ["", "\n", ": a comment\n\n"] {
        let is_whole = |framing| check_whole_body(framing, &fields, body.as_bytes()).is_ok();
        assert!(!is_whole(BodyFraming::UntilClose), "{body:?}");
        assert!(is_whole(BodyFraming::Chunks) && is_whole(BodyFraming::Length));
    }
}

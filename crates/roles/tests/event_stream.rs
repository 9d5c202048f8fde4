//! Tests of the parser of server-sent event streams.

use chicoryladder_roles::{EventParser, EventSequencer, SequenceFault, StreamEvent};

fn events(parser: &mut EventParser) -> Vec<StreamEvent> {
    std::iter::from_fn(|| parser.next_event()).collect()
}

#[test]
fn events_are_parsed_for_any_chunk_length() {
    let stream = b"id: 0\ndata: one\n\nid: 1\ndata: two\ndata: three\n\n";
    for length in 1..stream.len() {
        let mut parser = EventParser::default();
        let mut found = Vec::new();
        for chunk in stream.chunks(length) {
            parser.push(chunk);
            found.extend(events(&mut parser));
        }
        let read: Vec<_> = found.iter().map(|e| (e.id, e.data.as_str())).collect();
        assert_eq!(
            read,
            [(Some(0), "one"), (Some(1), "two\nthree")],
            "chunks of {length}"
        );
        let raw: Vec<u8> = found.iter().flat_map(|e| e.raw.to_vec()).collect();
        assert_eq!(raw, stream);
        assert!(!parser.has_partial_event());
    }
}

#[test]
fn lines_may_end_with_a_carriage_return() {
    let mut parser = EventParser::default();
    parser.push(b"id: 4\r\ndata: one\r\n\r\nid: 5\r\n");
    let found = events(&mut parser);
    assert_eq!((found[0].id, found[0].data.as_str()), (Some(4), "one"));
    assert!(parser.has_partial_event());
}

#[test]
fn fields_with_other_names_are_ignored() {
    let mut parser = EventParser::default();
    parser.push(b"x-weight-versions: 3\nid: 4\ndata: one\n\n");
    let found = events(&mut parser);
    assert_eq!((found[0].id, found[0].data.as_str()), (Some(4), "one"));
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut parser = EventParser::default();
    parser.push(b"id: 1\ndata: half");
    assert!(parser.next_event().is_none());
    assert!(parser.has_partial_event() && !parser.exceeds_max_size());
    parser.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert!(parser.exceeds_max_size());
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

/// Guards against a gap that is forgotten when the event after it is the last one.
#[test]
fn nothing_is_passed_on_after_a_gap_for_any_chunk_length() {
    let before = event(4) + &event(5);
    for next in [4, 5, 7] {
        let stream = before.clone() + &event(next) + ": end\n";
        for length in 1..=stream.len() {
            let mut sequencer = EventSequencer::resume_after(Some(3));
            let chunks = stream.as_bytes().chunks(length);
            let passed: Vec<u8> = chunks.flat_map(|chunk| sequencer.push(chunk)).collect();
            assert_eq!(passed, before.as_bytes(), "{next} in chunks of {length}");
            assert_eq!(sequencer.fault(), Some(SequenceFault::OutOfSequence));
            assert_eq!(sequencer.last_event(), Some(5));
            assert!(sequencer.take_rest().is_empty());
        }
    }
}

#[test]
fn whole_events_and_a_last_comment_are_passed_on() {
    let mut sequencer = EventSequencer::resume_after(None);
    let stream = event(0) + &event(1) + ": end\n";
    let mut passed = sequencer.push(stream.as_bytes()).to_vec();
    passed.extend(sequencer.take_rest());
    assert_eq!(passed, stream.as_bytes());
    assert_eq!((sequencer.fault(), sequencer.last_event()), (None, Some(1)));
    sequencer.push(&vec![b'x'; 2 * 1024 * 1024]);
    assert_eq!(sequencer.fault(), Some(SequenceFault::EventTooLong));
}

/// Guards against the text of an error that is passed on as an event of the stream.
#[test]
fn nothing_is_passed_on_from_an_event_without_an_id_for_any_chunk_length() {
    let before = event(4) + ": a comment\n\n" + &event(5);
    let error = "event: error\ndata: {}\n\n";
    let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\n{}";
    for next in [error, head] {
        let stream = before.clone() + next + &event(6);
        for length in 1..=stream.len() {
            let mut sequencer = EventSequencer::resume_after(Some(3));
            let chunks = stream.as_bytes().chunks(length);
            let passed: Vec<u8> = chunks.flat_map(|chunk| sequencer.push(chunk)).collect();
            assert_eq!(passed, before.as_bytes(), "chunks of {length}");
            assert_eq!(sequencer.fault(), Some(SequenceFault::WithoutId));
            assert!(sequencer.take_rest().is_empty());
        }
    }
}

/// Guards against the text of an error that follows the last event as its rest.
#[test]
fn only_comments_and_blank_lines_end_outside_of_an_event() {
    for (rest, is_within_event) in [
        ("", false),
        ("\n", false),
        (": end\n", false),
        ("\r\r", false),
        ("{\"error\":1}", true),
        ("data: x\r\r", true),
        (": end\rdata: x\r\r", true),
        ("id: 6\ndata", true),
    ] {
        let mut sequencer = EventSequencer::resume_after(Some(4));
        sequencer.push((event(5) + rest).as_bytes());
        assert_eq!(sequencer.is_within_event(), is_within_event, "{rest:?}");
    }
}

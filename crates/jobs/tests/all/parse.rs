//! Tests of the submission parser.

use chicoryladder_jobs::{BodyDigest, ITEM_LINE_MAX_BYTES, ItemParser, ParseError};
use proptest::prelude::*;

fn line(custom_id: &str) -> String {
    format!(
        r#"{{"custom_id":"{custom_id}","method":"POST","url":"/v1/chat/completions","body":{{"n":1, "a" : 2}}}}"#
    )
}

fn parse_error(body: &[u8]) -> ParseError {
    ItemParser::parse(body).expect_err("a refused body")
}

#[test]
fn keeps_bodies_byte_for_byte() {
    let body = format!("{}\r\n\n{}", line("a"), line("b"));
    let (items, digest) = ItemParser::parse(body.as_bytes()).unwrap();
    let names: Vec<&str> = items.iter().map(|item| item.custom_id.as_str()).collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(items[0].body.as_slice(), br#"{"n":1, "a" : 2}"#);
    assert_eq!(digest, BodyDigest::of(body.as_bytes()));
}

#[test]
fn refuses_an_empty_body() {
    assert_eq!(parse_error(b""), ParseError::Empty);
    assert_eq!(parse_error(b"\n \n"), ParseError::Empty);
}

#[test]
fn reports_the_line_of_each_error() {
    let good = line("a");
    let duplicate = format!("{good}\n{good}\n");
    assert_eq!(
        parse_error(duplicate.as_bytes()),
        ParseError::DuplicateCustomId { line: 2 }
    );
    let mut not_utf8 = format!("{good}\n").into_bytes();
    not_utf8.extend_from_slice(b"\"\xff\"\n");
    assert_eq!(parse_error(&not_utf8), ParseError::NotUtf8 { line: 2 });
    let too_long = format!("{good}\n{}", "x".repeat(ITEM_LINE_MAX_BYTES + 1));
    assert_eq!(
        parse_error(too_long.as_bytes()),
        ParseError::LineTooLong { line: 2 }
    );
    let unnamed = format!("{good}\n{}", line(""));
    assert_eq!(
        parse_error(unnamed.as_bytes()),
        ParseError::BadCustomId { line: 2 }
    );
}

#[test]
fn refuses_items_with_wrong_fields() {
    let good = line("a");
    let wrong = [
        good.replace("POST", "GET"),
        good.replace("/v1", "v1"),
        good.replace("\"body\"", "\"bodies\""),
        good.replace("}}", "}"),
        "[1]".to_owned(),
    ];
    for text in wrong {
        let error = parse_error(text.as_bytes());
        assert!(
            matches!(error, ParseError::BadItem { line: 1, .. }),
            "{text}: {error:?}"
        );
    }
}

proptest! {
    #[test]
    fn splitting_the_body_does_not_change_the_result(
        count in 1_usize..20,
        cuts in prop::collection::vec(0_usize..4000, 0..12),
    ) {
        let body: String = (0..count).map(|item| line(&item.to_string()) + "\n").collect();
        let whole = ItemParser::parse(body.as_bytes()).unwrap();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(body.len())).collect();
        cuts.push(body.len());
        cuts.sort_unstable();
        let mut parser = ItemParser::new();
        let mut items = Vec::new();
        let mut begin = 0;
        for cut in cuts {
            parser.push(&body.as_bytes()[begin..cut], &mut items).unwrap();
            begin = cut;
        }
        prop_assert_eq!(parser.item_count() , count);
        let digest = parser.finish(&mut items).unwrap();
        prop_assert_eq!((items, digest), whole);
    }

    #[test]
    fn arbitrary_bytes_give_items_or_a_typed_error(body in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok((items, _)) = ItemParser::parse(&body) {
            prop_assert!(!items.is_empty());
        }
    }

    #[test]
    fn a_corrupted_line_gives_an_error_or_one_valid_item(at in 0_usize..90, byte in any::<u8>()) {
        let mut body = line("a").into_bytes();
        let at = at % body.len();
        body[at] = byte;
        if let Ok((items, _)) = ItemParser::parse(&body) {
            prop_assert_eq!(items.len(), 1);
            prop_assert_eq!(items[0].method.as_str(), "POST");
        }
    }
}

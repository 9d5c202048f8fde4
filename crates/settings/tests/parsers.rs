//! Arbitrary texts never make the parsers panic, and a formatted document parses to
//! an equal one.

use chicoryladder_settings::{FleetDocument, HostSettings};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const FLEET: &str = include_str!("../../../examples/fleet.ini");
const HOST: &str = include_str!("../../../examples/host-1.ini");
const SEED: [u8; 32] = [7; 32];

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Texts that resemble INI, with some random lines.
fn texts() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        3 => "\\[(host|listen|voters|data|team a|class b|route c| )\\]?",
        4 => "(name|kind|rate|burst|path|methods|to|classes|1) ?[=:] ?(online|batch|1|0.5|/x|GET|yes|\\PC{0,8})",
        1 => "\\PC{0,20}",
        1 => "[ \\t\\\\;#=:\\[\\]\"']{0,6}",
    ];
    let end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r"), Just("\\\n")];
    prop::collection::vec((line, end), 0..30)
        .prop_map(|lines| lines.into_iter().map(|(line, end)| line + end).collect())
}

/// A valid text with one byte range replaced.
fn damaged(base: &'static str) -> impl Strategy<Value = String> {
    (0..base.len(), 0..40_usize, "\\PC{0,5}").prop_map(move |(start, length, patch)| {
        let head: String = base.chars().take(start).collect();
        let tail: String = base.chars().skip(start + length).collect();
        head + &patch + &tail
    })
}

fn check(text: &str) {
    if let Err(report) = HostSettings::parse("host.ini", text) {
        assert!(!report.faults.is_empty());
    }
    match FleetDocument::parse("fleet.ini", text) {
        Ok(document) => {
            let printed = document.to_string();
            let again = FleetDocument::parse("fleet.ini", &printed);
            assert_eq!(again.expect("a formatted document parses"), document);
        }
        Err(report) => assert!(!report.faults.is_empty()),
    }
}

#[test]
fn random_texts_never_panic() {
    let run = |text: String| {
        check(&text);
        Ok(())
    };
    runner(400).run(&texts(), run).expect("no text panics");
}

#[test]
fn damaged_examples_never_panic() {
    let run = |text: String| {
        check(&text);
        Ok(())
    };
    runner(200)
        .run(&damaged(FLEET), run)
        .expect("no text panics");
    runner(200)
        .run(&damaged(HOST), run)
        .expect("no text panics");
}

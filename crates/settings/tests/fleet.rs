//! Fleet documents: fault reports, canonical text, differences and routes.

use chicoryladder_settings::{FleetDocument, RouteMatch};

const EXAMPLE: &str = include_str!("../../../examples/fleet.ini");

const FAULTY: &str = "\
[class chat]
kind = online
first_token_ms = 900
answer_ms = 800
percentile = 100
finish_within_s = 5
[class lots]
kind = weekly
[class]
kind = batch
[team rent desk]
rate = 0
burst = -1
serve_through_cut = maybe
[team tiny]
rate = 0.1234
[route chat]
path = v1/chat
methods = post
to = somewhere
classes = chat, chat
[route first]
path = /v1/x
methods = POST, GET
to = models
classes = chat, unknown
weight = 3
[route second]
path = /v1/x
methods = GET
to = model m
classes = chat
[queue]
length = 3
";

fn parse(text: &str) -> FleetDocument {
    FleetDocument::parse("fleet.ini", text).expect("the text has no fault")
}

#[test]
fn every_fault_is_reported_at_once() {
    let report = FleetDocument::parse("fleet.ini", FAULTY).expect_err("the text has faults");
    insta::assert_snapshot!("fleet_faults", report.to_lines());
}

#[test]
fn the_example_is_formatted_as_its_canonical_text() {
    let printed = parse(EXAMPLE).to_string();
    insta::assert_snapshot!("fleet_canonical", printed);
    assert_eq!(parse(&printed), parse(EXAMPLE));
}

#[test]
fn differences_list_section_key_and_both_values() {
    let older = parse(EXAMPLE);
    let text = EXAMPLE
        .replace("rate = 50", "rate = 62.5")
        .replace("[team flic-en-flac]", "[team pamplemousses]")
        .replace(
            "first_token_ms = 800",
            "first_token_ms = 800\nqueue_max = 12",
        );
    let changes = older.diff(&parse(&text));
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!("fleet_diff", lines.join("\n"));
    assert!(older.diff(&older).is_empty());
}

#[test]
fn the_route_with_the_longest_prefix_matches() {
    let text = "\
[class c]
kind = batch
finish_within_s = 1
[route all]
path = /services
methods = GET
to = service a
classes = c
[route one]
path = /services/one
methods = POST
to = service b
classes = c
";
    let document = parse(text);
    let name_of = |method: &str, path: &str| match document.match_route(method, path) {
        RouteMatch::Found { name, .. } => name.as_str().to_owned(),
        RouteMatch::WrongMethod => "wrong method".to_owned(),
        RouteMatch::Unknown => "unknown".to_owned(),
    };
    assert_eq!(name_of("POST", "/services/one/x"), "one");
    assert_eq!(name_of("GET", "/services/one"), "all");
    assert_eq!(name_of("GET", "/services/onefold"), "all");
    assert_eq!(name_of("POST", "/services/onefold"), "wrong method");
    assert_eq!(name_of("GET", "/serviceship"), "unknown");
}

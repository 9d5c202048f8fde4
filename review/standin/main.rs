//! Runs one case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run.

mod cases;
mod fleet;
mod http;
mod plan;
mod replica;

use fleet::Record;
use std::process::ExitCode;

/// Why a case could not run.
pub struct NotRun(pub String);

/// Whether the rule held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.note(&format!("case {case}, with the disruption: {trouble}"));
    let run = std::panic::AssertUnwindSafe(|| cases::run(case, &record, trouble));
    let outcome = match std::panic::catch_unwind(run) {
        Ok(outcome) => outcome,
        Err(_) => Err(NotRun("a stand-in panicked".to_owned())),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(NotRun(why)) => (2, format!("not run: {why}")),
    };
    record.note(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

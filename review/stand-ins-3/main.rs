//! The scripts of the cases 11 to 15, and `late-job` beside them: each starts a small deployment,
//! brings one disruption about, and checks one rule.

mod ended_jobs;
mod fleet;
mod http;
mod late_departure;
mod late_job;
mod links;
mod retired_store;
mod servers;
mod stale_route;
mod starved_jobs;
mod world;

use fleet::Record;

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let path = words.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&path);
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "ended-jobs" => ended_jobs::run(&record, trouble),
        "late-departure" => late_departure::run(&record, trouble),
        "late-job" => late_job::run(&record, trouble),
        "retired-store" => retired_store::run(&record, trouble),
        "stale-route" => stale_route::run(&record, trouble),
        "starved-jobs" => starved_jobs::run(&record, trouble),
        _ => Err(format!("there is no case {case:?}")),
    }));
    let code = match outcome {
        Ok(Ok(true)) => {
            record.note("the rule held");
            0
        }
        Ok(Ok(false)) => {
            record.note("the rule was broken");
            1
        }
        Ok(Err(cause)) => {
            record.note(format!("the case could not run: {cause}"));
            2
        }
        Err(_) => {
            record.note("the case could not run: the stand-ins failed");
            2
        }
    };
    std::process::exit(code);
}

//! The cases of the review that are scripts.

mod control_replacement;
mod crashing_request;
mod lowered_limit;
mod moved_route;
mod public_jobs;

use crate::fleet::Record;
use crate::{NotRun, Verdict};

pub fn run(case: &str, record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    match case {
        "control-replacement" => control_replacement::run(record, trouble),
        "moved-route" => moved_route::run(record, trouble),
        "lowered-limit" => lowered_limit::run(record, trouble),
        "public-jobs" => public_jobs::run(record, trouble),
        "crashing-request" => crashing_request::run(record, trouble),
        _ => Err(NotRun(format!("there is no case {case}"))),
    }
}

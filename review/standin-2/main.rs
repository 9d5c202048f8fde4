//! The cases of the review, each as a client, operator and platform around a small fleet.
//!
//! `review-cases CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod fleet;
mod http;
mod job_readers;
mod replica;
mod restarted_stores;
mod stored_jobs;

use fleet::Record;
use std::path::Path;
use std::process::ExitCode;

/// Whether the rule held; an error if the case could not run.
pub type CaseResult = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let has_trouble = !has_trouble;
    let record = match Record::new(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "stored-jobs" => stored_jobs::run(&record, has_trouble),
        "restarted-stores" => restarted_stores::run(&record, has_trouble),
        "job-readers" => job_readers::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match result {
        Ok(true) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

//! A batch job that does not fit is refused with 429. During its second attempt, the edge machine
//! is cut off for 0.65 s; what it had sent before it asked again arrives later.

use crate::fleet::Record;
use crate::links::Links;
use crate::servers::Terms;
use crate::world::{client, job_body, read_job, start_with};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Room for the item of one job, of 940 tokens, but not of two.
const CAP: u64 = 1_000;

/// The item that waits takes 41 x 0.1 s.
const EVENTS: u64 = 41;

const CUT: Duration = Duration::from_millis(650);

const OTHER: &str = "11b02fe4c5d6a701";
const JOB: &str = "22c13af5d6e7b802";
const OTHER_ITEM: &str = "aa00000000000001";
const ITEM: &str = "bb00000000000002";

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let terms = || Terms { events: EVENTS, pause: Duration::from_millis(100) };
    let links = Arc::<Links>::default();
    let (fleet, runs, _servers) = start_with(record, terms, CAP, Some(links.clone()), 3)?;
    let submit = |edge: &str, job: &str, item: &str| {
        let body = job_body(&[item.to_owned()], 940);
        let path = format!("/digest/{job}");
        let reply = client(&fleet, edge, "POST", &path, job, &body, Duration::from_secs(4));
        let status = reply.map(|reply| reply.status);
        record.note(format!("POST {path} at {edge}: {status:?}"));
        status
    };
    let started = Instant::now();
    while submit("edge-1", OTHER, OTHER_ITEM) != Some(202) {
        if started.elapsed() > Duration::from_secs(10) {
            return Err("the first batch job was not accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(300));
    }
    let ran_at = |item: &str| {
        let runs = runs.lock().expect("no writer panicked");
        runs.iter().find(|run| run.id == item).map(|run| run.at)
    };
    let began = loop {
        match ran_at(OTHER_ITEM) {
            Some(at) => break at,
            None if started.elapsed() > Duration::from_secs(20) => {
                return Err("the first batch job does not run".to_owned());
            }
            None => thread::sleep(Duration::from_millis(5)),
        }
    };
    record.note(format!("the item {OTHER_ITEM} runs; it takes 4.1 s"));
    for _ in 0..3 {
        let status = read_job(&fleet, "edge-2", OTHER).map(|reply| reply.status);
        record.note(format!("GET /lots/{OTHER} at edge-2: {status:?}"));
        thread::sleep(Duration::from_millis(200));
    }
    wait_until(began + Duration::from_millis(1_900));
    let first = submit("edge-1", JOB, ITEM);
    // The client waits for Retry-After, which is 1 s, and asks once more at another node.
    let again = began + Duration::from_millis(3_000);
    if trouble {
        links.cut("edge-2", again - Duration::from_millis(50), again + CUT);
        record.note("edge-2 is cut off from the core and storage machines from 0.05 s before it is asked, \
                     for 0.7 s in all");
    }
    wait_until(again);
    let second = submit("edge-2", JOB, ITEM);
    let is_refused = |status| matches!(status, Some(408 | 421 | 429 | 503));
    let both_refused = is_refused(first) && is_refused(second);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(15) {
        if let Some(at) = ran_at(ITEM) {
            let after = at.saturating_duration_since(again).as_secs_f64();
            record.note(format!("the item {ITEM} runs, {after:.3} s after the second attempt"));
            let status = read_job(&fleet, "edge-1", JOB).map(|reply| reply.status);
            record.note(format!("GET /lots/{JOB} at edge-1: {status:?}"));
            record.note(format!("all attempts were refused: {both_refused}"));
            return Ok(!both_refused);
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(format!("the item {ITEM} does not run; all attempts were refused: {both_refused}"));
    Ok(true)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

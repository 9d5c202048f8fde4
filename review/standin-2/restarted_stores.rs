//! Jobs come one after the other at their usual rate, and each is done before the next few. Then
//! two store machines are killed, one after the other.

use crate::CaseResult;
use crate::fleet::{Fleet, Record, call, configuration};
use crate::http::base64;
use crate::replica::Pace;
use crate::stored_jobs::{note_ends, wait_for_jobs};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

const REPLICAS: usize = 12;
const PACE: Pace = Pace {
    events: 22,
    event_bytes: 64,
    interval: Duration::from_millis(40),
};

/// The body of a job has at most 4 MiB, in base64.
const ITEMS: usize = 10;
const ITEM_BYTES: usize = 310_000;
const ITEM_TOKENS: usize = 526;
const TENANTS: usize = 8;

/// The usual rate of jobs of all tenants.
const JOBS_PER_SECOND: f64 = 0.686;
const SEND_TIME: Duration = Duration::from_secs(60);

/// The time between two kills, and after the last one.
const KILL_INTERVAL: Duration = Duration::from_secs(8);

const READ_TIME: Duration = Duration::from_secs(15);

pub fn run(record: &Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::start(record.clone()).map_err(|error| error.to_string())?;
    for _ in 0..REPLICAS {
        let added = fleet.add_replica("clerk", PACE);
        added.map_err(|error| error.to_string())?;
    }
    fleet.configure(&configuration(1, TENANTS))?;
    fleet.wait_until_ready()?;
    let entries = fleet.entry_addresses();
    wait_for_jobs(&entries, record)?;
    let accepted = send_jobs(&entries, record);
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    let done = count_done(&entries, &accepted, record, "before the kills");
    if done < accepted.len() {
        return Err("not all jobs are done".to_owned());
    }
    note_ends(&fleet, record);
    for machine in 1..=2 {
        if has_trouble {
            fleet.kill_store(machine);
        }
        std::thread::sleep(KILL_INTERVAL);
    }
    let done = count_done(&entries, &accepted, record, "at the end");
    let often = note_ends(&fleet, record);
    record.note(&format!(
        "{done} of {} accepted jobs can be read; the processes of {often} machines ended three \
         times or more",
        accepted.len()
    ));
    Ok(done == accepted.len() && often < 2)
}

/// Sends jobs at the usual rate; returns the numbers of the accepted ones.
fn send_jobs(entries: &[SocketAddr], record: &Record) -> Vec<usize> {
    let item_body = base64(&vec![7; ITEM_BYTES]);
    let accepted = Mutex::new(Vec::new());
    let started = Instant::now();
    std::thread::scope(|scope| {
        let mut number = 0;
        while started.elapsed() < SEND_TIME {
            let (accepted, item_body) = (&accepted, &item_body);
            let entry = entries[number % entries.len()];
            scope.spawn(move || {
                let job = job_name(number);
                let items = (0..ITEMS).map(|item| {
                    format!(
                        "{{\"id\":\"{job}-{item}\",\"path\":\"/letters/{item}\",\"headers\":{{\
                         \"X-Model\":\"m\",\"X-Token-Usage\":\"350,176\"}},\
                         \"body\":\"{item_body}\",\"token-count\":{ITEM_TOKENS}}}"
                    )
                });
                let items: Vec<String> = items.collect();
                let body = format!("{{\"requests\":[{}]}}", items.join(","));
                let key = key_of(number);
                let who = (key.as_str(), job.as_str());
                let time = Duration::from_secs(4);
                let answer = call(entry, "POST", "/letters/job", who, body.as_bytes(), time);
                let answer = answer.map_or_else(|e| e.to_string(), |a| a.status().to_string());
                record.note(&format!("client: {job} of {} bytes: {answer}", body.len()));
                if answer == "202"
                    && let Ok(mut accepted) = accepted.lock()
                {
                    accepted.push(number);
                }
            });
            number += 1;
            std::thread::sleep(Duration::from_secs_f64(1.0 / JOBS_PER_SECOND));
        }
    });
    accepted.into_inner().unwrap_or_default()
}

/// Reads jobs from their start, again after each failure and at each node; returns of how many all
/// results are listed.
fn count_done(entries: &[SocketAddr], jobs: &[usize], record: &Record, when: &str) -> usize {
    let deadline = Instant::now() + READ_TIME;
    let mut missing = jobs.to_vec();
    let mut turn = 0;
    let mut last = String::new();
    while !missing.is_empty() && Instant::now() < deadline {
        let number = missing[turn % missing.len()];
        let path = format!("/lots/{}?after=0", job_name(number));
        let (entry, key) = (entries[turn % entries.len()], key_of(number));
        let time = Duration::from_secs(2);
        let answer = call(entry, "GET", &path, (&key, "read"), b"", time);
        let is_done = answer.as_ref().is_ok_and(|answer| {
            answer.status() == 200 && answer.text().matches("completed").count() == ITEMS
        });
        last = answer.map_or_else(|error| error.to_string(), |a| a.status().to_string());
        if is_done {
            missing.retain(|other| *other != number);
        } else {
            std::thread::sleep(Duration::from_millis(50));
        }
        turn += 1;
    }
    let done = jobs.len() - missing.len();
    record.note(&format!(
        "client: {when}, all results of {done} of {} jobs are read; the last answer was {last}",
        jobs.len()
    ));
    done
}

fn job_name(number: usize) -> String {
    format!("job{number:04}")
}

fn key_of(number: usize) -> String {
    format!("key{}", number % TENANTS + 1)
}

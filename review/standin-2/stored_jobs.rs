//! Many batch jobs come at once. Each is inside the limits, and all are accepted.

use crate::CaseResult;
use crate::fleet::{Fleet, Record, call, configuration};
use crate::http::base64;
use crate::replica::Pace;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const TENANTS: usize = 8;

/// The service has 12 replicas of 8 slots each.
const REPLICAS: usize = 12;
const PACE: Pace = Pace {
    events: 22,
    event_bytes: 64,
    interval: Duration::from_millis(40),
};

/// A job has at most 200 items, and a body at most 4 MiB.
const ITEMS: usize = 190;
const ITEM_BYTES: usize = 13_500;

/// The tokens of an item: 350 in and 176 out.
const ITEM_TOKENS: usize = 526;

/// The usual rate of jobs of all tenants, and the factor of a burst.
const JOBS_PER_SECOND: f64 = 0.686;
const BURST: f64 = 6.0;

/// Three bursts of 3 s, one after the other.
const SEND_TIME: Duration = Duration::from_secs(9);

/// The time after the last submission before the jobs are read back.
const SETTLE_TIME: Duration = Duration::from_secs(30);

/// The time within which each job is read.
const READ_TIME: Duration = Duration::from_secs(20);

/// The attempts of a client at a job.
const ATTEMPTS: usize = 3;

/// The status of each attempt at a job.
type Answers = Mutex<BTreeMap<String, Vec<String>>>;

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
    let factor = if has_trouble { BURST } else { 1.0 };
    let interval = Duration::from_secs_f64(1.0 / (JOBS_PER_SECOND * factor));
    let item_body = base64(&vec![7; ITEM_BYTES]);
    let answers = Answers::default();
    let started = Instant::now();
    std::thread::scope(|scope| {
        let mut number = 0;
        while started.elapsed() < SEND_TIME {
            let (entries, answers, body) = (&entries, &answers, &item_body);
            scope.spawn(move || submit(entries, number, body, record, answers));
            number += 1;
            std::thread::sleep(interval);
        }
    });
    std::thread::sleep(SETTLE_TIME);
    let answers = answers.into_inner().unwrap_or_else(PoisonError::into_inner);
    let is_accepted = |answers: &Vec<String>| answers.iter().any(|answer| answer == "202");
    let accepted: Vec<&String> = answers
        .iter()
        .filter(|(_, answers)| is_accepted(answers))
        .map(|(job, _)| job)
        .collect();
    let lost = read_back(&entries, &accepted, record);
    let often = note_ends(&fleet, record);
    record.note(&format!(
        "{} of {} jobs were accepted, {lost} of these cannot be read; the processes of {often} \
         machines ended three times or more",
        accepted.len(),
        answers.len(),
    ));
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(lost == 0 && often < 2)
}

/// Records how the processes ended; returns on how many machines they did so three times or more.
pub fn note_ends(fleet: &Fleet, record: &Record) -> usize {
    let ends = fleet.ends();
    for node in &ends {
        record.note(&format!(
            "{}: peak {} MB, {} ends for its memory, {} by itself",
            node.name,
            node.peak_kb / 1024,
            node.memory_ends,
            node.own_ends,
        ));
    }
    let often = ends
        .iter()
        .filter(|node| node.memory_ends + node.own_ends >= 3);
    often.count()
}

/// Waits until the fleet accepts and runs a job.
pub fn wait_for_jobs(entries: &[SocketAddr], record: &Record) -> Result<(), String> {
    let body = "{\"requests\":[{\"id\":\"first-item\",\"path\":\"/letters/1\",\"headers\":{},\
                \"body\":\"YQ==\",\"token-count\":10}]}";
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(30) {
        let who = ("key1", "first-job");
        let (post, get) = ("/letters/job", "/lots/first-job?after=0");
        let time = Duration::from_secs(2);
        let accepted = call(entries[0], "POST", post, who, body.as_bytes(), time);
        let page = call(entries[1], "GET", get, who, b"", time);
        if accepted.is_ok_and(|answer| answer.status() == 202)
            && page.is_ok_and(|answer| answer.text().contains("completed"))
        {
            record.note("the first job is done");
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    Err("the first job was not done".to_owned())
}

/// Submits a job until it has a final answer, each time at another node.
fn submit(
    entries: &[SocketAddr],
    number: usize,
    item_body: &str,
    record: &Record,
    answers: &Answers,
) {
    let job = format!("job{number:04}");
    let items = (0..ITEMS).map(|item| {
        format!(
            "{{\"id\":\"{job}-{item}\",\"path\":\"/letters/{item}\",\"headers\":{{\
             \"X-Model\":\"m\",\"X-Token-Usage\":\"350,176\"}},\"body\":\"{item_body}\",\
             \"token-count\":{ITEM_TOKENS}}}"
        )
    });
    let items: Vec<String> = items.collect();
    let body = format!("{{\"requests\":[{}]}}", items.join(","));
    let key = format!("key{}", number % TENANTS + 1);
    for attempt in 0..ATTEMPTS {
        let entry = entries[(number + attempt) % entries.len()];
        let who = (key.as_str(), job.as_str());
        let time = Duration::from_secs(4);
        let answer = call(entry, "POST", "/letters/job", who, body.as_bytes(), time);
        let answer = answer.map_or_else(|error| error.to_string(), |a| a.status().to_string());
        record.note(&format!(
            "client: {job} of {} bytes at {entry}: {answer}",
            body.len()
        ));
        let is_final = ["202", "400", "413"].contains(&answer.as_str());
        let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.entry(job.clone()).or_default().push(answer);
        drop(answers);
        if is_final {
            return;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
}

/// Reads jobs from their start, again after each failure and at each node; returns how many
/// cannot be read.
fn read_back(entries: &[SocketAddr], jobs: &[&String], record: &Record) -> usize {
    let deadline = Instant::now() + READ_TIME;
    let mut missing: Vec<&String> = jobs.to_vec();
    let mut turn = 0;
    let mut last = String::new();
    while !missing.is_empty() && Instant::now() < deadline {
        let job = missing[turn % missing.len()];
        let number: usize = job.trim_start_matches("job").parse().unwrap_or(0);
        let key = format!("key{}", number % TENANTS + 1);
        let path = format!("/lots/{job}?after=0");
        let entry = entries[turn % entries.len()];
        let answer = call(
            entry,
            "GET",
            &path,
            (&key, "read"),
            b"",
            Duration::from_secs(2),
        );
        last = answer.map_or_else(|error| error.to_string(), |a| a.status().to_string());
        if last == "200" {
            missing.retain(|other| *other != job);
        } else {
            std::thread::sleep(Duration::from_millis(50));
        }
        turn += 1;
    }
    for job in &missing {
        record.note(&format!(
            "client: {job} cannot be read, the last answer was {last}"
        ));
    }
    missing.len()
}

//! The only server of one service is lost for good while a batch job of the tenant with the
//! highest priority waits for it. The batch jobs of all others are not run any more, although
//! the servers of their service are idle.

use crate::fleet::Record;
use crate::http::Reply;
use crate::servers::{Server, Terms};
use crate::world::{FIRST_KEY, client_with, completed, read_job, start, submit, submit_with};
use std::thread;
use std::time::{Duration, Instant};

const EVENTS: u64 = 5;

/// The time after which a server without check-ins is taken for lost, with a margin.
const LOST_AFTER: Duration = Duration::from_secs(8);

/// `finish-s` is 18.
const WAIT: Duration = Duration::from_secs(40);

fn terms() -> Terms {
    Terms { events: EVENTS, pause: Duration::from_millis(20) }
}

fn ids(letter: char, count: u32) -> Vec<String> {
    (0..count).map(|number| format!("{letter}{number:015x}")).collect()
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let (fleet, runs, _servers) = start(record, terms)?;
    let press = Server::start(
        "p-1",
        "press",
        "zone-a",
        fleet.server_address(9),
        terms(),
        runs.clone(),
        fleet.control_addresses(),
    );
    record.note("the service `engine` has 3 servers, and `press` has p-1");
    let within = Duration::from_secs(10);
    let first = ids('a', 4);
    let read_first = |job: &str| {
        let path = format!("/lots/{job}?after=0");
        let timeout = Duration::from_secs(3);
        client_with(FIRST_KEY, &fleet, "edge-1", "GET", &path, "", "", timeout)
    };
    let is_done = |reply: Option<Reply>, count: usize| {
        reply.is_some_and(|reply| reply.status == 200 && completed(&reply) == count)
    };
    if !submit_with(FIRST_KEY, "letters", &fleet, record, "99380a5b3cde1d47", &first, within) {
        return Err("the first batch job was not accepted".to_owned());
    }
    let started = Instant::now();
    while !is_done(read_first("99380a5b3cde1d47"), first.len()) {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the first batch job did not complete".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note("a batch job of the tenant tehu881 (priority 0) is done at p-1");
    if trouble {
        press.stop();
        record.note("p-1 is lost for good");
    }
    thread::sleep(LOST_AFTER);
    let waiting = ids('b', 14);
    if !submit_with(FIRST_KEY, "letters", &fleet, record, "aa491b6c4def2e58", &waiting, within) {
        return Err("the second batch job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    let owed = ids('c', 8);
    if !submit(&fleet, record, "bb5a2c7d5ef03f69", &owed, within) {
        return Err("the third batch job was not accepted".to_owned());
    }
    record.note("a batch job of huka270 (priority 1), whose service is `engine`, is accepted");
    let started = Instant::now();
    while started.elapsed() < WAIT {
        if is_done(read_job(&fleet, "edge-2", "bb5a2c7d5ef03f69"), owed.len()) {
            let took = started.elapsed().as_secs_f64();
            record.note(format!("its 8 items are done after {took:.1} s"));
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(200));
    }
    let listed = read_job(&fleet, "edge-2", "bb5a2c7d5ef03f69");
    let listed = listed.map_or(0, |reply| reply.text().matches("\"state\"").count());
    let runs = runs.lock().expect("no writer panicked");
    let ran = owed.iter().filter(|item| runs.iter().any(|run| run.id == **item)).count();
    record.note(format!(
        "after {} s, {listed} of its 8 items are listed and {ran} have reached a server; the 3 \
         servers of `engine` are idle",
        WAIT.as_secs()
    ));
    Ok(false)
}

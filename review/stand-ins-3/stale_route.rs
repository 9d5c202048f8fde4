//! An edge machine stands still while the operator moves the route of batch jobs to another
//! service. A batch job that reaches it just before it goes on is accepted under the
//! configuration that it held.

use crate::fleet::{READINESS, Record};
use crate::http::call;
use crate::servers::{Server, Terms};
use crate::world::{client, job_body, plan_with, start, submit};
use std::thread;
use std::time::{Duration, Instant};

/// `config-apply-ms`, and a margin.
const APPLIED: Duration = Duration::from_millis(2_050);

/// The frozen machine goes on so long after the batch job was sent.
const WAKES_AFTER: Duration = Duration::from_millis(250);

/// The time for the items of the batch job to run.
const RUN_WITHIN: Duration = Duration::from_secs(8);

const FROZEN: &str = "edge-2";
const JOB: &str = "33d24b06e7f8c903";

fn terms() -> Terms {
    Terms { events: 5, pause: Duration::from_millis(20) }
}

fn ids(letter: char, count: u32) -> Vec<String> {
    (0..count).map(|number| format!("{letter}{number:015x}")).collect()
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let (fleet, runs, _servers) = start(record, terms)?;
    let start_press = |number: u8| {
        let id = format!("p-{number}");
        let address = fleet.server_address(8 + number);
        let control = fleet.control_addresses();
        Server::start(&id, "press", "zone-a", address, terms(), runs.clone(), control)
    };
    let _press = [1, 2].map(start_press);
    record.note("the service `engine` has the servers i-1 to i-3, and `press` has p-1 and p-2");
    let servers_of = |items: &[String]| {
        let runs = runs.lock().expect("no writer panicked");
        let mut servers: Vec<String> = Vec::new();
        for run in runs.iter().filter(|run| items.contains(&run.id)) {
            servers.push(run.server.clone());
        }
        servers
    };
    let before = ids('a', 4);
    if !submit(&fleet, record, "22c13af5d6e7b802", &before, Duration::from_secs(10)) {
        return Err("the first batch job was not accepted".to_owned());
    }
    let started = Instant::now();
    while servers_of(&before).len() < before.len() {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the first batch job does not run".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note(format!("its items run at {:?}, by version 1", servers_of(&before)));
    thread::sleep(Duration::from_secs(3));
    let probe = |timeout| {
        let address = fleet.at(FROZEN, READINESS);
        call(address, "GET", "/readyz", &[], "", timeout).map(|reply| reply.status)
    };
    let started = Instant::now();
    while probe(Duration::from_secs(1)) != Some(200) {
        if started.elapsed() > Duration::from_secs(10) {
            return Err(format!("{FROZEN} is not ready"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note(format!("GET /readyz at {FROZEN}: 200"));
    if trouble {
        fleet.signal(FROZEN, "-STOP");
        record.note(format!("{FROZEN} stands still"));
    }
    let frozen_at = Instant::now();
    let body = plan_with(2, 0, "press");
    let put = fleet.operator("POST", "/config/replace", &body, Duration::from_secs(1));
    let confirmed = Instant::now();
    let status = put.as_ref().map(|reply| reply.status);
    record.note(format!("version 2, which moves the route to `press`: {status:?}"));
    if put.is_none_or(|reply| reply.status != 200) {
        return Err("version 2 was not acknowledged".to_owned());
    }
    let items = ids('b', 8);
    let (status, answered) = thread::scope(|scope| {
        // The platform asks once a second; a machine that misses two gets no new channels.
        let probing = scope.spawn(|| {
            wait_until(frozen_at + Duration::from_secs(1));
            let status = probe(Duration::from_secs(1));
            record.note(format!("GET /readyz at {FROZEN}, sent 1 s after: {status:?}"));
        });
        wait_until(confirmed + APPLIED);
        let sent = Instant::now();
        let path = format!("/digest/{JOB}");
        record.note(format!(
            "POST {path} is sent to {FROZEN}, {:.3} s after the confirmation",
            (sent - confirmed).as_secs_f64()
        ));
        let waking = scope.spawn(|| {
            thread::sleep(WAKES_AFTER);
            if trouble {
                fleet.signal(FROZEN, "-CONT");
                record.note(format!("{FROZEN} goes on"));
            }
        });
        let body = job_body(&items, 940);
        let reply = client(&fleet, FROZEN, "POST", &path, JOB, &body, Duration::from_secs(4));
        let answered = Instant::now();
        let _ = (probing.join(), waking.join());
        (reply.map(|reply| reply.status), answered)
    });
    record.note(format!(
        "POST at {FROZEN}: {status:?}, {:.3} s after the confirmation",
        (answered - confirmed).as_secs_f64()
    ));
    thread::sleep(RUN_WITHIN);
    let servers = servers_of(&items);
    record.note(format!("its items have run at {servers:?}"));
    if status != Some(202) {
        return Ok(true);
    }
    if servers.is_empty() {
        return Err("the items do not run".to_owned());
    }
    // The names of the servers of `engine` begin with i.
    let old = servers.iter().filter(|server| server.starts_with("i-")).count();
    record.note(format!("{old} of {} runs were at `engine`, the service of version 1", servers.len()));
    Ok(old == 0)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

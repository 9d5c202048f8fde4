//! A server deregisters and starts again under its id. The call by which it deregistered arrives
//! once more, late, from a storage machine that was cut off, and takes the new start out of use.

use crate::fleet::{CONTROL, Record};
use crate::links::Links;
use crate::servers::{Server, Terms};
use crate::world::{client, completed, read_job, start_with, submit};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const EVENTS: u64 = 5;

/// How long storage-2 is cut off.
const CUT: Duration = Duration::from_millis(3_500);

/// `drain-ms`, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_500);

/// `finish-s` is 18.
const WAIT: Duration = Duration::from_secs(30);

fn terms() -> Terms {
    Terms { events: EVENTS, pause: Duration::from_millis(20) }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let links = Arc::<Links>::default();
    let (fleet, runs, servers) = start_with(record, terms, 0, Some(links.clone()), 1)?;
    let server = &servers[0];
    let first: Vec<String> = (0..4).map(|number| format!("a{number:015x}")).collect();
    if !submit(&fleet, record, "33d24b06e7f8c903", &first, Duration::from_secs(10)) {
        return Err("the first batch job was not accepted".to_owned());
    }
    let is_done = |job: &str, items: &[String]| {
        let reply = read_job(&fleet, "edge-1", job);
        reply.is_some_and(|reply| reply.status == 200 && completed(&reply) == items.len())
    };
    let started = Instant::now();
    while !is_done("33d24b06e7f8c903", &first) {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the first batch job did not complete".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note("the items of the first batch job are done at the server i-1");
    thread::sleep(Duration::from_secs(1));

    if trouble {
        let from = Instant::now();
        links.cut("storage-2", from, from + CUT);
        record.note("storage-2 is cut off from the other core and storage machines for 3.5 s");
        thread::sleep(Duration::from_millis(100));
    }
    let mut nodes = vec![fleet.at("storage-2", CONTROL)];
    nodes.extend(fleet.control_addresses());
    let answers = server.deregister(&nodes);
    record.note(format!("i-1 deregisters at storage-2 and then at the core machines: {answers:?}"));
    thread::sleep(SERVES_ON);
    server.stop();
    record.note("i-1 ends");
    thread::sleep(Duration::from_millis(300));
    let again = Server::start(
        "i-1",
        "engine",
        &server.zone,
        server.address,
        terms(),
        runs.clone(),
        fleet.control_addresses(),
    );
    record.note(format!("i-1 starts again, born {} instead of {}", again.born, server.born));
    let served = |id: &str| {
        let reply = client(&fleet, "edge-3", "POST", "/rules/1", id, "x", Duration::from_secs(5));
        let status = reply.map(|reply| reply.status);
        record.note(format!("POST /rules/1 at edge-3: {status:?}"));
        status == Some(200)
    };
    thread::sleep(Duration::from_millis(500));
    served("55f46d2809ba0b25");
    thread::sleep(Duration::from_secs(6));
    let second: Vec<String> = (0..4).map(|number| format!("b{number:015x}")).collect();
    if !submit(&fleet, record, "44e35c17f809da14", &second, Duration::from_secs(10)) {
        return Err("the second batch job was not accepted".to_owned());
    }
    let started = Instant::now();
    let mut count = 0u64;
    while started.elapsed() < WAIT {
        if is_done("44e35c17f809da14", &second) {
            record.note("the items of the second batch job are done");
            return Ok(true);
        }
        count += 1;
        if count % 10 == 1 {
            served(&format!("66057e391acb{count:04x}"));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = runs.lock().expect("no writer panicked");
    let ran = second.iter().filter(|item| runs.iter().any(|run| run.id == **item)).count();
    record.note(format!(
        "after {} s no item of the second batch job is listed, and {ran} of {} have reached i-1, \
         which runs nothing and checks in",
        WAIT.as_secs(),
        second.len(),
    ));
    Ok(false)
}

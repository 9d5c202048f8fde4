//! A storage machine is reported as emptied, although it has been given a seat of the job group
//! again. The operator removes it, and another storage machine loses its disk.

use crate::fleet::Record;
use crate::servers::{Terms, item_text};
use crate::world::{completed, read_job, start, submit};
use std::thread;
use std::time::{Duration, Instant};

/// The time in which the operator asks for the machine to be emptied.
const RETIRE_TIME: Duration = Duration::from_secs(10);

/// The time after which a loss no longer counts, with a margin.
const CATCH_UP: Duration = Duration::from_secs(6);

/// `recover-s` is 12; reads go on for more than twice as long.
const READ_TIME: Duration = Duration::from_secs(30);

const EVENTS: u64 = 5;

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let terms = || Terms { events: EVENTS, pause: Duration::from_millis(20) };
    let (mut fleet, _runs, _servers) = start(record, terms)?;
    let items: Vec<String> = (0..8).map(|number| format!("a{number:015x}")).collect();
    if !submit(&fleet, record, "7c41e09b52d6a3f8", &items, Duration::from_secs(10)) {
        return Err("the batch job was not accepted".to_owned());
    }
    let is_whole = |reply: &crate::http::Reply| {
        let text = reply.text();
        reply.status == 200
            && completed(reply) == items.len()
            && items.iter().all(|id| text.contains(&item_text(id, EVENTS)))
    };
    let started = Instant::now();
    while !read_job(&fleet, "edge-1", "7c41e09b52d6a3f8").is_some_and(|reply| is_whole(&reply)) {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the batch job did not complete".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.note("all 8 items are listed as completed");

    fleet.add("storage", 4, "zone-a", false);
    record.note("storage-4 is added in zone-a");
    thread::sleep(CATCH_UP);

    let path = "/retire/storage-3/begin";
    let body = format!("{{\"duration-s\":{}}}", RETIRE_TIME.as_secs());
    let begun = fleet.operator("POST", path, &body, Duration::from_secs(4));
    record.note(format!("POST {path} {body}: {:?}", begun.as_ref().map(|reply| reply.status)));
    if begun.is_none_or(|reply| reply.status != 200) {
        return Err("the machine was not accepted for emptying".to_owned());
    }
    thread::sleep(RETIRE_TIME);
    let path = "/retire/storage-3/get";
    let asked = Instant::now();
    loop {
        let state = fleet.operator("GET", path, "", Duration::from_secs(4));
        let state = state.map(|reply| reply.text()).unwrap_or_default();
        record.note(format!("GET {path}: {state}"));
        if state.contains("\"completed\"") {
            break;
        }
        if asked.elapsed() > Duration::from_secs(20) {
            return Err("the machine was not emptied".to_owned());
        }
        thread::sleep(Duration::from_secs(1));
    }
    fleet.kill_with_disk("storage-3");
    record.note("storage-3 is removed, with its disk");
    if trouble {
        fleet.kill_with_disk("storage-2");
        record.note("storage-2 is killed and loses its disk");
        thread::sleep(Duration::from_secs(2));
        fleet.start("storage-2", false);
        record.note("storage-2 starts again at its address, with an empty disk");
    }
    let started = Instant::now();
    let edges = fleet.names("edge");
    let mut last = None;
    for edge in edges.iter().cycle() {
        let reply = read_job(&fleet, edge, "7c41e09b52d6a3f8");
        let is_read = reply.as_ref().is_some_and(&is_whole);
        let status = reply.map(|reply| reply.status);
        if last != Some((status, is_read)) {
            record.note(format!("GET /lots/7c41e09b52d6a3f8 at {edge}: {status:?}, whole: {is_read}"));
            last = Some((status, is_read));
        }
        if is_read && started.elapsed() > Duration::from_secs(3) {
            return Ok(true);
        }
        if started.elapsed() > READ_TIME {
            break;
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.note(format!("the batch job cannot be read for {} s", READ_TIME.as_secs()));
    Ok(false)
}

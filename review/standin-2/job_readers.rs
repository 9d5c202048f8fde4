//! Many clients of a tenant request the body of one item at the same time.

use crate::CaseResult;
use crate::fleet::{Fleet, Record, call, configuration};
use crate::http::base64;
use crate::replica::Pace;
use crate::stored_jobs::{note_ends, wait_for_jobs};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An item takes 26 s, so that its body can be requested meanwhile.
const PACE: Pace = Pace {
    events: 176,
    event_bytes: 64,
    interval: Duration::from_millis(150),
};

/// The body of a job has at most 4 MiB, in base64.
const ITEM_BYTES: usize = 3_100_000;

/// The clients with the disruption and without.
const CROWD: usize = 90;
const FEW: usize = 3;

/// Clients read about twice a second.
const READ_INTERVAL: Duration = Duration::from_millis(500);
const READ_TIME: Duration = Duration::from_secs(20);

/// Clients wait 1.5 s longer than they allow.
const READ_TIMEOUT: Duration = Duration::from_millis(2_500);

pub fn run(record: &Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::start(record.clone()).map_err(|error| error.to_string())?;
    for _ in 0..3 {
        let added = fleet.add_replica("clerk", PACE);
        added.map_err(|error| error.to_string())?;
    }
    fleet.configure(&configuration(1, 1))?;
    fleet.wait_until_ready()?;
    let entries = fleet.entry_addresses();
    wait_for_jobs(&entries, record)?;
    let body = format!(
        "{{\"requests\":[{{\"id\":\"held-item\",\"path\":\"/letters/1\",\"headers\":{{\
         \"X-Model\":\"m\",\"X-Token-Usage\":\"350,176\"}},\"body\":\"{}\",\
         \"token-count\":526}}]}}",
        base64(&vec![7; ITEM_BYTES]),
    );
    let who = ("key1", "held-job");
    let time = Duration::from_secs(4);
    let accepted = call(
        entries[0],
        "POST",
        "/letters/job",
        who,
        body.as_bytes(),
        time,
    );
    let accepted = accepted.map_err(|error| error.to_string())?.status();
    record.note(&format!(
        "client: a job of {} bytes: {accepted}",
        body.len()
    ));
    if accepted != 202 {
        return Err("the job was not accepted".to_owned());
    }
    let clients = if has_trouble { CROWD } else { FEW };
    let counts = Mutex::new(std::collections::BTreeMap::new());
    let deadline = Instant::now() + READ_TIME;
    std::thread::scope(|scope| {
        for client in 0..clients {
            let (entry, counts) = (entries[client % entries.len()], &counts);
            scope.spawn(move || {
                while Instant::now() < deadline {
                    let path = "/items/held-job?id=held-item";
                    let read = call(entry, "GET", path, ("key1", "read"), b"", READ_TIMEOUT);
                    let read = read.map_or_else(
                        |error| error.to_string(),
                        |answer| format!("{} with {} bytes", answer.status(), answer.body.len()),
                    );
                    if let Ok(mut counts) = counts.lock() {
                        *counts.entry(read).or_insert(0u32) += 1;
                    }
                    std::thread::sleep(READ_INTERVAL);
                }
            });
        }
    });
    for (read, count) in counts.into_inner().unwrap_or_default() {
        record.note(&format!("client: {count} reads of the body: {read}"));
    }
    Ok(note_ends(&fleet, record) < 2)
}

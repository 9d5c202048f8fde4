//! One client submits large batch jobs at the usual rate and ends each of them at once. What
//! they leave fills the memory of the storage machines, whose processes end again and again.

use crate::fleet::{Fleet, Record};
use crate::servers::Terms;
use crate::world::{client, completed, large_job_body, read_job, start_with, submit};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

/// `memory-mb` of a storage machine of the site.
const MEMORY_MB: u64 = 130;

/// "A process that exits or is killed is restarted after a short delay."
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The limit on waiting tokens of the site.
const CAP: u64 = 1_000_000;

/// The site has 0.686 batch jobs a second.
const INTERVAL_MS: u64 = 1_458;

/// Bursts of the site: 6 times as many for 3 s.
const BURSTS: [u64; 3] = [10, 25, 40];
const BURST_INTERVAL_MS: u64 = INTERVAL_MS / 6;
const BURST_MS: u64 = 3_000;

const LOAD_TIME: Duration = Duration::from_secs(70);

const QUIET_TIME: Duration = Duration::from_secs(15);

const FIRST: &str = "77168f4a2bcd0c36";

/// Ends a process that uses more than its memory, and starts it again.
struct Platform {
    down: Vec<(String, Instant)>,
    ends: BTreeMap<String, u32>,
}

impl Platform {
    fn look(&mut self, fleet: &mut Fleet, record: &Record) {
        for name in fleet.names("storage") {
            if self.down.iter().any(|(down, _)| *down == name) {
                continue;
            }
            let used = fleet.used_mb(&name);
            let has_ended = fleet.has_ended(&name);
            if used > MEMORY_MB || has_ended {
                fleet.kill(&name);
                let ends = self.ends.entry(name.clone()).or_default();
                *ends += 1;
                if *ends <= 4 {
                    let cause = if has_ended { "ended" } else { "is killed" };
                    record.note(format!("{name} uses {used} MB and {cause}, the {ends}. time"));
                }
                self.down.push((name, Instant::now()));
            }
        }
        let is_due = |at: &Instant| at.elapsed() > RESTART_DELAY;
        let due: Vec<_> = self.down.extract_if(.., |(_, at)| is_due(at)).collect();
        for (name, _) in due {
            fleet.start(&name, false);
        }
    }

    /// Looks at the machines again and again, until a time.
    fn watch(&mut self, fleet: &mut Fleet, record: &Record, until: Instant) {
        loop {
            self.look(fleet, record);
            if Instant::now() >= until {
                return;
            }
            thread::sleep(Duration::from_millis(25));
        }
    }

    /// "on a tenth of the machines in use (two at least) [...] three times": two of nine.
    fn is_fault(&self) -> bool {
        self.ends.values().filter(|ends| **ends >= 3).count() >= 2
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let terms = || Terms { events: 5, pause: Duration::from_millis(20) };
    let (mut fleet, _runs, _servers) = start_with(record, terms, CAP, None, 3)?;
    let items: Vec<String> = (0..8).map(|number| format!("c{number:015x}")).collect();
    if !submit(&fleet, record, FIRST, &items, Duration::from_secs(10)) {
        return Err("the first batch job was not accepted".to_owned());
    }
    let is_read = |fleet: &Fleet, edge: &str| {
        let reply = read_job(fleet, edge, FIRST);
        reply.is_some_and(|reply| reply.status == 200 && completed(&reply) == items.len())
    };
    let started = Instant::now();
    while !is_read(&fleet, "edge-1") {
        if started.elapsed() > Duration::from_secs(15) {
            return Err("the first batch job did not complete".to_owned());
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.note("all 8 items of the first batch job are listed as completed");

    let mut platform = Platform { down: Vec::new(), ends: BTreeMap::new() };
    let (mut accepted, mut ended) = (0, 0);
    let mut answers: BTreeMap<String, u32> = BTreeMap::new();
    let started = Instant::now();
    let mut due_ms = 0;
    let mut number = 0;
    while started.elapsed() < LOAD_TIME {
        number += 1;
        let job = format!("88279{number:011x}");
        let body = large_job_body(&job);
        // Without a 202, "the same batch job arrives again, at another node".
        let (mut edge, mut status) = (String::new(), String::new());
        for attempt in 0..2 {
            edge = format!("edge-{}", 1 + (number + attempt) % 3);
            let path = format!("/digest/{job}");
            let sent = client(&fleet, &edge, "POST", &path, &job, &body, Duration::from_secs(4));
            status = sent.map_or_else(|| "none".to_owned(), |reply| reply.status.to_string());
            *answers.entry(status.clone()).or_default() += 1;
            if status == "202" {
                break;
            }
        }
        if status == "202" {
            accepted += 1;
            if trouble {
                let path = format!("/lots/{job}");
                let reply = client(&fleet, &edge, "DELETE", &path, "", "", Duration::from_secs(3));
                ended += u32::from(reply.is_some_and(|reply| reply.status == 200));
            }
        }
        let in_burst = |start: &u64| (start * 1_000..start * 1_000 + BURST_MS).contains(&due_ms);
        let is_burst = BURSTS.iter().any(in_burst);
        due_ms += if is_burst { BURST_INTERVAL_MS } else { INTERVAL_MS };
        platform.watch(&mut fleet, record, started + Duration::from_millis(due_ms));
        if number % 10 == 0 {
            let used: Vec<u64> =
                fleet.names("storage").iter().map(|name| fleet.used_mb(name)).collect();
            record.note(format!(
                "{number} batch jobs of {} bytes, answers {answers:?}, ended {ended}; the \
                 storage machines use {used:?} MB",
                body.len()
            ));
        }
    }
    record.note(format!("{accepted} batch jobs accepted, {ended} ended; no more are sent"));
    let started = Instant::now();
    let (mut reads, mut reads_done) = (0, 0);
    while started.elapsed() < QUIET_TIME {
        for edge in fleet.names("edge") {
            reads += 1;
            reads_done += u32::from(is_read(&fleet, &edge));
            platform.watch(&mut fleet, record, Instant::now() + Duration::from_millis(150));
        }
    }
    record.note(format!("{reads_done} of {reads} reads of the first batch job gave its results"));
    record.note(format!("processes that ended by themselves: {:?}", platform.ends));
    Ok(!platform.is_fault())
}

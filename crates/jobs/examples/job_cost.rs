//! Prints the cost of a job on one replica: log bytes, time and memory per item.
//!
//! Run with `cargo run --release -p chicoryladder-jobs --example job_cost --
//! <items>`. Run one process per size, since freed memory may stay resident.

use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, BodyBytes, FileStore, ItemDraft, ItemGrant, ItemParser, JobCommand,
    JobHeader, JobMachine, JobOutcome, JobShare, LeaseRequest, UnixMillis,
};
use chicoryladder_types::{ClassName, HostName, JobId, LogIndex, TeamName};
use std::error::Error;
use std::fs;
use std::time::{Duration, Instant};

const REQUEST_TEXT_BYTES: usize = 500;
const RESPONSE_TEXT_BYTES: usize = 700;
/// The number of items in one append command.
const APPEND_ITEMS: usize = 256;
/// The maximum number of items in one lease.
const LEASE_ITEMS: u32 = 64;
const JOB: JobId = JobId::new(1);
const START: UnixMillis = UnixMillis(1_000_000);

type BenchResult<T> = Result<T, Box<dyn Error>>;

/// Applies commands and measures their total cost.
struct CostMeter {
    machine: JobMachine,
    index: LogIndex,
    entries: usize,
    log_bytes: usize,
    elapsed: Duration,
}

/// The cost of one stage of a job: submit, lease or complete.
struct StageCost {
    entries: usize,
    log_bytes: usize,
    elapsed: Duration,
}

impl CostMeter {
    fn apply(&mut self, command: &JobCommand) -> BenchResult<JobOutcome> {
        self.entries += 1;
        self.log_bytes += postcard::to_stdvec(command)?.len();
        self.index = self.index.next();
        let began = Instant::now();
        let outcome = self.machine.apply(self.index, command);
        self.elapsed += began.elapsed();
        Ok(outcome)
    }

    fn take_stage(&mut self) -> StageCost {
        StageCost {
            entries: std::mem::take(&mut self.entries),
            log_bytes: std::mem::take(&mut self.log_bytes),
            elapsed: std::mem::take(&mut self.elapsed),
        }
    }
}

fn main() -> BenchResult<()> {
    let argument = std::env::args().nth(1).ok_or("usage: job_cost <items>")?;
    let items: usize = argument.parse()?;
    let folder = tempfile::tempdir()?;
    let mut meter = CostMeter {
        machine: JobMachine::new(Box::new(FileStore::open(folder.path())?)),
        index: LogIndex(0),
        entries: 0,
        log_bytes: 0,
        elapsed: Duration::ZERO,
    };
    let before = resident_kib()?;
    submit(&mut meter, items)?;
    let submitted = meter.take_stage();
    let after_submit = resident_kib()?;
    let (leased, completed) = run_items(&mut meter)?;
    let after_run = resident_kib()?;
    print_stage("submit", items, &submitted);
    print_stage("lease", items, &leased);
    print_stage("complete", items, &completed);
    print_memory(items, "after submit", after_submit.saturating_sub(before));
    print_memory(items, "after completion", after_run.saturating_sub(before));
    print_files(items, folder.path())?;
    print_snapshot(items, &meter.machine)
}

fn submit(meter: &mut CostMeter, items: usize) -> BenchResult<()> {
    let team = TeamName::try_from("letters")?;
    let now = START;
    meter.apply(&JobCommand::BeginUpload {
        job: JOB,
        team: team.clone(),
        now,
    })?;
    let mut parser = ItemParser::new();
    let mut parsing = Duration::ZERO;
    let mut parsed = Vec::new();
    let mut sent = 0;
    for item in 0..items {
        let line = request_line(item);
        let began = Instant::now();
        parser.push(line.as_bytes(), &mut parsed)?;
        parsing += began.elapsed();
        if parsed.len() == APPEND_ITEMS {
            sent = append(meter, sent, &mut parsed)?;
        }
    }
    sent = append(meter, sent, &mut parsed)?;
    let header = JobHeader {
        job: JOB,
        team,
        class: ClassName::try_from("lot")?,
        key: None,
        digest: parser.finish(&mut parsed)?,
        share: JobShare::default(),
        submitted_at: START,
        deadline_at: Some(START.after(Duration::from_secs(3600))),
        expires_at: START.after(Duration::from_secs(86_400)),
    };
    let item_count = sent;
    meter.apply(&JobCommand::CommitUpload { header, item_count })?;
    println!("{items} items: parse {} ns an item", nanos(parsing, items));
    Ok(())
}

fn append(
    meter: &mut CostMeter,
    first_item: u32,
    parsed: &mut Vec<chicoryladder_jobs::ItemRequest>,
) -> BenchResult<u32> {
    let drafts = parsed.drain(..).map(|request| ItemDraft {
        idempotent: true,
        request,
    });
    let items: Vec<ItemDraft> = drafts.collect();
    let next = first_item + u32::try_from(items.len())?;
    meter.apply(&JobCommand::AppendItems {
        job: JOB,
        first_item,
        items,
        now: START,
    })?;
    Ok(next)
}

fn run_items(meter: &mut CostMeter) -> BenchResult<(StageCost, StageCost)> {
    let response_text = "a".repeat(RESPONSE_TEXT_BYTES);
    let host = HostName::try_from("h1")?;
    let mut leased = meter.take_stage();
    let mut completed = meter.take_stage();
    let mut now = START;
    loop {
        now = now.after(Duration::from_millis(10));
        let request = LeaseRequest {
            host: host.clone(),
            limit: LEASE_ITEMS,
            excluded: Vec::new(),
            now,
            duration: Duration::from_secs(5),
        };
        let outcome = meter.apply(&JobCommand::LeaseItems(request))?;
        add(&mut leased, &meter.take_stage());
        let JobOutcome::Leased { grants, .. } = outcome else {
            return Err("no lease".into());
        };
        if grants.is_empty() {
            return Ok((leased, completed));
        }
        let reports = grants
            .iter()
            .map(|grant| report(grant, &response_text))
            .collect();
        meter.apply(&JobCommand::CompleteItems { reports, now })?;
        add(&mut completed, &meter.take_stage());
    }
}

fn report(grant: &ItemGrant, response_text: &str) -> AttemptReport {
    let body = format!(r#"{{"choices":[{{"text":"{response_text}"}}]}}"#);
    AttemptReport {
        attempt: grant.attempt,
        end: AttemptEnd::Answered {
            status: 200,
            body: BodyBytes(body.into_bytes()),
        },
    }
}

fn add(total: &mut StageCost, part: &StageCost) {
    total.entries += part.entries;
    total.log_bytes += part.log_bytes;
    total.elapsed += part.elapsed;
}

fn request_line(item: usize) -> String {
    let text = "r".repeat(REQUEST_TEXT_BYTES);
    format!(
        "{{\"custom_id\":\"letter-{item}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{{\"model\":\"clerk\",\"prompt\":\"{text}\"}}}}\n"
    )
}

fn print_stage(name: &str, items: usize, cost: &StageCost) {
    println!(
        "{items} items: {name}: {} entries, {} log bytes an item, {} ns an item",
        cost.entries,
        cost.log_bytes / items,
        nanos(cost.elapsed, items)
    );
}

fn print_memory(items: usize, stage: &str, kib: usize) {
    println!(
        "{items} items: memory {stage}: {kib} KiB, {} bytes an item",
        kib * 1024 / items
    );
}

fn print_files(items: usize, folder: &std::path::Path) -> BenchResult<()> {
    let mut bytes = 0;
    for entry in fs::read_dir(folder)? {
        bytes += entry?.metadata()?.len();
    }
    println!("{items} items: files: {bytes} bytes");
    Ok(())
}

fn print_snapshot(items: usize, machine: &JobMachine) -> BenchResult<()> {
    let began = Instant::now();
    let snapshot = machine.snapshot()?;
    println!(
        "{items} items: snapshot: {} bytes in {} ms",
        snapshot.len(),
        began.elapsed().as_millis()
    );
    Ok(())
}

fn nanos(elapsed: Duration, items: usize) -> u128 {
    elapsed.as_nanos() / items as u128
}

/// The resident memory of the process, in KiB.
fn resident_kib() -> BenchResult<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.ok_or("no VmRSS")?.trim().trim_end_matches(" kB");
    Ok(text.parse()?)
}

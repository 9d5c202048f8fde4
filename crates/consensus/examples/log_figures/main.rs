//! Measures the replicated log on a real disk with complete consensus replicas in one
//! process, and prints all figures of one run.
//!
//! `cargo run --release -p chicoryladder-consensus --example log_figures`

mod group;

use group::LocalGroup;
use std::io::Write;
use std::time::{Duration, Instant};

/// The numbers of commands that are committed together.
const DEPTHS: [usize; 4] = [1, 8, 64, 256];
/// The duration of the measurement for one row of a table.
const ROW_TIME: Duration = Duration::from_secs(1);
/// The number of measured elections.
const ELECTIONS: usize = 40;
/// The numbers of entries in the recovered logs.
const LOG_LENGTHS: [usize; 3] = [1_000, 10_000, 100_000];

fn main() {
    sync_table();
    commit_table();
    election_table();
    recovery_table();
}

fn percentile(sorted: &[Duration], percent: usize) -> f64 {
    let position = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted
        .get(position)
        .map_or(f64::NAN, |time| time.as_secs_f64() * 1_000.0)
}

/// Measures the disk without consensus: one append of 256 bytes and one sync at a time.
fn sync_table() {
    let mut file = tempfile::tempfile().expect("a temporary file");
    let mut times = Vec::new();
    let begin = Instant::now();
    while begin.elapsed() < ROW_TIME {
        let start = Instant::now();
        file.write_all(&[7; 256]).expect("a successful write");
        file.sync_data().expect("a successful sync");
        times.push(start.elapsed());
    }
    times.sort_unstable();
    let (p50, p99) = (percentile(&times, 50), percentile(&times, 99));
    println!("disk alone: p50 {p50:.3} ms, p99 {p99:.3} ms a sync");
}

/// Measures commits of 256-byte commands by three seats, each with its own files.
fn commit_table() {
    println!("depth  commits/s  p50 ms  p99 ms  ratio to depth 1");
    let mut base = None;
    for depth in DEPTHS {
        let mut group = LocalGroup::start(3);
        group.elect();
        let mut times = Vec::new();
        let begin = Instant::now();
        while begin.elapsed() < ROW_TIME {
            let start = Instant::now();
            group.commit(depth);
            times.push(start.elapsed());
        }
        let seconds = begin.elapsed().as_secs_f64();
        let commits = u32::try_from(times.len() * depth).map_or(f64::NAN, f64::from);
        let rate = commits / seconds;
        times.sort_unstable();
        let ratio = rate / *base.get_or_insert(rate);
        let (p50, p99) = (percentile(&times, 50), percentile(&times, 99));
        println!("{depth:>5}  {rate:>9.0}  {p50:>6.2}  {p99:>6.2}  {ratio:.1}");
    }
}

/// Measures the simulated time from a leader failure until the next leader may serve
/// reads, with the default timers and no network delay.
fn election_table() {
    let mut times: Vec<Duration> = (0..ELECTIONS)
        .map(|_| {
            let mut group = LocalGroup::start(3);
            group.elect();
            group.commit(1);
            group.remove_leader();
            group.elect()
        })
        .collect();
    times.sort_unstable();
    let (p50, p99) = (percentile(&times, 50), percentile(&times, 99));
    println!("election after a loss: p50 {p50:.0} ms, p99 {p99:.0} ms of simulated time");
}

/// Measures the time to recover a log without a snapshot.
fn recovery_table() {
    println!("entries  recovery ms  bytes on disk");
    for length in LOG_LENGTHS {
        let mut group = LocalGroup::start(1);
        group.elect();
        for _ in 0..length / 100 {
            group.commit(100);
        }
        let bytes = group.disk_bytes();
        let time = group.reopen();
        println!(
            "{length:>7}  {:>11.1}  {bytes}",
            time.as_secs_f64() * 1_000.0
        );
    }
}

//! Measures the control-plane overhead per host: messages, bytes, CPU time and
//! memory while idle and under configuration changes, and the time until a change
//! is in force on every host.
//!
//! ```sh
//! cargo run --release -p chicoryladder-host --example control_cost -- 3 9 27
//! ```
//!
//! All hosts share one process, so CPU time and memory are means over the hosts and
//! include the overhead of the process itself. Three hosts have disks, regardless
//! of the number of hosts.

mod fleet;
mod process;

use fleet::CostFleet;
use process::ProcessUsage;
use std::time::{Duration, Instant};

/// The duration of the measurement in each state.
const MEASURE_TIME: Duration = Duration::from_secs(15);

/// The time between the start of a fleet and its first measurement, in which initial
/// traffic such as the election ends.
const WARMUP_TIME: Duration = Duration::from_secs(3);

/// The number of configuration changes per day that the system is designed for.
const CHANGES_PER_DAY: f64 = 56_000.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// The mean cost per host over one measurement.
struct HostCost {
    messages_per_second: f64,
    bytes_per_second: f64,
    core_percent: f64,
    memory_mib: f64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("hosts  state     messages/s  bytes/s   core %  MiB   in force ms p50 / max");
    for count in std::env::args().skip(1) {
        let fleet = CostFleet::start(count.parse()?).await?;
        tokio::time::sleep(WARMUP_TIME).await;
        let idle = measure(&fleet, async { Ok(()) }).await?;
        print_row(fleet.len(), "idle", &idle, "");
        let mut delays = Vec::new();
        let changing = measure(&fleet, apply_changes(&fleet, &mut delays)).await?;
        delays.sort_unstable();
        let median = delays.get(delays.len() / 2).copied().unwrap_or_default();
        let maximum = delays.last().copied().unwrap_or_default();
        let text = format!("{} / {}", median.as_millis(), maximum.as_millis());
        print_row(fleet.len(), "changing", &changing, &text);
        fleet.stop().await;
    }
    Ok(())
}

/// Runs `work` for one measurement and returns the means over the hosts.
async fn measure(
    fleet: &CostFleet,
    work: impl Future<Output = Result<(), Box<dyn std::error::Error>>>,
) -> Result<HostCost, Box<dyn std::error::Error>> {
    let sent = fleet.sent();
    let earlier = ProcessUsage::now()?;
    let started = Instant::now();
    work.await?;
    tokio::time::sleep(MEASURE_TIME.saturating_sub(started.elapsed())).await;
    let seconds = started.elapsed().as_secs_f64();
    let sent = fleet.sent().since(sent);
    let later = ProcessUsage::now()?;
    let hosts = as_f64(fleet.len() as u64);
    Ok(HostCost {
        messages_per_second: as_f64(sent.messages) / seconds / hosts,
        bytes_per_second: as_f64(sent.bytes) / seconds / hosts,
        core_percent: (later.core_seconds - earlier.core_seconds) / seconds / hosts * 100.0,
        memory_mib: later.resident_mib / hosts,
    })
}

/// Applies changes at the designed rate for one measurement.
async fn apply_changes(
    fleet: &CostFleet,
    delays: &mut Vec<Duration>,
) -> Result<(), Box<dyn std::error::Error>> {
    let gap = Duration::from_secs_f64(SECONDS_PER_DAY / CHANGES_PER_DAY);
    let started = Instant::now();
    let mut ticks = tokio::time::interval(gap);
    while started.elapsed() < MEASURE_TIME {
        ticks.tick().await;
        delays.push(fleet.apply_change().await?);
    }
    Ok(())
}

fn print_row(hosts: usize, state: &str, cost: &HostCost, delays: &str) {
    println!(
        "{hosts:>5}  {state:<8}  {:>10.1}  {:>7.0}  {:>6.2}  {:>5.1}   {delays}",
        cost.messages_per_second, cost.bytes_per_second, cost.core_percent, cost.memory_mib,
    );
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(count: u64) -> f64 {
    count as f64
}

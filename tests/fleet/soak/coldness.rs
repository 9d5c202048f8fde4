//! Servers that become cold, and the bound on the requests that reach them meanwhile.

use super::Observations;
use crate::servers::Server;
use crate::world::ProcessFleet;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The requests a second that a cold server sustains.
const COLD_PER_SECOND: f64 = 4.0;

/// The most requests that may reach a cold server within a second: 4 * 1.5 + 5.
const COLD_BOUND: usize = 11;

/// The span over which they are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// How long servers are cold after a start.
const COLD_START: Duration = Duration::from_secs(4);

/// The shortest and longest time for which a server is cold while it runs, in milliseconds.
const SPELL_MIN_MS: u64 = 2_000;
const SPELL_MAX_MS: u64 = 4_000;

/// The time, from the acknowledgement of a check-in that tells that a server is cold, within which
/// all hosts know it: two intervals at which hosts sync.
const KNOWN_TIME: Duration = Duration::from_millis(700);

/// Adds the terms of cold servers to the services of a plan.
pub(super) fn add_cold_terms(plan: &mut Value) {
    for service in plan["services"].as_array_mut().expect("a list") {
        service["cold-start-s"] = json!(COLD_START.as_secs_f64());
        service["cold-per-s"] = json!(COLD_PER_SECOND);
    }
}

/// Lets one, some or all of the servers become cold for a while, again and again, from `begin_at`
/// until `deadline`. From then on, servers that start are cold as well.
pub(super) async fn run_cold_spells(
    servers: Vec<Server>,
    mut rng: ChaCha8Rng,
    begin_at: Instant,
    deadline: Instant,
) {
    tokio::time::sleep_until(begin_at.into()).await;
    for server in &servers {
        server.set_cold_after_start(COLD_START);
    }
    while Instant::now() < deadline {
        let count = match rng.random_range(0..3) {
            0 => 1,
            1 => rng.random_range(1..=servers.len()),
            _ => servers.len(),
        };
        let first = rng.random_range(0..servers.len());
        for server in servers.iter().cycle().skip(first).take(count) {
            let time = rng.random_range(SPELL_MIN_MS..=SPELL_MAX_MS);
            server.become_cold(Duration::from_millis(time));
        }
        let next_at = Instant::now() + Duration::from_millis(rng.random_range(500..4_000));
        tokio::time::sleep_until(next_at.min(deadline).into()).await;
    }
    for server in &servers {
        server.set_cold_after_start(Duration::ZERO);
    }
}

/// Checks that no server got more requests in any second than a cold one may get, while it was
/// cold and this was known. Returns the number of spells that were known, and the most requests
/// within a second.
pub(super) fn check_coldness(fleet: &ProcessFleet, observations: &Observations) -> (usize, usize) {
    let runs = fleet.runs.all();
    let (mut known, mut most) = (0, 0);
    for server in &fleet.servers {
        for spell in server.all_cold_spells() {
            let Some(told_at) = spell.told_at else {
                continue;
            };
            let span = told_at + KNOWN_TIME..spell.until;
            let of_spell = runs
                .iter()
                .filter(|run| run.server == server.name && span.contains(&run.at));
            let times: Vec<Instant> = of_spell.map(|run| run.at).collect();
            let in_window = |first: &Instant| {
                let window = *first..*first + COLD_WINDOW;
                times.iter().filter(|at| window.contains(at)).count()
            };
            let worst = times.iter().map(|first| (in_window(first), *first)).max();
            let (count, first) = worst.unwrap_or((0, span.start));
            known += usize::from(!span.is_empty());
            most = most.max(count);
            if count > COLD_BOUND {
                observations.record_violation(format!(
                    "{} got {count} requests within {COLD_WINDOW:?} while it was cold: from \
                     {:?} after this was told, {:?} after it began, {:?} before it ended",
                    server.name,
                    first - told_at,
                    first - spell.since,
                    spell.until - first,
                ));
            }
        }
    }
    (known, most)
}

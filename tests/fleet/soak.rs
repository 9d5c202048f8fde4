//! A randomized soak test: injects overlapping faults into a fleet while callers,
//! operators and jobs are active, and checks what callers and servers observed against
//! the guarantees of the system.
//!
//! `FLEET_SOAK_SEEDS` sets the seeds (a range such as `10..60`, or a list), and
//! `FLEET_SOAK_SECONDS` the duration per seed. By default, `SHORT_SEED` and the seeds in
//! `REGRESSIONS`, which failed before, run for `SHORT_SECONDS` each.

use crate::servers::{LEAVING_FIELD, Server, event_data, stream_text};
use crate::unframed::CRASHING_SEGMENT;
use crate::world::{ProcessFleet, Role};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Seeds that failed before, with the causes.
const REGRESSIONS: &[(u64, &str)] = &[(
    302,
    "a control host that a new leader listed alone never asked the seeds again",
)];

/// The default seed and duration, as run in CI.
const SHORT_SEED: u64 = 1;
const SHORT_SECONDS: u64 = 8;

/// The number of events per stream and per batch item.
const STREAM_EVENTS: u64 = 12;
const ITEM_EVENTS: u64 = 40;

/// The time within which requests that wait when a host learns of a departure may still
/// reach the server.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(Role),
    Wipe(Role),
    Pause(Role),
    Stop(Role),
    Cut { both_ways: bool },
    Reset,
    Delay,
}

fn draw_fault(rng: &mut ChaCha8Rng) -> Fault {
    let role = [Role::Control, Role::Store, Role::Entry][rng.random_range(0..3)];
    let with_disk = [Role::Control, Role::Store][rng.random_range(0..2)];
    match rng.random_range(0..8) {
        0 => Fault::Kill(role),
        1 => Fault::Wipe(with_disk),
        2 => Fault::Pause(role),
        3 => Fault::Stop(role),
        4 => Fault::Cut { both_ways: true },
        5 => Fault::Cut { both_ways: false },
        6 => Fault::Reset,
        _ => Fault::Delay,
    }
}

/// What callers observed, to compare with what servers ran.
#[derive(Clone, Default)]
struct Observations {
    /// Requests that may run at most once, and whether the response guaranteed that the
    /// request has not run.
    at_most_once: Arc<Mutex<Vec<(String, bool)>>>,
    violations: Arc<Mutex<Vec<String>>>,
    served: Arc<Mutex<u32>>,
    /// The responses that said that their server leaves: the entry host, the signature of
    /// the server and the time.
    departures: Arc<Mutex<Vec<(String, String, Instant)>>>,
    /// The entry hosts that were paused or restarted, which may forget departures.
    interruptions: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Observations {
    fn record_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }
}

fn lock<T>(value: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests of every kind to every entry host until `deadline`.
fn start_callers(
    fleet: &ProcessFleet,
    observations: &Observations,
    deadline: Instant,
    tasks: &mut JoinSet<()>,
) {
    for entry in fleet.host_names(Role::Entry) {
        for kind in ["walk", "rules", "ping", "charge", "crash"] {
            let path = match kind {
                "walk" | "rules" => format!("/{kind}/{STREAM_EVENTS}"),
                "crash" => format!("/walk/{STREAM_EVENTS}"),
                _ => format!("/{kind}/1"),
            };
            let template = fleet.caller_request(&entry, &path, "");
            let (observations, entry) = (observations.clone(), entry.clone());
            tasks.spawn(async move {
                for number in 0u32.. {
                    if Instant::now() > deadline {
                        return;
                    }
                    let id = format!("{entry}-{kind}-{number}");
                    let mut call = template.clone();
                    call.fields.retain(|(name, _)| *name != "x-request-id");
                    let mut call = call.field("x-prompt-prefix", &prompt(kind, number));
                    if kind == "crash" {
                        call = call.body(format!("crashing question {number}"));
                    }
                    let answer = call.field("x-request-id", &id).send().await;
                    record_departure(&observations, &entry, answer.as_ref());
                    check_answer(&observations, kind, &id, answer.as_ref());
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
            });
        }
    }
}

/// The segments of a prompt. Requests of the kind `crash` differ, but share one on which
/// servers crash.
fn prompt(kind: &str, number: u32) -> String {
    let shared = if kind == "crash" {
        CRASHING_SEGMENT
    } else {
        "5"
    };
    format!("1:10,{shared}:10,a{number:x}:10")
}

fn record_departure(
    observations: &Observations,
    entry: &str,
    answer: Option<&crate::client::Answer>,
) {
    let leaving = answer.filter(|answer| answer.headers.contains_key(LEAVING_FIELD));
    let stamp = leaving.and_then(|answer| answer.headers.get("x-server-stamp"));
    if let Some(stamp) = stamp.and_then(|stamp| stamp.to_str().ok()) {
        let departure = (entry.to_owned(), stamp.to_owned(), Instant::now());
        lock(&observations.departures).push(departure);
    }
}

/// Lets one server at a time say in its responses that it leaves, and restarts it.
async fn run_departures(servers: Vec<Server>, seed: u64, deadline: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    while Instant::now() < deadline {
        let server = &servers[rng.random_range(0..servers.len())];
        server.start_leaving_in_answers();
        tokio::time::sleep(Duration::from_millis(rng.random_range(1_000..2_500))).await;
        server.restart();
    }
}

/// Checks that no request reached a server after its entry host had passed on a response
/// that said that the server leaves, unless the host was interrupted since.
fn check_departures(fleet: &ProcessFleet, observations: &Observations) {
    let interruptions = lock(&observations.interruptions).clone();
    for (entry, stamp, passed_at) in lock(&observations.departures).iter() {
        let is_late = |run: &&crate::servers::Run| {
            run.id.starts_with(entry)
                && *stamp == format!("stamp-{}-{}", run.server, run.incarnation)
                && run.at > *passed_at + DRAIN_TIME
        };
        for run in fleet.runs.all().iter().filter(is_late) {
            let is_excused = interruptions
                .iter()
                .any(|(host, at)| host == entry && (*passed_at..run.at).contains(at));
            if !is_excused {
                let text = format!("{} reached the leaving {stamp}", run.id);
                observations.record_violation(text);
            }
        }
    }
}

fn check_answer(
    observations: &Observations,
    kind: &str,
    id: &str,
    answer: Option<&crate::client::Answer>,
) {
    let not_run = answer.is_some_and(crate::client::Answer::guarantees_not_run);
    if kind != "crash" && answer.is_some_and(|answer| answer.text().contains("\"quarantined\"")) {
        observations.record_violation(format!("{id} is sound, but was quarantined"));
    }
    if matches!(kind, "walk" | "charge" | "crash") {
        lock(&observations.at_most_once).push((id.to_owned(), not_run));
    }
    let Some(answer) = answer.filter(|answer| answer.status.is_success()) else {
        return;
    };
    let expected = match kind {
        "walk" | "rules" | "crash" => stream_text(id, STREAM_EVENTS),
        _ => format!("{id}:10"),
    };
    let text = answer.text();
    if answer.complete && text != expected {
        observations.record_violation(format!("{id} got the wrong response {text:?}"));
    }
    if !answer.complete && !expected.starts_with(&text) {
        observations.record_violation(format!("{id} was truncated to the wrong prefix {text:?}"));
    }
    *lock(&observations.served) += u32::from(answer.complete);
}

/// Runs the soak test with one seed.
async fn run_seed(seed: u64, length: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = ProcessFleet::start().await;
    let observations = Observations::default();
    let deadline = Instant::now() + length;
    let mut callers = JoinSet::new();
    start_callers(&fleet, &observations, deadline, &mut callers);
    callers.spawn(run_departures(fleet.servers.clone(), seed, deadline));
    let mut jobs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut acknowledged = 0;
    let mut wiped_at: HashMap<&str, Instant> = HashMap::new();
    let mut injected = Vec::new();
    while Instant::now() < deadline {
        submit_job(&fleet, &mut jobs).await;
        acknowledged = change_plan(&mut fleet, acknowledged, &observations).await;
        let fault = draw_fault(&mut rng);
        injected.push(format!("{fault:?}"));
        let interrupted = inject_fault(&mut fleet, fault, &mut rng, &mut wiped_at).await;
        let interrupted = interrupted.map(|host| (host, Instant::now()));
        lock(&observations.interruptions).extend(interrupted);
        let pause = rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        fleet.faults.heal();
    }
    while callers.join_next().await.is_some() {}
    fleet.faults.heal();
    check_final_state(&fleet, &jobs, acknowledged, &observations).await;
    check_departures(&fleet, &observations);
    let violations = lock(&observations.violations).clone();
    if !violations.is_empty() {
        fleet.save_logs();
        panic!("seed {seed}: {violations:#?}\nafter {injected:#?}");
    }
    let served = *lock(&observations.served);
    assert!(served > 0, "seed {seed}: nothing was served");
    println!(
        "seed {seed}: {served} served, {} jobs, {} faults",
        jobs.len(),
        injected.len()
    );
}

async fn submit_job(fleet: &ProcessFleet, jobs: &mut BTreeMap<String, Vec<String>>) {
    let job = format!("job-{}", jobs.len());
    let items: Vec<String> = (0..4).map(|n| format!("{job}-item-{n}")).collect();
    for entry in fleet.host_names(Role::Entry) {
        let answer = fleet.submit(&entry, &job, &items, ITEM_EVENTS).await;
        if answer.is_some_and(|answer| answer.status.as_u16() == 202) {
            jobs.insert(job, items);
            return;
        }
    }
}

/// Replaces the plan and checks that no control host returns a version older than the
/// last acknowledged one; returns the latter.
async fn change_plan(
    fleet: &mut ProcessFleet,
    acknowledged: u64,
    observations: &Observations,
) -> u64 {
    let plan = fleet.next_plan(&["k1"]);
    let version = plan["version"].as_u64().expect("a version");
    let apply = tokio::time::timeout(Duration::from_millis(1_500), fleet.apply_plan(&plan));
    let acknowledged = if apply.await.is_ok() {
        version
    } else {
        acknowledged
    };
    for name in fleet.host_names(Role::Control) {
        let reading = tokio::time::timeout(Duration::from_millis(300), fleet.read_version(&name));
        if let Ok(Some(read)) = reading.await
            && read < acknowledged
        {
            observations
                .record_violation(format!("{name} read version {read} after {acknowledged}"));
        }
    }
    acknowledged
}

/// Injects a fault. Returns the host that it paused or restarted.
async fn inject_fault(
    fleet: &mut ProcessFleet,
    fault: Fault,
    rng: &mut ChaCha8Rng,
    wiped_at: &mut HashMap<&'static str, Instant>,
) -> Option<String> {
    let mut pick = |fleet: &ProcessFleet, role| {
        let names = fleet.host_names(role);
        names[rng.random_range(0..names.len())].clone()
    };
    match fault {
        Fault::Kill(role) => {
            let name = pick(fleet, role);
            fleet.kill(&name);
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.start_process(&name, false);
            return Some(name);
        }
        Fault::Wipe(role) => {
            // Each group tolerates the loss of one disk at a time and needs time to repair
            // its membership before the next.
            let group = if role == Role::Control {
                "control"
            } else {
                "store"
            };
            let recovered = |at: &Instant| at.elapsed() > Duration::from_secs(6);
            if wiped_at.get(group).is_none_or(recovered) {
                wiped_at.insert(group, Instant::now());
                let name = pick(fleet, role);
                fleet.kill(&name);
                fleet.delete_data(&name);
                fleet.start_process(&name, false);
            }
        }
        Fault::Pause(role) => {
            let name = pick(fleet, role);
            fleet.send_signal(&name, "STOP");
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            fleet.send_signal(&name, "CONT");
            return Some(name);
        }
        Fault::Stop(role) => {
            let name = pick(fleet, role);
            fleet.send_signal(&name, "TERM");
            tokio::time::sleep(Duration::from_millis(400)).await;
            if role == Role::Entry {
                fleet.wait_for_exit(&name).await;
            } else {
                fleet.kill(&name);
            }
            fleet.start_process(&name, false);
            return Some(name);
        }
        Fault::Cut { both_ways } => {
            let role = [Role::Control, Role::Store][usize::from(both_ways)];
            let (a, b) = (pick(fleet, role), pick(fleet, Role::Control));
            fleet.faults.cut(&a, &b);
            if both_ways {
                fleet.faults.cut(&b, &a);
            }
        }
        Fault::Reset => {
            let name = pick(fleet, Role::Control);
            fleet.faults.reset(&name);
        }
        Fault::Delay => fleet.faults.delay(Duration::from_millis(40)),
    }
    None
}

/// Checks the final state: every item of every job has one correct result, no plan is
/// older than the acknowledged one, no request ran more often than allowed, and no key
/// reached a server.
async fn check_final_state(
    fleet: &ProcessFleet,
    jobs: &BTreeMap<String, Vec<String>>,
    acknowledged: u64,
    observations: &Observations,
) {
    let entry = fleet.host_names(Role::Entry)[0].clone();
    for (job, items) in jobs {
        fleet
            .wait_until("every item of every job ends", || async {
                let results = fleet.read_results(&entry, job).await;
                results.is_some_and(|results| results.len() == items.len())
            })
            .await;
        let results = fleet.read_results(&entry, job).await.unwrap_or_default();
        for (id, text) in &results {
            let expected: Vec<String> = (0..ITEM_EVENTS).map(|n| event_data(id, n)).collect();
            if *text != expected.join("\n") || !items.contains(id) {
                observations
                    .record_violation(format!("{job} has a wrong result for {id}: {text:?}"));
            }
        }
        let mut ids: Vec<&String> = results.iter().map(|(id, _)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        if ids.len() != items.len() {
            observations.record_violation(format!("{job} has two results for an item"));
        }
    }
    for name in fleet.host_names(Role::Control) {
        fleet
            .wait_until("the plan is read", || async {
                fleet.read_version(&name).await.is_some()
            })
            .await;
        let read = fleet.read_version(&name).await;
        if read.is_some_and(|read| read < acknowledged) {
            observations.record_violation(format!(
                "{name} has version {read:?} at the end, but {acknowledged} was acknowledged"
            ));
        }
    }
    for (id, not_run) in lock(&observations.at_most_once).iter() {
        let runs = fleet.runs.runs_of(id).len();
        if runs > 1 || (*not_run && runs > 0) {
            observations.record_violation(format!(
                "{id} ran {runs} times, reported as not run: {not_run}"
            ));
        }
    }
    for run in fleet.runs.all().iter().filter(|run| run.had_key) {
        observations.record_violation(format!("a key reached {} with {}", run.server, run.id));
    }
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("FLEET_SOAK_SEEDS") else {
        let regressions = REGRESSIONS.iter().map(|(seed, _)| *seed);
        return std::iter::once(SHORT_SEED).chain(regressions).collect();
    };
    let number = |text: &str| text.trim().parse().expect("a seed is a number");
    match text.split_once("..") {
        Some((first, end)) => (number(first)..number(end)).collect(),
        None => text.split(',').map(number).collect(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee() {
    let seconds = std::env::var("FLEET_SOAK_SECONDS").ok();
    let seconds = seconds.map_or(SHORT_SECONDS, |text| text.parse().expect("a number"));
    for seed in seeds() {
        run_seed(seed, Duration::from_secs(seconds)).await;
    }
}

//! A randomized soak: faults come in series and overlap while callers, operators and
//! jobs go on, and what callers and servers see is held against the promises.
//!
//! `FLEET_SOAK_SEEDS` names the seeds (a range such as `10..60`, or a list), and
//! `FLEET_SOAK_SECONDS` the length of each run. Without them one short run is played.
//! `REGRESSIONS` are the seeds that failed once.

use crate::servers::{event_data, stream_text};
use crate::world::{Role, World};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Seeds that failed once, with their causes.
const REGRESSIONS: &[(u64, &str)] = &[];

/// The seed and length of the run in CI.
const SHORT_SEED: u64 = 1;
const SHORT_SECONDS: u64 = 8;

/// Events of a stream and of an item.
const STREAM_EVENTS: u64 = 12;
const ITEM_EVENTS: u64 = 40;

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    Kill(Role),
    Wipe(Role),
    Pause(Role),
    Stop(Role),
    Cut { both_ways: bool },
    Reset,
    Delay,
}

fn draw_trouble(rng: &mut ChaCha8Rng) -> Trouble {
    let role = [Role::Control, Role::Store, Role::Entry][rng.random_range(0..3)];
    let counted = [Role::Control, Role::Store][rng.random_range(0..2)];
    match rng.random_range(0..8) {
        0 => Trouble::Kill(role),
        1 => Trouble::Wipe(counted),
        2 => Trouble::Pause(role),
        3 => Trouble::Stop(role),
        4 => Trouble::Cut { both_ways: true },
        5 => Trouble::Cut { both_ways: false },
        6 => Trouble::Reset,
        _ => Trouble::Delay,
    }
}

/// What callers saw, to be held against what servers ran.
#[derive(Clone, Default)]
struct Seen {
    /// Requests that may run once, and those that were said not to have run.
    single: Arc<Mutex<Vec<(String, bool)>>>,
    faults: Arc<Mutex<Vec<String>>>,
    served: Arc<Mutex<u32>>,
}

impl Seen {
    fn fault(&self, text: String) {
        lock(&self.faults).push(text);
    }
}

fn lock<T>(value: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends requests of every kind until `until`.
fn start_callers(world: &World, seen: &Seen, until: Instant, tasks: &mut JoinSet<()>) {
    for entry in world.names(Role::Entry) {
        for kind in ["walk", "rules", "ping", "charge"] {
            let events = match kind {
                "walk" | "rules" => STREAM_EVENTS,
                _ => 1,
            };
            let path = format!("/{kind}/{events}");
            let template = world.ask(&entry, &path, "");
            let (seen, entry) = (seen.clone(), entry.clone());
            tasks.spawn(async move {
                for number in 0u32.. {
                    if Instant::now() > until {
                        return;
                    }
                    let id = format!("{entry}-{kind}-{number}");
                    let mut call = template.clone();
                    call.fields.retain(|(name, _)| *name != "x-request-id");
                    let answer = call.field("x-request-id", &id).send().await;
                    check_answer(&seen, kind, &id, answer.as_ref());
                    tokio::time::sleep(Duration::from_millis(30)).await;
                }
            });
        }
    }
}

fn check_answer(seen: &Seen, kind: &str, id: &str, answer: Option<&crate::client::Answer>) {
    let not_run = answer.is_some_and(crate::client::Answer::promises_not_run);
    if matches!(kind, "walk" | "charge") {
        lock(&seen.single).push((id.to_owned(), not_run));
    }
    let Some(answer) = answer.filter(|answer| answer.status.is_success()) else {
        return;
    };
    let expected = match kind {
        "walk" | "rules" => stream_text(id, STREAM_EVENTS),
        _ => format!("{id}:10"),
    };
    let text = answer.text();
    if answer.whole && text != expected {
        seen.fault(format!("{id} was answered {text:?}"));
    }
    if !answer.whole && !expected.starts_with(&text) {
        seen.fault(format!("{id} broke off behind {text:?}"));
    }
    *lock(&seen.served) += u32::from(answer.whole);
}

/// Plays one seed.
async fn soak(seed: u64, length: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::start().await;
    let record = Seen::default();
    let until = Instant::now() + length;
    let mut callers = JoinSet::new();
    start_callers(&world, &record, until, &mut callers);
    let mut jobs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut acknowledged = 0;
    let mut wiped_at: HashMap<&str, Instant> = HashMap::new();
    let mut trail = Vec::new();
    while Instant::now() < until {
        submit_job(&world, &mut jobs).await;
        acknowledged = change_plan(&mut world, acknowledged, &record).await;
        let trouble = draw_trouble(&mut rng);
        trail.push(format!("{trouble:?}"));
        make_trouble(&mut world, trouble, &mut rng, &mut wiped_at).await;
        let pause = rng.random_range(100..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        world.faults.heal();
    }
    while callers.join_next().await.is_some() {}
    world.faults.heal();
    check_end(&world, &jobs, acknowledged, &record).await;
    let faults = lock(&record.faults).clone();
    if !faults.is_empty() {
        world.keep_logs();
        panic!("seed {seed}: {faults:#?}\nafter {trail:#?}");
    }
    let served = *lock(&record.served);
    assert!(served > 0, "seed {seed}: nothing was served");
    println!(
        "seed {seed}: {served} served, {} jobs, {} troubles",
        jobs.len(),
        trail.len()
    );
}

async fn submit_job(world: &World, jobs: &mut BTreeMap<String, Vec<String>>) {
    let job = format!("job-{}", jobs.len());
    let items: Vec<String> = (0..4).map(|n| format!("{job}-item-{n}")).collect();
    for entry in world.names(Role::Entry) {
        let answer = world.submit(&entry, &job, &items, ITEM_EVENTS).await;
        if answer.is_some_and(|answer| answer.status.as_u16() == 202) {
            jobs.insert(job, items);
            return;
        }
    }
}

/// Replaces the plan, and reads it back at every control host.
async fn change_plan(world: &mut World, acknowledged: u64, seen: &Seen) -> u64 {
    let plan = world.plan(&["k1"]);
    let version = plan["version"].as_u64().expect("a version");
    let apply = tokio::time::timeout(Duration::from_millis(1_500), world.apply(&plan));
    let acknowledged = if apply.await.is_ok() {
        version
    } else {
        acknowledged
    };
    for name in world.names(Role::Control) {
        let reading = tokio::time::timeout(Duration::from_millis(300), world.read_version(&name));
        if let Ok(Some(read)) = reading.await
            && read < acknowledged
        {
            seen.fault(format!("{name} read version {read} after {acknowledged}"));
        }
    }
    acknowledged
}

async fn make_trouble(
    world: &mut World,
    trouble: Trouble,
    rng: &mut ChaCha8Rng,
    wiped_at: &mut HashMap<&'static str, Instant>,
) {
    let mut pick = |world: &World, role| {
        let names = world.names(role);
        names[rng.random_range(0..names.len())].clone()
    };
    match trouble {
        Trouble::Kill(role) => {
            let name = pick(world, role);
            world.kill(&name);
            tokio::time::sleep(Duration::from_millis(200)).await;
            world.launch(&name, false);
        }
        Trouble::Wipe(role) => {
            // One disk at a time is borne, with the time to mend after it.
            let group = if role == Role::Control {
                "control"
            } else {
                "store"
            };
            let mended = |at: &Instant| at.elapsed() > Duration::from_secs(6);
            if wiped_at.get(group).is_none_or(mended) {
                wiped_at.insert(group, Instant::now());
                let name = pick(world, role);
                world.kill(&name);
                world.wipe(&name);
                world.launch(&name, false);
            }
        }
        Trouble::Pause(role) => {
            let name = pick(world, role);
            world.signal(&name, "STOP");
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            world.signal(&name, "CONT");
        }
        Trouble::Stop(role) => {
            let name = pick(world, role);
            world.signal(&name, "TERM");
            tokio::time::sleep(Duration::from_millis(400)).await;
            if role == Role::Entry {
                world.until_ended(&name).await;
            } else {
                world.kill(&name);
            }
            world.launch(&name, false);
        }
        Trouble::Cut { both_ways } => {
            let role = [Role::Control, Role::Store][usize::from(both_ways)];
            let (a, b) = (pick(world, role), pick(world, Role::Control));
            world.faults.cut(&a, &b);
            if both_ways {
                world.faults.cut(&b, &a);
            }
        }
        Trouble::Reset => {
            let name = pick(world, Role::Control);
            world.faults.reset(&name);
        }
        Trouble::Delay => world.faults.delay(Duration::from_millis(40)),
    }
}

/// Holds what is left at the end against the promises.
async fn check_end(
    world: &World,
    jobs: &BTreeMap<String, Vec<String>>,
    acknowledged: u64,
    seen: &Seen,
) {
    let entry = world.names(Role::Entry)[0].clone();
    for (job, items) in jobs {
        world
            .until("every item of every job ends", || async {
                let results = world.results(&entry, job).await;
                results.is_some_and(|results| results.len() == items.len())
            })
            .await;
        let results = world.results(&entry, job).await.unwrap_or_default();
        for (id, text) in &results {
            let expected: Vec<String> = (0..ITEM_EVENTS).map(|n| event_data(id, n)).collect();
            if *text != expected.join("\n") || !items.contains(id) {
                seen.fault(format!("{job} holds {id} with {text:?}"));
            }
        }
        let mut ids: Vec<&String> = results.iter().map(|(id, _)| id).collect();
        ids.sort_unstable();
        ids.dedup();
        if ids.len() != items.len() {
            seen.fault(format!("{job} holds an item twice"));
        }
    }
    for name in world.names(Role::Control) {
        world
            .until("the plan is read", || async {
                world.read_version(&name).await.is_some()
            })
            .await;
        let read = world.read_version(&name).await;
        if read.is_some_and(|read| read < acknowledged) {
            seen.fault(format!(
                "{name} ends with {read:?}, {acknowledged} was acknowledged"
            ));
        }
    }
    for (id, not_run) in lock(&seen.single).iter() {
        let runs = world.runs.of(id).len();
        if runs > 1 || (*not_run && runs > 0) {
            seen.fault(format!(
                "{id} ran {runs} times, said not to have run: {not_run}"
            ));
        }
    }
    for run in world.runs.all().iter().filter(|run| run.had_key) {
        seen.fault(format!("a key reached {} with {}", run.server, run.id));
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
async fn faults_in_series_break_no_promise() {
    let seconds = std::env::var("FLEET_SOAK_SECONDS").ok();
    let seconds = seconds.map_or(SHORT_SECONDS, |text| text.parse().expect("a number"));
    for seed in seeds() {
        soak(seed, Duration::from_secs(seconds)).await;
    }
}

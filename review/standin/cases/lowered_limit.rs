//! The usage cap of a tenant is lowered. Later the process that leads control is killed, and
//! the entry hosts admit requests from what they hold in advance.

use crate::fleet::{Fleet, HOST, Record, Role};
use crate::http::Call;
use crate::plan::{Jobs, Tenant, document};
use crate::replica::{Kind, Replica, Run};
use crate::{NotRun, Verdict};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// The usage cap before and after the change: requests a second, and the burst.
const BEFORE: u32 = 200;
const AFTER: u32 = 2;
/// `quota-window-s`, `quota-overshoot` and `quota-slack` of DEPLOY.md.
const WINDOW: Duration = Duration::from_secs(5);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The time from the confirmation of the lower cap to the kill. The cap binds after
/// `config-apply-ms` (2 s) and one window (5 s).
const SETTLING: Duration = Duration::from_secs(15);
/// The pause between two requests of one client.
const PAUSE: Duration = Duration::from_millis(25);

fn tenants(limit: u32) -> [Tenant; 1] {
    [Tenant {
        name: "curepipe",
        key: KEY,
        rate: limit,
        burst: limit,
    }]
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    let mut fleet = Fleet::start(record, 3);
    let control = fleet.control_addresses();
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let zone = format!("zone-{number}");
            let ip = fleet.stand_in_ip(number);
            Replica::start(&id, "app", Kind::Plain, &zone, ip, control.clone(), record)
        })
        .collect();
    if !fleet.apply(
        7,
        &document(7, &tenants(BEFORE), Jobs::DEFAULT),
        Duration::from_secs(20),
    ) {
        return Err(NotRun("no configuration was acknowledged".to_owned()));
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(NotRun("the entry hosts are not ready".to_owned()));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = fleet
        .names(Role::Entry)
        .into_iter()
        .map(|name| {
            let address = fleet.callers(&name);
            let (stop, sent, refused) = (stop.clone(), sent.clone(), refused.clone());
            let record = record.clone();
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    let call = Call::new(address, "POST", "/ping/1")
                        .field("Host", HOST)
                        .field("X-Request-Id", &format!("{number:016x}"))
                        .field("X-Deadline-Ms", "4000")
                        .field("Authorization", &format!("Bearer {KEY}"))
                        .body("here")
                        .timeout(Duration::from_secs(4));
                    let status = call.send().map(|answer| answer.status);
                    record.note(&format!("client: {number:016x} to {name}: {status:?}"));
                    if status != Some(200) {
                        refused.fetch_add(1, Ordering::SeqCst);
                    }
                    sleep(PAUSE);
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(5));
    if !fleet.apply(
        9,
        &document(9, &tenants(AFTER), Jobs::DEFAULT),
        Duration::from_secs(4),
    ) {
        return Err(NotRun("the lower cap was not acknowledged".to_owned()));
    }
    let confirmed = Instant::now();
    sleep(SETTLING);
    if trouble {
        let Some(leader) = fleet.leader(Role::Control) else {
            return Err(NotRun("no control host leads".to_owned()));
        };
        fleet.kill(&leader);
        sleep(Duration::from_secs(1));
        fleet.start_process(&leader, false);
    }
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut runs: Vec<Run> = replicas.iter().flat_map(Replica::runs).collect();
    runs.sort_by_key(|run| run.at);
    for replica in &replicas {
        replica.stop();
    }
    let bound = confirmed + Duration::from_secs(2) + WINDOW;
    let times: Vec<Instant> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= bound)
        .collect();
    let most = (0..times.len())
        .map(|from| {
            times[from..]
                .iter()
                .take_while(|at| **at - times[from] < WINDOW)
                .count()
        })
        .max()
        .unwrap_or(0);
    let limit = f64::from(AFTER) * WINDOW.as_secs_f64() + f64::from(AFTER);
    let allowed = limit * (1.0 + OVERSHOOT) + SLACK;
    record.note(&format!(
        "{} requests sent, {} not served; the most that ran within 5 s under the lower cap: \
         {most}; allowed: {allowed:.1}",
        sent.load(Ordering::SeqCst),
        refused.load(Ordering::SeqCst),
    ));
    let most = f64::from(u32::try_from(most).unwrap_or(u32::MAX));
    Ok(if most > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

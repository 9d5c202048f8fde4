//! A request crashes each replica that runs it and comes again at any machine, while the
//! process that serves control is killed a few times.

use crate::fleet::{Fleet, HOST, Record, Role};
use crate::http::Call;
use crate::plan::{Jobs, Tenant, document};
use crate::replica::{Kind, Replica, Run};
use crate::{NotRun, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const TENANTS: &[Tenant] = &[Tenant {
    name: "curepipe",
    key: KEY,
    rate: 58,
    burst: 58,
}];
/// `contact-ms` of DEPLOY.md.
const CONTACT: Duration = Duration::from_secs(3);
/// The time for which a killed process is down.
const DOWN: Duration = Duration::from_secs(1);
/// How often the process that leads control is killed.
const KILLS: usize = 3;
/// How often the request comes between two kills, and the pause between two times.
const TIMES: usize = 3;
const PAUSE: Duration = Duration::from_secs(4);
/// The retries that RULES.md allows after the third crash.
const RETRIES_ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    let mut fleet = Fleet::start(record, 3);
    let control = fleet.control_addresses();
    let zone = |number: u8| format!("zone-{}", (number - 1) % 3 + 1);
    let replicas: Vec<Replica> = (1..=6)
        .map(|number| {
            let id = format!("i-{number}");
            let ip = fleet.stand_in_ip(number);
            let control = control.clone();
            Replica::start(
                &id,
                "engine",
                Kind::Engine,
                &zone(number),
                ip,
                control,
                record,
            )
        })
        .collect();
    if !fleet.apply(
        7,
        &document(7, TENANTS, Jobs::DEFAULT),
        Duration::from_secs(20),
    ) {
        return Err(NotRun("no configuration was acknowledged".to_owned()));
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(NotRun("the entry hosts are not ready".to_owned()));
    }
    // Every replica has checked in, and machines are in touch.
    sleep(Duration::from_secs(4));
    let mut number = 0;
    // The machines in touch since, and the requests sent from then on.
    let mut calm_since = Instant::now();
    let mut calm: Vec<(Instant, Instant)> = Vec::new();
    for kill in 0..=KILLS {
        for _ in 0..TIMES {
            number += 1;
            send(&fleet, record, number);
            sleep(PAUSE);
        }
        calm.push((calm_since, Instant::now()));
        if kill < KILLS {
            if trouble {
                let Some(leader) = fleet.leader(Role::Control) else {
                    return Err(NotRun("no control host leads".to_owned()));
                };
                fleet.kill(&leader);
                sleep(DOWN);
                fleet.start_process(&leader, false);
            }
            // All machines are in touch again, and the killed one counts no more as lost.
            sleep(CONTACT + Duration::from_millis(2_500));
            calm_since = Instant::now();
        }
    }
    let mut runs: Vec<Run> = replicas.iter().flat_map(Replica::runs).collect();
    runs.sort_by_key(|run| run.at);
    for replica in &replicas {
        replica.stop();
    }
    let third = runs.get(2).map(|run| run.at);
    let is_calm = |at: Instant| calm.iter().any(|(from, until)| at >= *from && at <= *until);
    let later = third.map_or(0, |third| {
        let counted = runs
            .iter()
            .filter(|run| run.at > third + CONTACT && is_calm(run.at));
        counted.count()
    });
    record.note(&format!(
        "{number} requests sent, {} reached a replica, {later} of them later than 3 s after \
         the third crash, from machines in touch",
        runs.len()
    ));
    Ok(if later > RETRIES_ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn send(fleet: &Fleet, record: &Record, number: usize) {
    let names = fleet.names(Role::Entry);
    let name = &names[number % names.len()];
    let call = Call::new(fleet.callers(name), "POST", "/walk/crash/1")
        .field("Host", HOST)
        .field("X-Request-Id", &format!("{number:016x}"))
        .field("X-Model", "m")
        .field("X-Token-Usage", "450,26")
        .field("X-Deadline-Ms", "5000")
        .field("Authorization", &format!("Bearer {KEY}"))
        .body("the same question")
        .timeout(Duration::from_secs(5));
    let status = call.send().map(|answer| answer.status);
    record.note(&format!("client: request {number} to {name}: {status:?}"));
}

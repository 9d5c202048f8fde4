//! The route for batch jobs moves to another service, and the replicas of the service before
//! drain and leave. A job that was accepted before the move has to be finished all the same.

use crate::fleet::{Fleet, HOST, Record, Role};
use crate::http::Call;
use crate::plan::{Jobs, Tenant, document};
use crate::replica::{Kind, Replica};
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
const JOB: &str = "7c41e09b52d6a3f8";
/// More items than the replicas run at once; each takes about 2 s.
const ITEMS: usize = 100;
const EVENTS: usize = 130;
/// `finish-s` of DEPLOY.md.
const FINISH: Duration = Duration::from_secs(18);
/// The time before the end of `finish-s` that has to be calm for the rule.
const CALM: Duration = Duration::from_secs(5);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    let fleet = Fleet::start(record, 3);
    let control = fleet.control_addresses();
    let start = |first: u8, service: &str| -> Vec<Replica> {
        (0..3)
            .map(|offset| {
                let number = first + offset;
                let (id, zone) = (format!("i-{number}"), format!("zone-{}", offset + 1));
                let ip = fleet.stand_in_ip(number);
                Replica::start(
                    &id,
                    service,
                    Kind::Engine,
                    &zone,
                    ip,
                    control.clone(),
                    record,
                )
            })
            .collect()
    };
    let old = start(1, "engine");
    let new = start(4, "engine-b");
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
    sleep(Duration::from_secs(4));
    let entries = fleet.names(Role::Entry);
    let call = |number: usize, method, path: &str| {
        let name = &entries[number % entries.len()];
        let call = Call::new(fleet.callers(name), method, path)
            .field("Host", HOST)
            .field("Authorization", &format!("Bearer {KEY}"))
            .timeout(Duration::from_secs(4));
        (name.clone(), call)
    };
    let items: Vec<String> = (0..ITEMS)
        .map(|number| {
            format!(
                "{{\"id\":\"e5b2907c14da{number:04x}\",\"path\":\"/digest/{EVENTS}\",\
                 \"headers\":{{\"X-Model\":\"m\",\"X-Token-Usage\":\"540,400\"}},\
                 \"body\":\"q83vEjRWeJA=\",\"token-count\":940}}"
            )
        })
        .collect();
    let document_of_job = format!("{{\"requests\":[{}]}}", items.join(","));
    let mut is_accepted = false;
    for number in 0..4 {
        let (name, submit) = call(number, "POST", "/digest/7c41e0");
        let submit = submit
            .field("X-Request-Id", JOB)
            .field("Content-Type", "application/json")
            .body(&document_of_job);
        let status = submit.send().map(|answer| answer.status);
        record.note(&format!(
            "client: submits {JOB}, {ITEMS} items, at {name}: {status:?}"
        ));
        is_accepted = status == Some(202);
        if is_accepted {
            break;
        }
        sleep(Duration::from_millis(500));
    }
    if !is_accepted {
        return Err(NotRun("the job was not accepted".to_owned()));
    }
    sleep(Duration::from_secs(1));
    if trouble {
        let jobs = Jobs {
            service: "engine-b",
            ..Jobs::DEFAULT
        };
        if !fleet.apply(9, &document(9, TENANTS, jobs), Duration::from_secs(4)) {
            return Err(NotRun("the change was not acknowledged".to_owned()));
        }
        // `config-apply-ms` is over before the first replica leaves.
        sleep(Duration::from_millis(2_500));
        for replica in &old {
            replica.leave();
        }
        sleep(Duration::from_secs(6));
    }
    // From here on nothing is disturbed.
    let began = Instant::now();
    let mut listed = 0;
    let mut number = 0;
    while began.elapsed() < FINISH && listed < ITEMS {
        sleep(Duration::from_millis(500));
        number += 1;
        let (name, read) = call(number, "GET", &format!("/lots/{JOB}?after=0"));
        let answer = read.send();
        let status = answer.as_ref().map(|answer| answer.status);
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        if status == Some(200) {
            listed = body.matches("\"state\":").count();
        }
        record.note(&format!(
            "client: reads {JOB} at {name}: {status:?}, {listed} results"
        ));
    }
    let last_run = |replicas: &[Replica]| {
        let runs = replicas.iter().flat_map(Replica::runs);
        runs.map(|run| run.at).max()
    };
    let runs = |replicas: &[Replica]| -> usize {
        replicas.iter().map(|replica| replica.runs().len()).sum()
    };
    let idle = last_run(&old).max(last_run(&new)).map(|at| at.elapsed());
    record.note(&format!(
        "{listed} of {ITEMS} items are listed; {} runs at the service before, {} at the one \
         after; no run began in the last {:.1} s",
        runs(&old),
        runs(&new),
        idle.unwrap_or_default().as_secs_f64()
    ));
    for replica in old.iter().chain(&new) {
        replica.stop();
    }
    let was_idle = idle.is_none_or(|idle| idle > CALM);
    Ok(if listed < ITEMS && was_idle {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

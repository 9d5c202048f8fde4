//! The route for batch jobs becomes public by a configuration. A job is accepted after that;
//! its results have to be read with a key of the tenant.

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
const ITEM: &str = "e5b2907c14da6f38";
/// `settle-ms` of DEPLOY.md, from which on a 404 breaks the rule.
const SETTLE: Duration = Duration::from_millis(1_000);
/// How long the job is read; `finish-s` is 18.
const READING: Duration = Duration::from_secs(20);

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    let fleet = Fleet::start(record, 3);
    let control = fleet.control_addresses();
    let replicas: Vec<Replica> = (1..=3)
        .map(|number| {
            let id = format!("i-{number}");
            let zone = format!("zone-{number}");
            let ip = fleet.stand_in_ip(number);
            Replica::start(
                &id,
                "engine",
                Kind::Engine,
                &zone,
                ip,
                control.clone(),
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
    sleep(Duration::from_secs(3));
    let jobs = Jobs {
        public: trouble,
        ..Jobs::DEFAULT
    };
    if !fleet.apply(9, &document(9, TENANTS, jobs), Duration::from_secs(4)) {
        return Err(NotRun("the change was not acknowledged".to_owned()));
    }
    // `config-apply-ms` and `contact-ms` are over.
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
    let items = format!(
        "{{\"requests\":[{{\"id\":\"{ITEM}\",\"path\":\"/digest/3\",\"headers\":{{\"X-Model\":\
         \"m\",\"X-Token-Usage\":\"540,400\"}},\"body\":\"q83vEjRWeJA=\",\"token-count\":940}}]}}"
    );
    let mut accepted = None;
    for number in 0..4 {
        let (name, submit) = call(number, "POST", "/digest/7c41e0");
        let submit = submit
            .field("X-Request-Id", JOB)
            .field("Content-Type", "application/json")
            .body(&items);
        let status = submit.send().map(|answer| answer.status);
        record.note(&format!("client: submits {JOB} at {name}: {status:?}"));
        if status == Some(202) {
            accepted = Some(Instant::now());
            break;
        }
        sleep(Duration::from_millis(500));
    }
    let Some(accepted) = accepted else {
        return Err(NotRun("the job was not accepted".to_owned()));
    };
    let (mut unknown, mut is_read) = (0, false);
    let mut number = 0;
    while accepted.elapsed() < READING && !is_read {
        sleep(Duration::from_millis(500));
        number += 1;
        let sent = Instant::now();
        let (name, read) = call(number, "GET", &format!("/lots/{JOB}?after=0"));
        let answer = read.send();
        let status = answer.as_ref().map(|answer| answer.status);
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        record.note(&format!("client: reads {JOB} at {name}: {status:?} {body}"));
        is_read = status == Some(200) && body.contains("completed");
        let is_late = sent > accepted + SETTLE;
        unknown += usize::from(is_late && matches!(status, Some(404 | 410)));
    }
    for replica in &replicas {
        replica.stop();
    }
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    record.note(&format!(
        "{unknown} reads later than settle-ms were answered 404 or 410; result read: {is_read}; \
         the item ran {runs} times"
    ));
    Ok(if unknown > 0 || !is_read {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

//! Two of three core machines are replaced as planned: the successors come first and have
//! run for longer than `catch-up-s`, then the old machines get SIGTERM, one after the other.
//! What the operator had acknowledged must still be readable.

use crate::fleet::{Fleet, Record, Role, version_of};
use crate::plan::{Jobs, Tenant, document};
use crate::{NotRun, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `grace-s` of DEPLOY.md.
const GRACE: Duration = Duration::from_secs(8);
/// The time for which the successors run before the first SIGTERM; `catch-up-s` is 4.8.
const SUCCESSORS_RUN: Duration = Duration::from_secs(10);
/// The pause between the end of the first old machine and the SIGTERM of the second one.
const PAUSE: Duration = Duration::from_millis(1_500);
/// How long the configuration is read at the end; `contact-ms` is 3,000, `recover-s` 12.
const READING: Duration = Duration::from_secs(40);

const TENANTS: &[Tenant] = &[Tenant {
    name: "curepipe",
    key: "2b9wu3fexd9dnn2ctnfz",
    rate: 58,
    burst: 58,
}];

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, NotRun> {
    let mut fleet = Fleet::start(record, 3);
    for version in [7, 9] {
        if !fleet.apply(
            version,
            &document(version, TENANTS, Jobs::DEFAULT),
            Duration::from_secs(20),
        ) {
            return Err(NotRun("no configuration was acknowledged".to_owned()));
        }
    }
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(NotRun("the entry hosts are not ready".to_owned()));
    }
    fleet.add(Role::Control, 4, false);
    fleet.add(Role::Control, 5, false);
    sleep(SUCCESSORS_RUN);
    if trouble {
        for name in ["control-1", "control-2"] {
            fleet.signal(name, "TERM");
            fleet.wait_for_end(name, GRACE);
            fleet.remove(name);
            sleep(PAUSE);
        }
    }
    let until = Instant::now() + READING;
    let mut newest = None;
    let mut reads = 0;
    while Instant::now() < until && newest.is_none() {
        for address in fleet.control_addresses() {
            reads += 1;
            let answer = fleet.read_config(address);
            newest = newest.max(answer.and_then(|answer| version_of(&answer.body)));
        }
        sleep(Duration::from_millis(500));
    }
    record.note(&format!(
        "{reads} reads; the newest configuration read is {newest:?}"
    ));
    Ok(if newest == Some(9) {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

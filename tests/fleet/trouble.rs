//! Faults: lost processes and disks, frozen and partitioned hosts, shutdowns, departures
//! and crashing requests.

use crate::servers::CRASH_PATH;
use crate::world::{ProcessFleet, Role, WAIT_TIMEOUT};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The time within which a host without a seat has asked for one, and a free one is given to it.
const SEAT_REQUEST_TIME: Duration = Duration::from_secs(5);

fn items(job: &str, count: u32) -> Vec<String> {
    (0..count).map(|n| format!("{job}-{n}")).collect()
}

async fn wait_until_complete(fleet: &ProcessFleet, job: &str, count: usize) {
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("the job is complete", || async {
            let results = fleet.read_results(&entry, job).await;
            results.is_some_and(|results| results.len() == count)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_control_leader_is_down() {
    let mut fleet = ProcessFleet::start().await;
    let leader = fleet.leader(Role::Control).expect("a leader");
    fleet.kill(&leader);
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let mut served = 0;
    for number in 0..30 {
        let id = format!("away-{number}");
        let answer = fleet
            .caller_request(&entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        served += u32::from(answer.status.is_success());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served >= 28, "{served} of 30");
    fleet.wait_for_next_leader(Role::Control, &leader).await;
    let plan = fleet.next_plan(&["k1"]);
    fleet.apply_plan(&plan).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_the_store_leader_and_its_disk() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids = items("kept", 30);
    let answer = fleet.submit(&entry, "job-kept", &ids, 100).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let leader = fleet.leader(Role::Store).expect("a leader");
    fleet.kill(&leader);
    fleet.delete_data(&leader);
    fleet.start_process(&leader, false);
    wait_until_complete(&fleet, "job-kept", ids.len()).await;
    // Once the host with the new disk has a seat, the group tolerates another loss.
    fleet
        .wait_until("the host has a new seat", || async {
            let log = fleet.read_log(&leader);
            log.lines()
                .filter(|line| line.contains("seat_opened"))
                .count()
                == 2
        })
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let second = fleet.leader(Role::Store).expect("a leader");
    fleet.kill(&second);
    fleet.delete_data(&second);
    fleet
        .wait_until("the job can be read", || async {
            let results = fleet.read_results(&entry, "job-kept").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_state_survives_a_kill_of_all_processes() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids = items("all", 5);
    fleet
        .submit(&entry, "job-all", &ids, 5)
        .await
        .expect("an answer");
    wait_until_complete(&fleet, "job-all", ids.len()).await;
    let before = fleet.read_results(&entry, "job-all").await;
    let plan = fleet.next_plan(&["k1", "k2"]);
    fleet.apply_plan(&plan).await;
    let names: Vec<String> = [Role::Control, Role::Store, Role::Entry]
        .into_iter()
        .flat_map(|role| fleet.host_names(role))
        .collect();
    for name in &names {
        fleet.kill(name);
    }
    for name in &names {
        fleet.start_process(name, false);
    }
    fleet
        .wait_until("results are read as before", || async {
            fleet.read_results(&entry, "job-all").await == before
        })
        .await;
    for name in fleet.host_names(Role::Control) {
        assert_eq!(fleet.read_version(&name).await, plan["version"].as_u64());
    }
}

/// Guards against a leader that resumes after a pause and returns the plan that it held
/// before. Its monotonic clock advances during the pause, but its state is stale.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_never_returns_a_stale_plan() {
    let mut fleet = ProcessFleet::start().await;
    let leader = fleet.leader(Role::Control).expect("a leader");
    fleet.send_signal(&leader, "STOP");
    let plan = fleet.next_plan(&["k1"]);
    let control_hosts: Vec<String> = fleet.host_names(Role::Control);
    fleet.apply_plan(&plan).await;
    fleet.send_signal(&leader, "CONT");
    let resumed_at = Instant::now();
    while resumed_at.elapsed() < Duration::from_secs(2) {
        for name in &control_hosts {
            let version = fleet.read_version(name).await;
            assert!(
                version.is_none_or(|v| Some(v) == plan["version"].as_u64()),
                "{name}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_that_shuts_down_interrupts_no_request() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let calls: Vec<_> = (0..20)
        .map(|n| fleet.caller_request(&entry, "/rules/80", &format!("stop-{n}")))
        .map(|call| tokio::spawn(async move { call.send().await }))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.send_signal(&entry, "TERM");
    // New connections are still accepted until the load balancer has noticed.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let late = fleet
        .caller_request(&entry, "/ping/1", "late")
        .send()
        .await
        .expect("an answer");
    assert!(late.status.is_success());
    assert_eq!(late.headers["connection"], "close");
    for call in calls {
        let answer = call.await.expect("no panic").expect("an answer");
        assert!(answer.status.is_success() && answer.complete, "{answer:?}");
    }
    let took = fleet.wait_for_exit(&entry).await;
    assert!(took < Duration::from_secs(8), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work_after_the_acknowledgement() {
    let fleet = ProcessFleet::start().await;
    let leaving = &fleet.servers[1];
    assert!(leaving.name.starts_with("app"));
    leaving.start_leaving();
    fleet
        .wait_until("the departure is acknowledged", || async {
            leaving.leaving_acknowledged.load(Ordering::Relaxed)
        })
        .await;
    let acknowledged_at = Instant::now();
    for number in 0..60 {
        let entry = &fleet.host_names(Role::Entry)[number % 3];
        let id = format!("leaving-{number}");
        let answer = fleet
            .caller_request(entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        assert!(answer.status.is_success());
    }
    let runs = fleet.runs.all();
    let new = runs
        .iter()
        .filter(|run| run.server == leaving.name && run.at > acknowledged_at);
    assert_eq!(new.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_resent_to_every_host_reaches_two_servers() {
    let fleet = ProcessFleet::start().await;
    let path = format!("/ping{CRASH_PATH}");
    for number in 0..9 {
        let entry = &fleet.host_names(Role::Entry)[number % 3];
        let id = format!("killer-{number}");
        let answer = fleet
            .caller_request(entry, &path, &id)
            .send()
            .await
            .expect("an answer");
        assert!(!answer.status.is_success());
        if number > 2 {
            assert!(answer.guarantees_not_run(), "{answer:?}");
        }
    }
    let runs = fleet.runs.all();
    let crashing_runs = runs.iter().filter(|run| run.id.starts_with("killer"));
    assert_eq!(crashing_runs.count(), 2);
    // Other requests are still served.
    let entry = &fleet.host_names(Role::Entry)[0];
    let answer = fleet
        .caller_request(entry, "/ping/1", "other")
        .send()
        .await
        .expect("an answer");
    assert!(answer.status.is_success());
}

/// Guards against an entry host that accepts a withdrawn key: without contact with the
/// control group, it continues to serve, but stops before the time by which a withdrawal
/// that it has not received must be in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_partitioned_from_control_serves_for_a_time_and_then_refuses() {
    let fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[2].clone();
    for control in fleet.host_names(Role::Control) {
        fleet.faults.cut(&entry, &control);
        fleet.faults.cut(&control, &entry);
    }
    let cut_at = Instant::now();
    let mut last_served = Duration::ZERO;
    let mut served = 0;
    let mut number = 0;
    while cut_at.elapsed() < Duration::from_secs(6) {
        number += 1;
        let id = format!("cut-{number}");
        let sent_after = cut_at.elapsed();
        let answer = fleet
            .caller_request(&entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        if answer.status.is_success() {
            last_served = sent_after;
            served += 1;
        } else {
            assert!(answer.guarantees_not_run(), "{answer:?}");
            assert!(fleet.runs.runs_of(&id).is_empty());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(served > 10, "{served} served");
    assert!(last_served < Duration::from_secs(4), "{last_served:?}");
    fleet.faults.heal();
    fleet
        .wait_until("the host serves again", || async {
            let answer = fleet
                .caller_request(&entry, "/ping/1", "healed")
                .send()
                .await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
}

/// Guards against a job group with a quorum in one zone: its leader did not know the zones of
/// the bootstrap members, and replaced a retiring one by the host with the lowest address. A cut
/// of that zone then stops all jobs, and its loss loses them.
#[tokio::test(flavor = "multi_thread")]
async fn a_retiring_store_host_is_replaced_by_one_in_its_zone() {
    use crate::client::Call;
    use hyper::Method;
    let mut fleet = ProcessFleet::start().await;
    let control = fleet.control_address(&fleet.host_names(Role::Control)[0]);
    // Of the zones 1, 2 and 3; the address of the first is the lowest.
    for number in [4, 5, 6] {
        fleet.add_host(Role::Store, number, false);
    }
    let leader = fleet.wait_for_leader(Role::Store).await;
    let standbys = || async { fleet.level(&leader, "group_standbys").await == Some(3.0) };
    fleet.wait_until("three hosts stand by", standbys).await;
    let retiring = if leader == "store-3" {
        "store-2"
    } else {
        "store-3"
    };
    let path = format!("/retire/{retiring}/begin");
    let begin = Call::new(control, Method::POST, &path).body("{\"duration-s\":10}");
    let accepted = || async {
        let answer = begin.send().await;
        answer.is_some_and(|answer| answer.status.is_success())
    };
    fleet.wait_until("the order is accepted", accepted).await;
    let opened = |name: &str| fleet.read_log(name).contains("\"seat_opened\"");
    let is_replaced = || async { ["store-4", "store-5", "store-6"].iter().any(|n| opened(n)) };
    fleet.wait_until("the host is replaced", is_replaced).await;
    let expected = if retiring == "store-3" {
        "store-6"
    } else {
        "store-5"
    };
    assert!(opened(expected), "the host of another zone got the seat");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_host_is_drained_once_a_replacement_is_available() {
    use crate::client::Call;
    use hyper::Method;
    let mut fleet = ProcessFleet::start().await;
    let control = fleet.control_address(&fleet.host_names(Role::Control)[0]);
    let begin = |host: &str| {
        let path = format!("/retire/{host}/begin");
        Call::new(control, Method::POST, &path).body("{\"duration-s\":10}")
    };
    let status = |call: Call| async move { call.send().await.expect("an answer").status.as_u16() };
    assert_eq!(status(begin("store-9")).await, 404);
    assert_eq!(status(begin("store-1")).await, 409);
    fleet.add_host(Role::Store, 4, false);
    let started = Instant::now();
    while status(begin("store-1")).await != 200 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the new host is not known yet"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    fleet
        .wait_until("the host is drained", || async {
            let state = Call::new(control, Method::GET, "/retire/store-1/get")
                .send()
                .await;
            state.is_some_and(|state| state.text().contains("completed"))
        })
        .await;
    fleet.kill("store-1");
    fleet.delete_data("store-1");
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids = items("after", 4);
    fleet
        .wait_until("jobs are taken", || async {
            let answer = fleet.submit(&entry, "job-after", &ids, 3).await;
            answer.is_some_and(|answer| answer.status.as_u16() == 202)
        })
        .await;
    wait_until_complete(&fleet, "job-after", ids.len()).await;
}

/// Guards against a drained store host that is given a seat again, here as two voters are in one
/// zone: the operator had been told that it may be removed together with its disk.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_store_host_gets_no_seat_again() {
    use crate::client::Call;
    use hyper::Method;
    let mut fleet = ProcessFleet::start().await;
    let control = fleet.control_address(&fleet.host_names(Role::Control)[0]);
    // In the zone of the first store host.
    fleet.add_host(Role::Store, 4, false);
    let begin = Call::new(control, Method::POST, "/retire/store-3/begin");
    let begin = begin.body("{\"duration-s\":10}");
    let accepted = || async {
        let answer = begin.send().await;
        answer.is_some_and(|answer| answer.status.is_success())
    };
    fleet.wait_until("the order is accepted", accepted).await;
    let state = Call::new(control, Method::GET, "/retire/store-3/get");
    let is_drained = || async {
        let state = state.send().await;
        state.is_some_and(|state| state.text().contains("completed"))
    };
    fleet.wait_until("the host is drained", is_drained).await;
    let seats = |fleet: &ProcessFleet| {
        let log = fleet.read_log("store-3");
        log.matches("\"seat_opened\"").count()
    };
    tokio::time::sleep(SEAT_REQUEST_TIME).await;
    assert_eq!(seats(&fleet), 1, "its first seat is the only one");
    // Nor does it get one from leaders that began afterwards.
    for role in [Role::Control, Role::Store] {
        let leader = fleet.wait_for_leader(role).await;
        fleet.kill(&leader);
        fleet.wait_for_next_leader(role, &leader).await;
        fleet.start_process(&leader, false);
    }
    tokio::time::sleep(SEAT_REQUEST_TIME).await;
    fleet.wait_until("the host is drained", is_drained).await;
    assert_eq!(seats(&fleet), 1, "its first seat is the only one");
}

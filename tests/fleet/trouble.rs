//! Lost processes and disks, stops and departures.

use crate::servers::CRASH_PATH;
use crate::world::{PATIENCE, Role, World};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn items(job: &str, count: u32) -> Vec<String> {
    (0..count).map(|n| format!("{job}-{n}")).collect()
}

async fn until_complete(world: &World, job: &str, count: usize) {
    let entry = world.names(Role::Entry)[0].clone();
    world
        .until("the job is complete", || async {
            let results = world.results(&entry, job).await;
            results.is_some_and(|results| results.len() == count)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_control_leader_is_away() {
    let mut world = World::start().await;
    let leader = world.leader(Role::Control).expect("a leader");
    world.kill(&leader);
    let entry = world.names(Role::Entry)[0].clone();
    let mut served = 0;
    for number in 0..30 {
        let id = format!("away-{number}");
        let answer = world
            .ask(&entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        served += u32::from(answer.status.is_success());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(served >= 28, "{served} of 30");
    world
        .until("another host leads", || async {
            world
                .leader(Role::Control)
                .is_some_and(|next| next != leader)
        })
        .await;
    let plan = world.plan(&["k1"]);
    world.apply(&plan).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_the_loss_of_the_store_leader_and_its_disk() {
    let mut world = World::start().await;
    let entry = world.names(Role::Entry)[0].clone();
    let ids = items("kept", 30);
    let answer = world.submit(&entry, "job-kept", &ids, 100).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let leader = world.leader(Role::Store).expect("a leader");
    world.kill(&leader);
    world.wipe(&leader);
    world.launch(&leader, false);
    until_complete(&world, "job-kept", ids.len()).await;
    // The host with the new disk has a seat again, so another loss is borne.
    world
        .until("the host has a new seat", || async {
            let log = world.log_of(&leader);
            log.lines()
                .filter(|line| line.contains("seat_opened"))
                .count()
                == 2
        })
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let second = world.leader(Role::Store).expect("a leader");
    world.kill(&second);
    world.wipe(&second);
    world
        .until("the job can be read", || async {
            let results = world.results(&entry, "job-kept").await;
            results.is_some_and(|results| results.len() == ids.len())
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn everything_acknowledged_survives_the_end_of_all_processes() {
    let mut world = World::start().await;
    let entry = world.names(Role::Entry)[0].clone();
    let ids = items("all", 5);
    world
        .submit(&entry, "job-all", &ids, 5)
        .await
        .expect("an answer");
    until_complete(&world, "job-all", ids.len()).await;
    let before = world.results(&entry, "job-all").await;
    let plan = world.plan(&["k1", "k2"]);
    world.apply(&plan).await;
    let names: Vec<String> = [Role::Control, Role::Store, Role::Entry]
        .into_iter()
        .flat_map(|role| world.names(role))
        .collect();
    for name in &names {
        world.kill(name);
    }
    for name in &names {
        world.launch(name, false);
    }
    world
        .until("results are read as before", || async {
            world.results(&entry, "job-all").await == before
        })
        .await;
    for name in world.names(Role::Control) {
        assert_eq!(world.read_version(&name).await, plan["version"].as_u64());
    }
}

/// The steady clock of a stopped process goes on, but what it held before is old.
#[tokio::test(flavor = "multi_thread")]
async fn a_woken_leader_never_answers_with_an_old_plan() {
    let mut world = World::start().await;
    let leader = world.leader(Role::Control).expect("a leader");
    world.signal(&leader, "STOP");
    let plan = world.plan(&["k1"]);
    let others: Vec<String> = world.names(Role::Control);
    world.apply(&plan).await;
    world.signal(&leader, "CONT");
    let woken = Instant::now();
    while woken.elapsed() < Duration::from_secs(2) {
        for name in &others {
            let version = world.read_version(name).await;
            assert!(
                version.is_none_or(|v| Some(v) == plan["version"].as_u64()),
                "{name}"
            );
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_host_cuts_no_request() {
    let mut world = World::start().await;
    let entry = world.names(Role::Entry)[0].clone();
    let calls: Vec<_> = (0..20)
        .map(|n| world.ask(&entry, "/rules/80", &format!("stop-{n}")))
        .map(|call| tokio::spawn(async move { call.send().await }))
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    world.signal(&entry, "TERM");
    // New connections are still taken until the balancer has noticed.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let late = world
        .ask(&entry, "/ping/1", "late")
        .send()
        .await
        .expect("an answer");
    assert!(late.status.is_success());
    assert_eq!(late.headers["connection"], "close");
    for call in calls {
        let answer = call.await.expect("no panic").expect("an answer");
        assert!(answer.status.is_success() && answer.whole, "{answer:?}");
    }
    let took = world.until_ended(&entry).await;
    assert!(took < Duration::from_secs(8), "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work_once_that_is_acknowledged() {
    let world = World::start().await;
    let leaving = &world.servers[1];
    assert!(leaving.name.starts_with("app"));
    leaving.leave();
    world
        .until("the departure is acknowledged", || async {
            leaving.leaving_known.load(Ordering::Relaxed)
        })
        .await;
    let known_at = Instant::now();
    for number in 0..60 {
        let entry = &world.names(Role::Entry)[number % 3];
        let id = format!("leaving-{number}");
        let answer = world
            .ask(entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        assert!(answer.status.is_success());
    }
    let runs = world.runs.all();
    let new = runs
        .iter()
        .filter(|run| run.server == leaving.name && run.at > known_at);
    assert_eq!(new.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_reaches_two_whichever_host_it_comes_to() {
    let world = World::start().await;
    let path = format!("/ping{CRASH_PATH}");
    for number in 0..9 {
        let entry = &world.names(Role::Entry)[number % 3];
        let id = format!("killer-{number}");
        let answer = world
            .ask(entry, &path, &id)
            .send()
            .await
            .expect("an answer");
        assert!(!answer.status.is_success());
        if number > 2 {
            assert!(answer.promises_not_run(), "{answer:?}");
        }
    }
    let runs = world.runs.all();
    let killers = runs.iter().filter(|run| run.id.starts_with("killer"));
    assert_eq!(killers.count(), 2);
    // Others are served all the while.
    let entry = &world.names(Role::Entry)[0];
    let answer = world
        .ask(entry, "/ping/1", "other")
        .send()
        .await
        .expect("an answer");
    assert!(answer.status.is_success());
}

/// Entry hosts that hear nothing of the control group go on, and stop before a key
/// could have been withdrawn without their knowing.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_cut_off_from_control_serves_for_a_time_and_then_says_not_run() {
    let world = World::start().await;
    let entry = world.names(Role::Entry)[2].clone();
    for control in world.names(Role::Control) {
        world.faults.cut(&entry, &control);
        world.faults.cut(&control, &entry);
    }
    let cut_at = Instant::now();
    let mut last_served = Duration::ZERO;
    let mut served = 0;
    let mut number = 0;
    while cut_at.elapsed() < Duration::from_secs(6) {
        number += 1;
        let id = format!("cut-{number}");
        let sent_after = cut_at.elapsed();
        let answer = world
            .ask(&entry, "/ping/1", &id)
            .send()
            .await
            .expect("an answer");
        if answer.status.is_success() {
            last_served = sent_after;
            served += 1;
        } else {
            assert!(answer.promises_not_run(), "{answer:?}");
            assert!(world.runs.of(&id).is_empty());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(served > 10, "{served} served");
    assert!(last_served < Duration::from_secs(4), "{last_served:?}");
    world.faults.heal();
    world
        .until("the host serves again", || async {
            let answer = world.ask(&entry, "/ping/1", "healed").send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_host_is_emptied_when_another_can_take_its_place() {
    use crate::client::Call;
    use hyper::Method;
    let mut world = World::start().await;
    let control = world.control_address(&world.names(Role::Control)[0]);
    let begin = |host: &str| {
        let path = format!("/retire/{host}/begin");
        Call::new(control, Method::POST, &path).body("{\"duration-s\":10}")
    };
    let status = |call: Call| async move { call.send().await.expect("an answer").status.as_u16() };
    assert_eq!(status(begin("store-9")).await, 404);
    assert_eq!(status(begin("store-1")).await, 409);
    world.add_host(Role::Store, 4, false);
    let started = Instant::now();
    while status(begin("store-1")).await != 200 {
        assert!(started.elapsed() < PATIENCE, "the new host is not seen");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    world
        .until("the host is empty", || async {
            let state = Call::new(control, Method::GET, "/retire/store-1/get")
                .send()
                .await;
            state.is_some_and(|state| state.text().contains("completed"))
        })
        .await;
    world.kill("store-1");
    world.wipe("store-1");
    let entry = world.names(Role::Entry)[0].clone();
    let ids = items("after", 4);
    world
        .until("jobs are taken", || async {
            let answer = world.submit(&entry, "job-after", &ids, 3).await;
            answer.is_some_and(|answer| answer.status.as_u16() == 202)
        })
        .await;
    until_complete(&world, "job-after", ids.len()).await;
}

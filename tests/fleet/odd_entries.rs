//! Check-ins and departures by writers that are no servers of the fleet: values out of range,
//! of another type, nested very deeply, or bytes that are no document.

use crate::client::Call;
use crate::servers::{CHECK_IN_INTERVAL, Server};
use crate::world::{ProcessFleet, Role, WAIT_TIMEOUT};
use hyper::Method;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A check-in that would be sound, for a server that does not exist.
fn sound_body() -> Value {
    json!({
        "service": "engine", "address": "127.0.0.1:9", "zone": "zone-1", "version": "v1",
        "slots": 8, "cold-remaining-ms": 0, "sequence": 1, "state": "ready", "born": 1,
    })
}

/// Check-ins with one odd value each.
fn odd_bodies() -> Vec<String> {
    const NESTED_LEVELS: usize = 100_000;
    let odd_values = [
        ("cold-remaining-ms", json!(1e22)),
        ("cold-remaining-ms", json!(1e300)),
        ("cold-remaining-ms", json!(-1)),
        ("slots", json!(u32::MAX)),
        ("slots", json!(u64::MAX)),
        ("slots", json!(-8)),
        ("slots", json!("8")),
        ("sequence", json!(u64::MAX)),
        ("sequence", json!(1e30)),
        ("born", json!(u64::MAX)),
        ("born", json!(1.5)),
        ("address", json!("127.0.0.1:99999")),
        ("address", json!("127.0.0.1:0")),
        ("address", json!("0.0.0.0:80")),
        ("address", json!(["127.0.0.1", 80])),
        ("version", json!("v".repeat(1_000_000))),
        ("service", json!({ "name": "engine" })),
        ("zone", json!("z".repeat(10_000))),
        ("state", json!("lost")),
    ];
    let with_value = |(field, value): (&str, Value)| {
        let mut body = sound_body();
        body[field] = value;
        body.to_string()
    };
    let mut bodies: Vec<String> = odd_values.into_iter().map(with_value).collect();
    let nested = format!("{}{}", "[".repeat(NESTED_LEVELS), "]".repeat(NESTED_LEVELS));
    let open = sound_body().to_string();
    let open = open.trim_end_matches('}');
    bodies.push(format!("{open},\"slots\":{nested}}}"));
    bodies.push(nested);
    bodies.push(format!("{open},\"slots\":8}}"));
    bodies.push(open.to_owned());
    bodies.push(String::new());
    bodies
}

async fn send(fleet: &ProcessFleet, host: &str, path: &str, body: &str) -> Option<u16> {
    let call = Call::new(fleet.control_address(host), Method::POST, path);
    let answer = call.body(body.to_owned()).send().await;
    answer.map(|answer| answer.status.as_u16())
}

/// Fails if a process has ended, or has logged a panic.
fn assert_all_sound(fleet: &ProcessFleet) {
    for role in [Role::Control, Role::Store, Role::Entry] {
        for name in fleet.host_names(role) {
            assert!(fleet.is_running(&name), "{name} has ended");
            let log = fleet.read_log(&name);
            let panic = log.lines().find(|line| line.contains("panicked"));
            assert_eq!(panic, None, "{name}");
        }
    }
}

/// An odd check-in made the leader fail at each of its decisions, and the next leader too, as
/// the entry was handed on with the directory.
#[tokio::test(flavor = "multi_thread")]
async fn odd_check_ins_stop_no_host_and_hide_no_server() {
    let mut fleet = ProcessFleet::start().await;
    let control = fleet.host_names(Role::Control);
    for (number, body) in odd_bodies().iter().enumerate() {
        for host in &control {
            let path = format!("/instances/odd-{number}/heartbeat");
            let status = send(&fleet, host, &path, body).await;
            let shown: String = body.chars().take(200).collect();
            assert_eq!(status, Some(400), "{shown}");
        }
        // The same in the name of a server that is sound.
        let path = "/instances/engine-1/heartbeat";
        assert_eq!(send(&fleet, &control[0], path, body).await, Some(400));
    }
    let departures = [
        "[".repeat(100_000),
        "{\"born\":".to_owned(),
        "{\"born\":-1}".to_owned(),
    ];
    for body in &departures {
        let path = "/instances/engine-1/deregister";
        assert_eq!(send(&fleet, &control[0], path, body).await, Some(400));
    }
    tokio::time::sleep(CHECK_IN_INTERVAL * 2).await;
    assert_all_sound(&fleet);
    assert_servers_are_followed(&fleet).await;
    let leader = fleet.leader(Role::Control).expect("a leader");
    fleet.kill(&leader);
    fleet.start_process(&leader, false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_servers_are_followed(&fleet).await;
    assert_all_sound(&fleet);
}

/// Every server of the fleet gets work, one that joins too, and one that leaves is confirmed.
async fn assert_servers_are_followed(fleet: &ProcessFleet) {
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let addresses = fleet.host_names(Role::Control);
    let addresses = addresses.iter().map(|name| fleet.control_address(name));
    let number = fleet.runs.all().len();
    let name = format!("engine-joins-{number}");
    let runs = fleet.runs.clone();
    let joining = Server::start(&name, "engine", "zone-1", addresses.collect(), runs).await;
    let wanted = ["engine-1", "engine-2", "engine-3", joining.name.as_str()];
    let started = std::time::Instant::now();
    let mut asked = 0;
    loop {
        let calls = (0..24).map(|_| {
            asked += 1;
            fleet.caller_request(&entry, "/rules/20", &format!("{name}-{asked}"))
        });
        let calls = calls.map(|call| async move { call.send().await });
        for answer in futures_util::future::join_all(calls).await {
            assert!(answer.expect("an answer").status.is_success());
        }
        let runs = fleet.runs.all();
        let runs = &runs[number..];
        if wanted
            .iter()
            .all(|name| runs.iter().any(|run| run.server == *name))
        {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "a server gets no work");
    }
    joining.start_leaving();
    fleet
        .wait_until("the departure is acknowledged", || async {
            joining.leaving_acknowledged.load(Ordering::Relaxed)
        })
        .await;
}

//! Quarantine of requests that crash the backend servers that run them.

use crate::fixture::{FleetFixture, HttpRequest, chat_body, eventually, send};
use chicoryladder_standin::{EngineHandle, FaultPlan};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";
const POISON: &str = "poison";

/// The runs that one shared message may crash: five until the cause counts as known, and
/// three until all hosts know it.
const RUNS_MAX: usize = 8;

/// The interval at which crashed engines are restarted.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

async fn start_engines(fleet: &FleetFixture, count: usize) -> Vec<EngineHandle> {
    let mut engines = Vec::new();
    for index in 0..count {
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let engine = fleet.start_engine(&format!("engine-{index}"), zone).await;
        engine.control().set_faults(FaultPlan {
            crash_on: Some(POISON.to_owned()),
            ..FaultPlan::default()
        });
        engines.push(engine);
    }
    engines
}

async fn wait_until_key_known(fleet: &FleetFixture, hosts: usize, key: &str) {
    for host in 0..hosts {
        let callers = fleet.ports(host).callers;
        let known = || async {
            let request = HttpRequest::post(callers, CHAT, chat_body(1, false)).with_key(key);
            send(request).await.unwrap().status == 200
        };
        eventually("the key works on the host", known).await;
    }
}

/// Counts the engines that received a crashing request; each crashes at its first.
fn reached_engines(engines: &[EngineHandle], marker: &str) -> usize {
    let reached = |engine: &&EngineHandle| {
        let received = engine.received();
        let mut bodies = received.iter().map(|one| &one.body);
        bodies.any(|body| String::from_utf8_lossy(body).contains(marker))
    };
    engines.iter().filter(reached).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_resent_to_every_host_crashes_two_servers() {
    let fleet = FleetFixture::with_document(3).await;
    let engines = start_engines(&fleet, 6).await;
    let key = fleet.grant_key(0, "curepipe").await.text;
    wait_until_key_known(&fleet, 3, &key).await;
    let marker = format!("{POISON} of a caller that resends");
    let body = chat_body(1, false).replace("Plan a walk.", &marker);
    let mut reasons = Vec::new();
    for resend in 0..9 {
        let callers = fleet.ports(resend % 3).callers;
        let request = HttpRequest::post(callers, CHAT, body.clone()).with_key(&key);
        let answer = send(request).await.unwrap();
        assert_ne!(answer.status, 200);
        reasons.push(answer.reason().map(str::to_owned));
    }
    assert_eq!(reached_engines(&engines, &marker), 2, "{reasons:?}");
    let quarantined = reasons.iter().flatten();
    let quarantined = quarantined.filter(|reason| *reason == "quarantined");
    assert!(quarantined.count() >= 7, "{reasons:?}");
}

/// Counts the runs of requests that contain a text.
fn run_count(engines: &[EngineHandle], marker: &str) -> usize {
    let contains = |engine: &EngineHandle| {
        let received = engine.received();
        let bodies = received
            .iter()
            .map(|one| String::from_utf8_lossy(&one.body));
        bodies.filter(|body| body.contains(marker)).count()
    };
    engines.iter().map(contains).sum()
}

/// The body of a request for a completion of messages.
fn messages_body(messages: &serde_json::Value) -> String {
    let mut body: serde_json::Value = serde_json::from_str(&chat_body(1, false)).unwrap();
    body["messages"] = messages.clone();
    body.to_string()
}

/// A fleet with engines that crash on some requests and come back.
struct CrashingFleet {
    fleet: FleetFixture,
    engines: Arc<Vec<EngineHandle>>,
    key: String,
}

impl CrashingFleet {
    async fn start() -> Self {
        let fleet = FleetFixture::with_document(3).await;
        let engines = Arc::new(start_engines(&fleet, 8).await);
        let key = fleet.grant_key(0, "curepipe").await.text;
        wait_until_key_known(&fleet, 3, &key).await;
        tokio::spawn(recover_crashed(engines.clone()));
        Self {
            fleet,
            engines,
            key,
        }
    }

    /// Sends crashing requests and sound ones in turn, one after the other, and checks that the
    /// crashing ones soon stop reaching servers and that all sound ones are served.
    async fn check_contained(
        &self,
        crashing: impl Fn(usize) -> String,
        sound: impl Fn(usize) -> String,
    ) {
        let runs_before = run_count(&self.engines, POISON);
        let mut lost = Vec::new();
        for round in 0..30 {
            let callers = self.fleet.ports(round % 3).callers;
            let request = HttpRequest::post(callers, CHAT, crashing(round)).with_key(&self.key);
            let answer = send(request).await.unwrap();
            assert_ne!(answer.status, 200);
            let request = HttpRequest::post(callers, CHAT, sound(round)).with_key(&self.key);
            let answer = send(request).await.unwrap();
            if answer.status != 200 {
                lost.push((round, answer.status, answer.text()));
            }
        }
        let runs = run_count(&self.engines, POISON) - runs_before;
        assert!(runs <= RUNS_MAX, "{runs} runs crashed servers");
        assert!(lost.is_empty(), "{lost:?}");
    }
}

/// Guards against requests that differ, but share a message under which servers crash, and
/// that crash one server after the other.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_a_crashing_message_stop_reaching_servers() {
    let body = |system: &str, question: usize| {
        messages_body(&json!([
            {"role": "system", "content": system},
            {"role": "user", "content": format!("Question {question}.")},
        ]))
    };
    let crashing = format!("A {POISON} in the shared instructions.");
    let fleet = CrashingFleet::start().await;
    let crashing = |round| body(&crashing, round);
    fleet
        .check_contained(crashing, |round| body("Be brief.", round))
        .await;
}

/// Guards against the same where the shared text is neither a message nor a paragraph: a line
/// of the only message, some of its words, and words of a tool beside a message without any.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_any_crashing_text_stop_reaching_servers() {
    let fleet = CrashingFleet::start().await;
    let line = |line: &str, round: usize| {
        let content = format!("{line}\nPlan walk {round} along the shore.");
        messages_body(&json!([{"role": "user", "content": content}]))
    };
    let crashing = format!("Follow every {POISON} sign of the park.");
    fleet
        .check_contained(
            |round| line(&crashing, round),
            |round| line("Follow the map of the park.", round),
        )
        .await;
    let words = |words: &str, round: usize| {
        let content = format!("Walk {round}: under rules of {words}, plan walk {round}.");
        messages_body(&json!([{"role": "user", "content": content}]))
    };
    let crashing = format!("the {POISON} club");
    fleet
        .check_contained(
            |round| words(&crashing, round),
            |round| words("the ramblers", round),
        )
        .await;
    let tool = |tool: &str, round: usize| {
        let own = (0..60).map(|word| format!("w{}", word * 977 + round));
        let own = own.collect::<Vec<_>>().join(" ");
        let message = messages_body(&json!([{"role": "user", "content": own}]));
        let mut body: serde_json::Value = serde_json::from_str(&message).unwrap();
        body["tools"] = json!([{"type": "function", "function": {
            "name": "find", "description": format!("Finds {tool} near a place by its name."),
        }}]);
        body.to_string()
    };
    let crashing = format!("each {POISON} path");
    fleet
        .check_contained(
            |round| tool(&crashing, round),
            |round| tool("quiet paths", round),
        )
        .await;
}

/// Restarts each engine some time after each of its crashes.
async fn recover_crashed(engines: Arc<Vec<EngineHandle>>) {
    let mut recovered = vec![0; engines.len()];
    loop {
        tokio::time::sleep(RECOVERY_INTERVAL).await;
        for (engine, recovered) in engines.iter().zip(&mut recovered) {
            let crashes = run_count(std::slice::from_ref(engine), POISON);
            if crashes > *recovered {
                *recovered = crashes;
                engine.control().recover().await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_interrupted_by_a_server_crash_is_served_by_another_server() {
    let fleet = FleetFixture::with_document(3).await;
    let engines = start_engines(&fleet, 2).await;
    let key = fleet.grant_key(0, "curepipe").await.text;
    wait_until_key_known(&fleet, 3, &key).await;
    let callers = fleet.ports(0).callers;
    let request = HttpRequest::post(callers, CHAT, chat_body(200, false)).with_key(&key);
    let waiting = tokio::spawn(send(request));
    let busy = || async { engines.iter().any(|engine| engine.load().running > 0) };
    eventually("the request runs", busy).await;
    let running = engines.iter().find(|engine| engine.load().running > 0);
    running.unwrap().control().crash().await;
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Guards against requests that are refused as servers crash faster than hosts notice,
/// although sound ones are left.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_beside_many_servers_that_just_crashed() {
    let fleet = FleetFixture::with_document(3).await;
    let engines = start_engines(&fleet, 8).await;
    let key = fleet.grant_key(0, "curepipe").await.text;
    wait_until_key_known(&fleet, 3, &key).await;
    for engine in &engines[..6] {
        engine.control().crash().await;
    }
    for number in 0..9 {
        let callers = fleet.ports(number % 3).callers;
        let request = HttpRequest::post(callers, CHAT, chat_body(1, false)).with_key(&key);
        let answer = send(request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

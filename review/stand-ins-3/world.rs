//! What the cases share: the configuration, the servers, and the calls of clients.

use crate::fleet::{FRONTEND, Fleet, KEY, READINESS, Record};
use crate::http::{Reply, call};
use crate::links::Links;
use crate::servers::{Runs, Server, Terms};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
/// The key of the tenant with the highest priority.
pub const FIRST_KEY: &str = "s989anu6wsjnbanfqasn";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn route(name: &str, kind: &str, service: &str, attempts: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\
         \"type\":\"{kind}\",\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,\
         \"service\":\"{service}\",\"max-attempts\":{attempts},\"public\":false,\
         \"sticky\":true{more}}}"
    )
}

/// The configuration of a small deployment.
pub fn plan(version: u32, cap: u64) -> String {
    plan_with(version, cap, "engine")
}

/// Like [`plan`], with the service of the route for batch jobs under `/digest/`.
pub fn plan_with(version: u32, cap: u64, digest_service: &str) -> String {
    let bulk = format!(",\"completion-target-ms\":18000,\"max-queue-s\":120,\"cap\":{cap}");
    let routes = [
        route("walk", "streaming", "engine", 1, ",\"resumable\":false,\"gap-target-ms\":400"),
        route("rules", "streaming", "engine", 2, ",\"resumable\":true,\"gap-target-ms\":400"),
        route("digest", "bulk", digest_service, 4, &bulk),
        route("letters", "bulk", "press", 4, &bulk),
    ];
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/healthz\",\"max-connections\":230,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\
             \"kv-capacity-tokens\":147261,\"models\":[{{\"name\":\"m\"}}]}}}}"
        )
    };
    let tenant = |name: &str, key: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"api-keys\":[\"{key}\"],\"priority\":{priority},\
             \"rate-per-s\":58,\"burst\":58}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{},{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{},{}]}}",
        routes.join(","),
        service("engine"),
        service("press"),
        tenant("huka270", KEY, 1),
        tenant("tehu881", FIRST_KEY, 0),
    )
}

pub type World = (Fleet, Runs, Vec<Arc<Server>>);

/// Starts three machines of each class, three servers, and puts the first configuration.
pub fn start(record: &Record, terms: fn() -> Terms) -> Result<World, String> {
    start_with(record, terms, 0, None, 3)
}

/// Like [`start`], with a limit on waiting tokens, links that can be cut, and a number of servers.
pub fn start_with(
    record: &Record,
    terms: fn() -> Terms,
    cap: u64,
    links: Option<Arc<Links>>,
    servers_count: u8,
) -> Result<World, String> {
    let mut fleet = Fleet::new("zone-a:north,zone-b:north,zone-c:north");
    fleet.links = links;
    for number in 1..=3u8 {
        let zone = ZONES[usize::from(number) - 1];
        for role in ["core", "storage", "edge"] {
            fleet.add(role, number, zone, true);
        }
    }
    record.note("3 core, 3 storage and 3 edge machines start, in 3 zones");
    let runs = Runs::default();
    let mut servers = Vec::new();
    for number in 1..=servers_count {
        let zone = ZONES[usize::from(number) - 1];
        let address = fleet.server_address(number);
        let control = fleet.control_addresses();
        let id = format!("i-{number}");
        servers.push(Server::start(&id, "engine", zone, address, terms(), runs.clone(), control));
    }
    let put = fleet.operator("POST", "/config/replace", &plan(1, cap), Duration::from_secs(20));
    if put.is_none_or(|reply| reply.status != 200) {
        return Err("the first configuration was not acknowledged".to_owned());
    }
    let started = Instant::now();
    while !fleet.names("edge").iter().all(|name| is_ready(&fleet, name)) {
        if started.elapsed() > Duration::from_secs(20) {
            return Err("the edge machines do not become ready".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.note("the first configuration is acknowledged, and the edge machines are ready");
    Ok((fleet, runs, servers))
}

fn is_ready(fleet: &Fleet, edge: &str) -> bool {
    let address = fleet.at(edge, READINESS);
    let reply = call(address, "GET", "/readyz", &[], "", Duration::from_secs(1));
    reply.is_some_and(|reply| reply.status == 200)
}

/// A client's call at an edge machine, with the key of the tenant `huka270`.
pub fn client(
    fleet: &Fleet,
    edge: &str,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    client_with(KEY, fleet, edge, method, path, id, body, timeout)
}

#[expect(clippy::too_many_arguments, reason = "the parts of a request")]
pub fn client_with(
    key: &str,
    fleet: &Fleet,
    edge: &str,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let key = format!("Bearer {key}");
    let mut fields = vec![("Host", HOST), ("Authorization", key.as_str())];
    if !id.is_empty() {
        fields.push(("X-Request-Id", id));
    }
    if method == "POST" {
        fields.push(("Content-Type", "application/json"));
    }
    call(fleet.at(edge, FRONTEND), method, path, &fields, body, timeout)
}

/// The body of a batch job.
pub fn job_body(items: &[String], tokens: u64) -> String {
    let item = |id: &String| {
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/digest/{id}\",\"headers\":{{\"X-Model\":\"m\",\
             \"X-Token-Usage\":\"540,400\"}},\"body\":\"q83vEjRWeJA=\",\"token-count\":{tokens}}}"
        )
    };
    let items: Vec<String> = items.iter().map(item).collect();
    format!("{{\"requests\":[{}]}}", items.join(","))
}

/// Submits a batch job, at one node after the other, until it is accepted.
pub fn submit(fleet: &Fleet, record: &Record, job: &str, items: &[String], within: Duration) -> bool {
    submit_with(KEY, "digest", fleet, record, job, items, within)
}

/// Like [`submit`], with a key, under a prefix.
pub fn submit_with(
    key: &str,
    prefix: &str,
    fleet: &Fleet,
    record: &Record,
    job: &str,
    items: &[String],
    within: Duration,
) -> bool {
    let started = Instant::now();
    let edges = fleet.names("edge");
    for edge in edges.iter().cycle() {
        let path = format!("/{prefix}/{job}");
        let body = job_body(items, 940);
        let timeout = Duration::from_secs(3);
        let reply = client_with(key, fleet, edge, "POST", &path, job, &body, timeout);
        let status = reply.map(|reply| reply.status);
        record.note(format!("POST {path} at {edge}: {status:?}"));
        if status == Some(202) {
            return true;
        }
        if started.elapsed() > within {
            return false;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Reads the results of a batch job from the start.
pub fn read_job(fleet: &Fleet, edge: &str, job: &str) -> Option<Reply> {
    let path = format!("/lots/{job}?after=0");
    client(fleet, edge, "GET", &path, "", "", Duration::from_millis(2_500))
}

/// The number of items that a page lists as completed.
pub fn completed(reply: &Reply) -> usize {
    reply.text().matches("\"completed\"").count()
}

/// The body of a batch job of 200 items, the most that a job has, and 3.8 MB.
pub fn large_job_body(job: &str) -> String {
    let text = "q83vEjRWeJA".repeat(1_698);
    let item = |number: u32| {
        let id = format!("{}{number:04x}", &job[..12]);
        format!(
            "{{\"id\":\"{id}\",\"path\":\"/digest/{id}\",\"headers\":{{\"X-Model\":\"m\",\
             \"X-Token-Usage\":\"540,400\"}},\"body\":\"{text}AA\",\"token-count\":940}}"
        )
    };
    let items: Vec<String> = (0..200).map(item).collect();
    format!("{{\"requests\":[{}]}}", items.join(","))
}

//! Runs fleets of entry hosts inside the test process.

mod http;
mod ports;
mod scripted_server;

pub(crate) use http::{HttpAnswer, HttpRequest, send};
pub(crate) use ports::free_address;
pub(crate) use scripted_server::{ScriptedResponse, ScriptedServer};

use chicoryladder_host::EntryHost;
use chicoryladder_settings::HostSettings;
use chicoryladder_standin::{EngineHandle, EngineOptions, EngineServer};
use chicoryladder_standin::{PlainHandle, PlainOptions, PlainServer};
use chicoryladder_types::{ServerAnnouncement, ServerGeneration, ServerLoad};
use std::collections::HashSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tempfile::TempDir;

/// The time-out of every wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_OPERATION: AtomicU64 = AtomicU64::new(0);

/// How often an operation is sent while the fleet answers `no_quorum`.
const CHANGE_ATTEMPTS: usize = 6;

/// The interval between two announcements of a scripted server.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(100);

const OPERATOR_TOKEN: &str = "operator-token-of-tests";
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The fleet document of the examples.
pub(crate) const DOCUMENT: &str = include_str!("../../examples/fleet.ini");

/// The listening addresses of one host, unchanged by restarts.
#[derive(Clone, Copy)]
pub(crate) struct HostPorts {
    pub(crate) callers: SocketAddr,
    pub(crate) servers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) tunnels: SocketAddr,
}

/// A fleet of entry hosts, spread round robin over three zones. The first three
/// have disks and are voters.
pub(crate) struct FleetFixture {
    folder: TempDir,
    ports: Vec<HostPorts>,
    hosts: Vec<Option<EntryHost>>,
    /// The hosts whose connections to servers begin at an address that they do not have.
    stranded: HashSet<usize>,
}

impl FleetFixture {
    /// Starts `count` hosts without a fleet document and waits until they are ready.
    pub(crate) async fn start(count: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let secret = format!("a secret of {}", folder.path().display());
        std::fs::write(folder.path().join("secret"), secret).unwrap();
        std::fs::write(folder.path().join("token"), OPERATOR_TOKEN).unwrap();
        let ports = (0..count).map(|_| HostPorts::take()).collect();
        let mut fleet = Self {
            folder,
            ports,
            hosts: (0..count).map(|_| None).collect(),
            stranded: HashSet::new(),
        };
        for host in 0..count {
            fleet.start_host(host).await;
        }
        for host in 0..count {
            fleet.wait_ready(host).await;
        }
        fleet
    }

    /// Starts `count` hosts with the example document in force on all of them.
    pub(crate) async fn with_document(count: usize) -> Self {
        Self::with_text(count, DOCUMENT).await
    }

    /// Starts `count` hosts with a document in force on all of them.
    pub(crate) async fn with_text(count: usize, document: &str) -> Self {
        let fleet = Self::start(count).await;
        fleet
            .change_document(0, document, 0, "first-document")
            .await;
        for host in 0..count {
            let wanted = || async { fleet.revision(host).await >= Some(1) };
            eventually("the document is in force", wanted).await;
        }
        fleet
    }

    pub(crate) fn ports(&self, host: usize) -> HostPorts {
        self.ports[host]
    }

    /// The addresses at which all hosts accept announcements of servers.
    pub(crate) fn server_ports(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(|ports| ports.servers).collect()
    }

    /// The folder of the log of a host.
    pub(crate) fn log_folder(&self, host: usize) -> PathBuf {
        self.folder
            .path()
            .join(format!("data-{host}"))
            .join("group-0")
    }

    /// Starts a stopped host on its existing data folder.
    pub(crate) async fn start_host(&mut self, host: usize) {
        let settings = HostSettings::parse("test", &self.settings(host)).unwrap();
        self.hosts[host] = Some(start_with_free_ports(settings).await);
    }

    /// Starts a host again without a path to any server.
    pub(crate) async fn strand_host(&mut self, host: usize) {
        self.kill_host(host).await;
        self.stranded.insert(host);
        self.start_host(host).await;
        self.wait_ready(host).await;
    }

    /// Stops a host without a shutdown, like a crash.
    pub(crate) async fn kill_host(&mut self, host: usize) {
        self.hosts[host].take().unwrap().kill().await;
    }

    /// Removes a running host from the fixture, so that a test can shut it down.
    pub(crate) fn take_host(&mut self, host: usize) -> EntryHost {
        self.hosts[host].take().unwrap()
    }

    pub(crate) async fn wait_ready(&self, host: usize) {
        let callers = self.ports[host].callers;
        let ready = || async move {
            let answer = send(HttpRequest::get(callers, "/readyz")).await;
            answer.is_ok_and(|answer| answer.status == 200)
        };
        eventually("the host is ready", ready).await;
    }

    /// Sends an authenticated operator request to a host.
    pub(crate) async fn admin(
        &self,
        host: usize,
        method: &str,
        path: &str,
        body: &serde_json::Value,
    ) -> HttpAnswer {
        let address = self.ports[host].operators;
        let request = HttpRequest::new(address, method, &format!("/admin/v1/{path}"))
            .with_key(OPERATOR_TOKEN)
            .with_body(body.to_string());
        send(request).await.unwrap()
    }

    pub(crate) async fn put_document(
        &self,
        host: usize,
        document: &str,
        expected_revision: u64,
        operation: &str,
    ) -> HttpAnswer {
        let body = serde_json::json!({
            "document": document,
            "expected_revision": expected_revision,
            "operation_id": operation,
        });
        self.admin(host, "PUT", "fleet", &body).await
    }

    /// Submits a document under one operation id, resent while the fleet answers
    /// `no_quorum`; returns the accepted revision.
    pub(crate) async fn change_document(
        &self,
        host: usize,
        document: &str,
        expected_revision: u64,
        operation: &str,
    ) -> u64 {
        for _ in 0..CHANGE_ATTEMPTS {
            let put = self.put_document(host, document, expected_revision, operation);
            let answer = put.await;
            if answer.reason() != Some("no_quorum") {
                assert_eq!(answer.status, 200, "{}", answer.text());
                return answer.json()["revision"].as_u64().unwrap();
            }
        }
        panic!("no quorum accepted operation {operation} in {CHANGE_ATTEMPTS} attempts");
    }

    /// The revision in force on a host; `None` if it does not respond.
    pub(crate) async fn revision(&self, host: usize) -> Option<u64> {
        let address = self.ports[host].operators;
        let request = HttpRequest::get(address, "/admin/v1/fleet").with_key(OPERATOR_TOKEN);
        send(request).await.ok()?.json()["revision"].as_u64()
    }

    /// Grants a key to a team and returns its id and text.
    pub(crate) async fn grant_key(&self, host: usize, team: &str) -> GrantedKey {
        let number = NEXT_OPERATION.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::json!({
            "team": team,
            "operation_id": format!("grant-{number}"),
        });
        let answer = self.admin(host, "POST", "keys", &body).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        let answer = answer.json();
        GrantedKey {
            id: answer["key_id"].as_str().unwrap().to_owned(),
            text: answer["key"].as_str().unwrap().to_owned(),
        }
    }

    /// Starts a stand-in engine and waits until every running host lists it.
    pub(crate) async fn start_engine(&self, name: &str, zone: &str) -> EngineHandle {
        let slots = self.engine_options(name, zone).slots;
        self.start_engine_with_slots(name, zone, slots).await
    }

    /// Like `start_engine`, with the given number of slots.
    pub(crate) async fn start_engine_with_slots(
        &self,
        name: &str,
        zone: &str,
        slots: u32,
    ) -> EngineHandle {
        let options = EngineOptions {
            slots,
            ..self.engine_options(name, zone)
        };
        let engine = EngineServer::start(options).await.unwrap();
        self.wait_for_server(name).await;
        engine
    }

    fn engine_options(&self, name: &str, zone: &str) -> EngineOptions {
        EngineOptions {
            entry_hosts: self.server_ports(),
            announce_period: Duration::from_millis(100),
            ..EngineOptions::new(
                name.try_into().unwrap(),
                zone.try_into().unwrap(),
                "walks-7b".try_into().unwrap(),
            )
        }
    }

    /// Starts a stand-in plain service and waits until every running host lists it.
    pub(crate) async fn start_service(&self, name: &str, service: &str) -> PlainHandle {
        let options = PlainOptions {
            entry_hosts: self.server_ports(),
            announce_period: Duration::from_millis(100),
            ..PlainOptions::new(
                name.try_into().unwrap(),
                "zone-a".try_into().unwrap(),
                service.try_into().unwrap(),
            )
        };
        let server = PlainServer::start(options).await.unwrap();
        self.wait_for_server(name).await;
        server
    }

    /// Announces a scripted server as one of a plain service, until the runtime of the test
    /// ends, and waits until every running host lists it.
    pub(crate) async fn announce_service(
        &self,
        server: &ScriptedServer,
        name: &str,
        service: &str,
    ) {
        let announcement = ServerAnnouncement {
            name: name.try_into().unwrap(),
            zone: "zone-a".try_into().unwrap(),
            address: server.address,
            generation: ServerGeneration(1),
            slots: 16,
            models: Vec::new(),
            services: vec![service.try_into().unwrap()],
            checks_fencing: false,
            leaving: false,
            load: ServerLoad::default(),
        };
        let text = serde_json::to_string(&announcement).unwrap();
        let hosts = self.server_ports();
        tokio::spawn(async move {
            loop {
                for host in &hosts {
                    let path = "/servers/v1/announce";
                    // A host that is stopped does not respond.
                    let _ = send(HttpRequest::post(*host, path, text.clone())).await;
                }
                tokio::time::sleep(ANNOUNCE_PERIOD).await;
            }
        });
        self.wait_for_server(name).await;
    }

    /// Waits until every running host lists a backend server.
    async fn wait_for_server(&self, name: &str) {
        for (host, running) in self.hosts.iter().enumerate() {
            if running.is_none() {
                continue;
            }
            let address = self.ports[host].operators;
            let known = || async move {
                let request =
                    HttpRequest::get(address, "/admin/v1/servers").with_key(OPERATOR_TOKEN);
                let answer = send(request).await.unwrap();
                answer.text().contains(&format!("\"{name}\""))
            };
            eventually("the host lists the server", known).await;
        }
    }

    fn settings(&self, host: usize) -> String {
        let ports = self.ports[host];
        let zone = ZONES[host % ZONES.len()];
        let servers_from = if self.stranded.contains(&host) {
            "servers_from = 192.0.2.1\n"
        } else {
            ""
        };
        let path = |name: &str| -> PathBuf { self.folder.path().join(name) };
        let mut text = format!(
            "[host]\nname = host-{host}\nzone = {zone}\n\
             [listen]\n{}tunnels = {}\ncallers = {}\nservers = {}\noperators = {}\npeers = {}\n\
             [operators]\ntoken_file = {}\n\
             [peers]\nsecret_file = {}\nseeds = {}\ntunnels = {}\n[voters]\n",
            servers_from,
            ports.tunnels,
            ports.callers,
            ports.servers,
            ports.operators,
            ports.peers,
            path("token").display(),
            path("secret").display(),
            self.seeds(),
            self.tunnels(),
        );
        let voters = self.ports.iter().take(3).enumerate();
        for (seat, ports) in voters {
            writeln!(text, "{} = {}", seat + 1, ports.peers).unwrap();
        }
        if host < 3 {
            let data = path(&format!("data-{host}"));
            write!(text, "[data]\nfolder = {}\n", data.display()).unwrap();
            writeln!(text, "seat = {}", host + 1).unwrap();
        }
        text
    }

    fn tunnels(&self) -> String {
        let addresses = self.ports.iter().map(|ports| ports.tunnels.to_string());
        addresses.collect::<Vec<_>>().join(", ")
    }

    fn seeds(&self) -> String {
        let addresses = self.ports.iter().map(|ports| ports.peers.to_string());
        addresses.collect::<Vec<_>>().join(", ")
    }
}

/// Starts a host, with retries while its addresses are in use: the tasks of a host
/// that was killed in this process may release their sockets only after a while.
async fn start_with_free_ports(settings: HostSettings) -> EntryHost {
    let starting = async {
        loop {
            match EntryHost::start(settings.clone()).await {
                Ok(host) => return host,
                Err(error) if format!("{error:?}").contains("AddrInUse") => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Err(error) => panic!("the host failed to start: {error}"),
            }
        }
    };
    let started = tokio::time::timeout(WAIT_TIMEOUT, starting).await;
    started.expect("the ports of the host become free")
}

/// A granted API key.
pub(crate) struct GrantedKey {
    pub(crate) id: String,
    pub(crate) text: String,
}

impl HostPorts {
    fn take() -> Self {
        Self {
            callers: free_address(),
            servers: free_address(),
            operators: free_address(),
            peers: free_address(),
            tunnels: free_address(),
        }
    }
}

/// Polls `condition` until it holds; panics after `WAIT_TIMEOUT`.
pub(crate) async fn eventually<F>(what: &str, condition: impl Fn() -> F)
where
    F: Future<Output = bool>,
{
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let done = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(
        done.is_ok(),
        "condition not met within {WAIT_TIMEOUT:?}: {what}"
    );
}

/// The body of a chat request for `tokens` completion tokens.
pub(crate) fn chat_body(tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "walks-7b",
        "max_tokens": tokens,
        "stream": stream,
        "messages": [{"role": "user", "content": "Plan a walk."}],
    })
    .to_string()
}

/// The JSON lines of a batch job with `count` chat items.
pub(crate) fn job_lines(count: usize) -> String {
    let mut lines = String::new();
    for item in 0..count {
        let line = serde_json::json!({
            "custom_id": format!("item-{item}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": serde_json::from_str::<serde_json::Value>(&chat_body(2, false)).unwrap(),
        });
        writeln!(lines, "{line}").unwrap();
    }
    lines
}

//! Runs a fleet of daemon processes on a loopback subnet of its own.

use crate::client::{Answer, Call};
use crate::proxy::{LinkFaults, run_proxy};
use crate::servers::{CHECK_IN_INTERVAL, OTHER_ENGINE_SERVICE, RunLog, Server};
use crate::unframed::UNFRAMED_SERVICE;
use hyper::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const DAEMON: &str = env!("CARGO_BIN_EXE_chicoryladderd");

const PEERS_PORT: u16 = 7700;
const PEERS_BIND_PORT: u16 = 7710;
const CALLERS_PORT: u16 = 7701;
const READINESS_PORT: u16 = 7702;
const CONTROL_PORT: u16 = 7703;
const METRICS_PORT: u16 = 7704;

/// The time-out of waits for conditions that a healthy fleet meets within seconds.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The time within which a withdrawn key must stop working (`key_withdrawal_ms`).
pub(crate) const KEY_WITHDRAWAL: Duration = Duration::from_secs(4);

/// The port that marks a subnet as taken, also by tests in other processes.
const SUBNET_PORT: u16 = 7709;

/// The number of the subnet that the next fleet of this test process tries first.
static NEXT_SUBNET: AtomicUsize = AtomicUsize::new(1);

/// A loopback subnet that no other fleet on this machine uses.
struct Subnet {
    /// The second and third byte of its addresses.
    bytes: (u8, u8),
    /// Held as long as the subnet is used.
    _mark: TcpListener,
}

impl Subnet {
    fn reserve() -> Self {
        const SECOND_BYTES: usize = 200;
        const THIRD_BYTES: usize = 250;
        let first = usize::try_from(std::process::id()).expect("it fits");
        for _ in 0..SECOND_BYTES * THIRD_BYTES {
            let number = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
            let byte = |number: usize, least: usize| u8::try_from(number + least).expect("a byte");
            let second = byte((first + number / THIRD_BYTES) % SECOND_BYTES, 20);
            let third = byte(number % THIRD_BYTES, 1);
            let address = Ipv4Addr::new(127, second, third, 1);
            if let Ok(mark) = TcpListener::bind((address, SUBNET_PORT)) {
                let bytes = (second, third);
                return Self { bytes, _mark: mark };
            }
        }
        panic!("no loopback subnet is free");
    }
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Control,
    Store,
    Entry,
}

impl Role {
    fn command(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Store => "store",
            Self::Entry => "entry",
        }
    }
}

struct Host {
    role: Role,
    ip: Ipv4Addr,
    zone: String,
    child: Option<Child>,
    /// The local address of its connections to servers, if it is set.
    servers_from: Option<Ipv4Addr>,
    /// Its `memory_mb` and `descriptors`, if they are set.
    machine: Option<(u64, u64)>,
}

fn append(text: &mut String, more: std::fmt::Arguments<'_>) {
    use std::fmt::Write;
    text.write_fmt(more).expect("writing to a string succeeds");
}

/// Sends a plan to control hosts in turn until one acknowledges it.
pub(crate) async fn send_plan(addresses: &[SocketAddr], plan: &Value) {
    let started = Instant::now();
    for address in addresses.iter().cycle() {
        let call = Call::new(*address, Method::POST, "/config/replace").body(plan.to_string());
        if call
            .send()
            .await
            .is_some_and(|answer| answer.status.is_success())
        {
            return;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "no control host acknowledged the plan within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Reads the plan version at a control host; `None` if it can't confirm that the version is
/// current.
pub(crate) async fn read_plan_version(address: SocketAddr) -> Option<u64> {
    let mut call = Call::new(address, Method::GET, "/config/get");
    call.timeout = Duration::from_secs(3);
    let answer = call
        .send()
        .await
        .filter(|answer| answer.status.is_success())?;
    answer.json()["version"].as_u64()
}

/// A fleet of processes with their proxies and stand-in servers.
pub(crate) struct ProcessFleet {
    folder: TempDir,
    subnet: Subnet,
    /// The hosts that the settings name as seeds of the control group.
    seeds: Vec<(Role, u8)>,
    hosts: BTreeMap<String, Host>,
    pub(crate) faults: LinkFaults,
    pub(crate) runs: RunLog,
    pub(crate) servers: Vec<Server>,
    version: u64,
    /// The features that the settings name; empty if none.
    features: &'static str,
    /// Whether the settings of processes that start later name the zones.
    pub(crate) names_zones: bool,
    /// The area of each zone, where they do.
    pub(crate) areas: &'static str,
}

impl ProcessFleet {
    /// Starts three control, three store and three entry hosts in three zones, an engine
    /// and a plain server per zone, and applies a plan.
    pub(crate) async fn start() -> Self {
        Self::start_with_features("").await
    }

    /// Like `start`, with settings that name the given features.
    pub(crate) async fn start_with_features(features: &'static str) -> Self {
        let seeds = [1, 2, 3].map(|number| (Role::Control, number));
        Self::start_with(&seeds, features, None).await
    }

    /// Like `start`, with settings that name the zones with their areas.
    pub(crate) async fn start_with_areas(areas: &'static str) -> Self {
        let seeds = [1, 2, 3].map(|number| (Role::Control, number));
        Self::start_with(&seeds, "", Some(areas)).await
    }

    /// Like `start`, with settings that name the given hosts as seeds.
    pub(crate) async fn start_with_seeds(seeds: &[(Role, u8)]) -> Self {
        Self::start_with(seeds, "", None).await
    }

    async fn start_with(
        seeds: &[(Role, u8)],
        features: &'static str,
        areas: Option<&'static str>,
    ) -> Self {
        let mut fleet = Self {
            folder: TempDir::new().expect("a folder"),
            subnet: Subnet::reserve(),
            seeds: seeds.to_vec(),
            hosts: BTreeMap::new(),
            faults: LinkFaults::default(),
            runs: RunLog::default(),
            servers: Vec::new(),
            version: 0,
            features,
            names_zones: areas.is_some(),
            areas: areas.unwrap_or("zone-1:north, zone-2:north, zone-3:north"),
        };
        for number in 1..=3 {
            for role in [Role::Control, Role::Store, Role::Entry] {
                fleet.add_host(role, number, true);
            }
        }
        for number in 1..=3 {
            let zone = format!("zone-{number}");
            let control = fleet.addresses(Role::Control, CONTROL_PORT);
            let runs = fleet.runs.clone();
            let name = format!("engine-{number}");
            let engine = Server::start(&name, "engine", &zone, control.clone(), runs.clone());
            fleet.servers.push(engine.await);
            let name = format!("app-{number}");
            let app = Server::start(&name, "app", &zone, control, runs).await;
            fleet.servers.push(app);
        }
        let plan = fleet.next_plan(&["k1"]);
        fleet.apply_plan(&plan).await;
        fleet
            .wait_until("every entry host serves", || async {
                fleet.all_ready().await
            })
            .await;
        fleet
            .wait_until("a job is accepted", || async { fleet.accepts_jobs().await })
            .await;
        fleet
    }

    /// Adds a host with its proxy and starts its process.
    pub(crate) fn add_host(&mut self, role: Role, number: u8, first_start: bool) -> String {
        let name = format!("{}-{number}", role.command());
        let host = Host {
            role,
            ip: self.ip(role, number),
            zone: format!("zone-{}", (number - 1) % 3 + 1),
            child: None,
            servers_from: None,
            machine: None,
        };
        let listen = SocketAddr::from((host.ip, PEERS_PORT));
        let target = SocketAddr::from((host.ip, PEERS_BIND_PORT));
        tokio::spawn(run_proxy(name.clone(), listen, target, self.faults.clone()));
        self.hosts.insert(name.clone(), host);
        self.start_process(&name, first_start);
        name
    }

    fn ip(&self, role: Role, number: u8) -> Ipv4Addr {
        let first = match role {
            Role::Control => 10,
            Role::Store => 20,
            Role::Entry => 30,
        };
        let (second, third) = self.subnet.bytes;
        Ipv4Addr::new(127, second, third, first + number)
    }

    /// Sets the seeds in the settings of processes that start later.
    pub(crate) fn set_seeds(&mut self, seeds: &[(Role, u8)]) {
        self.seeds = seeds.to_vec();
    }

    /// Starts a host again, with or without a path to servers: from an address that the machine
    /// does not have, no connection to a server can be opened.
    pub(crate) fn restart_with_path(&mut self, name: &str, reaches_servers: bool) {
        self.kill(name);
        self.set_server_path(name, reaches_servers);
        self.start_process(name, false);
    }

    /// Sets whether a host has a path to servers from its next start on.
    pub(crate) fn set_server_path(&mut self, name: &str, reaches_servers: bool) {
        const FOREIGN_ADDRESS: Ipv4Addr = Ipv4Addr::new(192, 0, 2, 1);
        let host = self.hosts.get_mut(name).expect("a host");
        host.servers_from = (!reaches_servers).then_some(FOREIGN_ADDRESS);
    }

    /// Starts a host again with the given `memory_mb` and `descriptors`.
    pub(crate) fn restart_with_machine(&mut self, name: &str, machine: (u64, u64)) {
        self.kill(name);
        self.hosts.get_mut(name).expect("a host").machine = Some(machine);
        self.start_process(name, false);
    }

    /// The hosts that were started without a path to servers.
    pub(crate) fn hosts_without_path(&self) -> Vec<String> {
        let stranded = self
            .hosts
            .iter()
            .filter(|(_, host)| host.servers_from.is_some());
        stranded.map(|(name, _)| name.clone()).collect()
    }

    /// Starts the process of a host.
    pub(crate) fn start_process(&mut self, name: &str, first_start: bool) {
        let settings = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&settings, self.settings(name, first_start)).expect("a file");
        let log = self.folder.path().join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a file");
        let errors = log.try_clone().expect("a file");
        let host = self.hosts.get_mut(name).expect("a host");
        let child = Command::new(DAEMON)
            .arg(host.role.command())
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts");
        host.child = Some(child);
    }

    fn settings(&self, name: &str, first_start: bool) -> String {
        let host = &self.hosts[name];
        let at = |port: u16| SocketAddr::from((host.ip, port));
        let servers_from = host.servers_from;
        let seeds: Vec<String> = (self.seeds.iter())
            .map(|(role, number)| format!("{}:{CONTROL_PORT}", self.ip(*role, *number)))
            .collect();
        let first_start = if first_start { "yes" } else { "no" };
        let mut text = format!(
            "[host]\nname = {name}\nzone = {}\n\n[listen]\npeers = {}\npeers_bind = {}\n\
             metrics = {}\n",
            host.zone,
            at(PEERS_PORT),
            at(PEERS_BIND_PORT),
            at(METRICS_PORT),
        );
        if let Some(address) = servers_from {
            append(&mut text, format_args!("servers_from = {address}\n"));
        }
        match host.role {
            Role::Entry => {
                let (callers, readiness) = (at(CALLERS_PORT), at(READINESS_PORT));
                append(
                    &mut text,
                    format_args!("callers = {callers}\nreadiness = {readiness}\n"),
                );
            }
            Role::Control | Role::Store => {
                append(&mut text, format_args!("control = {}\n", at(CONTROL_PORT)));
            }
        }
        let seeds = seeds.join(", ");
        append(
            &mut text,
            format_args!(
                "\n[control]\nseeds = {seeds}\nfirst_start = {first_start}\nlosses_borne = 1\n"
            ),
        );
        if host.role != Role::Entry {
            let folder = self.data(name);
            append(
                &mut text,
                format_args!("\n[data]\nfolder = {}\n", folder.display()),
            );
        }
        append(
            &mut text,
            format_args!(
                "\n[promises]\nkey_withdrawal_ms = {}\ncheck_in_interval_ms = {}\n\
                 drain_timeout_s = 8\nrate_slack = 20\n",
                KEY_WITHDRAWAL.as_millis(),
                CHECK_IN_INTERVAL.as_millis(),
            ),
        );
        if !self.features.is_empty() {
            let features = self.features;
            append(
                &mut text,
                format_args!("\n[features]\nnames = {features}\n"),
            );
        }
        if self.names_zones {
            let areas = self.areas;
            append(&mut text, format_args!("\n[zones]\nareas = {areas}\n"));
        }
        if let Some((memory, descriptors)) = host.machine {
            append(
                &mut text,
                format_args!("\n[limits]\nmemory_mb = {memory}\ndescriptors = {descriptors}\n"),
            );
        }
        text
    }

    fn data(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("data-{name}"))
    }

    /// The log files of all hosts.
    pub(crate) fn log_files(&self) -> Vec<PathBuf> {
        let file = |name: &String| self.folder.path().join(format!("{name}.log"));
        self.hosts.keys().map(file).collect()
    }

    /// The log of a host so far.
    pub(crate) fn read_log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Sends a signal (`STOP`, `CONT` or `TERM`) to the process of a host.
    pub(crate) fn send_signal(&self, name: &str, signal: &str) {
        if let Some(child) = &self.hosts[name].child {
            let status = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
            assert!(status.is_ok_and(|status| status.success()), "kill {name}");
        }
    }

    /// The id of the process of a host.
    pub(crate) fn process_id(&self, name: &str) -> u32 {
        self.hosts[name].child.as_ref().expect("a process").id()
    }

    /// The largest resident set of the process of a host, in bytes.
    pub(crate) fn peak_memory(&self, name: &str) -> usize {
        let child = self.hosts[name].child.as_ref().expect("a process");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
        kilobytes.expect("a figure") * 1024
    }

    /// Kills the process of a host.
    pub(crate) fn kill(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("a host");
        if let Some(mut child) = host.child.take() {
            // The process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process of a host runs.
    pub(crate) fn is_running(&self, name: &str) -> bool {
        let child = self.hosts[name].child.as_ref();
        let stat = child.map(|child| std::fs::read_to_string(format!("/proc/{}/stat", child.id())));
        // The state follows the name of the program; Z is a process that has ended.
        stat.is_some_and(|stat| stat.is_ok_and(|stat| !stat.contains(") Z ")))
    }

    /// Removes a host for good, with its disk.
    pub(crate) fn remove_host(&mut self, name: &str) {
        self.kill(name);
        self.delete_data(name);
        self.hosts.remove(name);
    }

    /// Deletes the data folder of a host whose process does not run.
    pub(crate) fn delete_data(&self, name: &str) {
        std::fs::remove_dir_all(self.data(name)).expect("the folder exists");
    }

    /// Waits until the process of a host has exited; returns how long that took.
    pub(crate) async fn wait_for_exit(&mut self, name: &str) -> Duration {
        let started = Instant::now();
        let host = self.hosts.get_mut(name).expect("a host");
        let mut child = host.child.take().expect("a process");
        while child.try_wait().expect("a process").is_none() {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{name} did not exit within {WAIT_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        started.elapsed()
    }

    pub(crate) fn host_names(&self, role: Role) -> Vec<String> {
        let of_role = self.hosts.iter().filter(|(_, host)| host.role == role);
        of_role.map(|(name, _)| name.clone()).collect()
    }

    fn addresses(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let of_role = self.hosts.values().filter(|host| host.role == role);
        of_role
            .map(|host| SocketAddr::from((host.ip, port)))
            .collect()
    }

    pub(crate) fn callers_address(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.hosts[name].ip, CALLERS_PORT))
    }

    pub(crate) fn readiness_address(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.hosts[name].ip, READINESS_PORT))
    }

    /// The port of a host for other hosts, without a faulty link in front.
    pub(crate) fn peers_address(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.hosts[name].ip, PEERS_BIND_PORT))
    }

    pub(crate) fn control_address(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.hosts[name].ip, CONTROL_PORT))
    }

    pub(crate) async fn metrics(&self, name: &str) -> String {
        let address = SocketAddr::from((self.hosts[name].ip, METRICS_PORT));
        let answer = Call::new(address, Method::GET, "/metrics").send().await;
        answer.expect("an answer").text()
    }

    /// A level in the metrics of a host, such as `group_standbys`.
    pub(crate) async fn level(&self, host: &str, name: &str) -> Option<f64> {
        let metrics = self.metrics(host).await;
        let label = format!("name=\"{name}\"");
        let line = metrics.lines().find(|line| line.contains(&label))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// The host with the highest term among those whose last logged change of leadership
    /// is that they became leader.
    pub(crate) fn leader(&self, role: Role) -> Option<String> {
        let leading_term = |name: &String| {
            let log = self.read_log(name);
            let last = log.lines().rfind(|line| line.contains("\"leadership_"))?;
            if !last.contains("leadership_begins") {
                return None;
            }
            let line: Value = serde_json::from_str(last).ok()?;
            line["term"].as_u64()
        };
        let names = self.host_names(role);
        let leaders = names
            .iter()
            .filter_map(|name| Some((leading_term(name)?, name)));
        leaders.max().map(|(_, name)| name.clone())
    }

    /// Waits until a host leads, and returns its name.
    pub(crate) async fn wait_for_leader(&self, role: Role) -> String {
        self.wait_until("a host leads", || async { self.leader(role).is_some() })
            .await;
        self.leader(role).expect("a leader")
    }

    /// Waits until a host other than the given one leads a group.
    pub(crate) async fn wait_for_next_leader(&self, role: Role, before: &str) {
        self.wait_until("another host leads", || async {
            self.leader(role).is_some_and(|next| next != before)
        })
        .await;
    }

    /// The next version of the plan, with routes of each kind and one team that has the
    /// given keys.
    pub(crate) fn next_plan(&mut self, keys: &[&str]) -> Value {
        self.version += 1;
        let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
            json!({
                "name": name, "host": "walks.example", "path-prefix": format!("/{name}/"),
                "type": kind, "timeout-ms": 5000, "target-latency-ms": 1000, "priority": 0,
                "service": service, "max-attempts": attempts, "public": false,
                "resumable": resumable, "gap-target-ms": 500,
                "completion-target-ms": 20000, "max-queue-s": 120, "cap": 0,
            })
        };
        json!({
            "version": self.version,
            "routes": [
                route("walk", "streaming", "engine", 1, false),
                route("rules", "streaming", "engine", 3, true),
                route("ping", "idempotent", "app", 3, false),
                route("charge", "non_idempotent", "app", 1, false),
                route("digest", "bulk", "engine", 3, true),
            ],
            "services": [
                {"name": "engine", "max-connections": 200,
                 "engine": {"slots": 8, "kv-capacity-tokens": 100_000}},
                {"name": "app", "max-connections": 200},
            ],
            "tenants": [{"name": "curepipe", "api-keys": keys, "rate-per-s": 500, "burst": 500}],
        })
    }

    /// Sends a plan to the control hosts in turn until one acknowledges it.
    pub(crate) async fn apply_plan(&self, plan: &Value) {
        send_plan(&self.addresses(Role::Control, CONTROL_PORT), plan).await;
    }

    /// Reads the plan version at one control host; `None` if it can't confirm that the
    /// version is current.
    pub(crate) async fn read_version(&self, name: &str) -> Option<u64> {
        read_plan_version(self.control_address(name)).await
    }

    /// Whether all entry hosts answer readiness probes with success.
    pub(crate) async fn all_report_ready(&self) -> bool {
        for address in self.addresses(Role::Entry, READINESS_PORT) {
            let answer = Call::new(address, Method::GET, "/readyz").send().await;
            if !answer.is_some_and(|answer| answer.status.is_success()) {
                return false;
            }
        }
        true
    }

    async fn all_ready(&self) -> bool {
        if !self.all_report_ready().await {
            return false;
        }
        for name in self.host_names(Role::Entry) {
            for path in ["/ping/1", "/rules/2"] {
                let answer = self.caller_request(&name, path, "probe").send().await;
                if !answer.is_some_and(|answer| answer.status.is_success() && answer.complete) {
                    return false;
                }
            }
        }
        true
    }

    pub(crate) async fn accepts_jobs(&self) -> bool {
        let entry = &self.host_names(Role::Entry)[0];
        let answer = self.submit(entry, "probe-job", &[], 1).await;
        answer.is_some_and(|answer| answer.status.as_u16() == 202)
    }

    /// A caller's request to an entry host, with the key `k1`.
    pub(crate) fn caller_request(&self, entry: &str, path: &str, id: &str) -> Call {
        Call::new(self.callers_address(entry), Method::POST, path)
            .field("x-request-id", id)
            .field("x-deadline-ms", "5000")
            .key("k1")
            .body("a question")
    }

    /// Submits a job whose items produce `events` events each.
    pub(crate) async fn submit(
        &self,
        entry: &str,
        job: &str,
        items: &[String],
        events: u64,
    ) -> Option<Answer> {
        let body = Self::items_body(items, &format!("/digest/{events}"));
        self.submit_body(entry, "/digest/submit", job, body).await
    }

    /// The body that submits items with the given path.
    pub(crate) fn items_body(items: &[String], path: &str) -> String {
        let item = |id: &String| {
            json!({"id": id, "path": path, "headers": {},
                   "body": "Ym9keQ==", "token-count": 100})
        };
        let items: Vec<Value> = items.iter().map(item).collect();
        json!({ "requests": items }).to_string()
    }

    pub(crate) async fn submit_body(
        &self,
        entry: &str,
        path: &str,
        job: &str,
        body: String,
    ) -> Option<Answer> {
        let call = Call::new(self.callers_address(entry), Method::POST, path);
        let call = call.field("x-request-id", job).key("k1").body(body);
        call.send().await
    }

    /// Starts servers whose responses have no framing, and applies a plan with routes
    /// to them.
    pub(crate) async fn add_unframed_servers(&mut self, count: usize) {
        self.add_servers(UNFRAMED_SERVICE, count).await;
    }

    /// Starts servers of a service without engines, and applies a plan with a route of each
    /// kind to them. The names of both begin with that of the service.
    pub(crate) async fn add_servers(&mut self, service: &'static str, count: usize) {
        for number in 1..=count {
            let control = self.addresses(Role::Control, CONTROL_PORT);
            let name = format!("{service}-{number}");
            let zone = format!("zone-{number}");
            let runs = self.runs.clone();
            let server = Server::start(&name, service, &zone, control, runs).await;
            self.servers.push(server);
        }
        let mut plan = self.next_plan(&["k1"]);
        let services = plan["services"].as_array_mut().expect("a list");
        services.push(json!({"name": service, "max-connections": 200}));
        let routes = plan["routes"].as_array().expect("a list").clone();
        let added = routes.into_iter().map(|mut route| {
            let name = format!("{service}-{}", route["name"].as_str().expect("a name"));
            route["path-prefix"] = json!(format!("/{name}/"));
            route["name"] = json!(name);
            route["service"] = json!(service);
            route
        });
        let added: Vec<Value> = added.collect();
        let routes = plan["routes"].as_array_mut().expect("a list");
        routes.extend(added);
        self.apply_plan(&plan).await;
    }

    /// Starts servers of [`OTHER_ENGINE_SERVICE`], and applies a plan that has the service.
    pub(crate) async fn add_other_engines(&mut self, count: usize) {
        for number in 1..=count {
            let control = self.addresses(Role::Control, CONTROL_PORT);
            let name = format!("other-{number}");
            let zone = format!("zone-{number}");
            let runs = self.runs.clone();
            let server = Server::start(&name, OTHER_ENGINE_SERVICE, &zone, control, runs).await;
            self.servers.push(server);
        }
        let plan = self.next_plan_with_engines();
        self.apply_plan(&plan).await;
    }

    /// The next version of the plan, with both services whose servers answer with streams.
    pub(crate) fn next_plan_with_engines(&mut self) -> Value {
        let mut plan = self.next_plan(&["k1"]);
        let services = plan["services"].as_array_mut().expect("a list");
        let mut other = services[0].clone();
        other["name"] = json!(OTHER_ENGINE_SERVICE);
        services.push(other);
        plan
    }

    /// Reads all results of a job; `None` if the host doesn't return them.
    pub(crate) async fn read_results(
        &self,
        entry: &str,
        job: &str,
    ) -> Option<Vec<(String, String)>> {
        let path = format!("/lots/{job}?after=0");
        let call = Call::new(self.callers_address(entry), Method::GET, &path).key("k1");
        let answer = call.send().await?;
        if !answer.status.is_success() {
            return None;
        }
        let page = answer.json();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let results = page["results"].as_array()?.iter();
        Some(
            results
                .map(|r| (text(&r["id"]), text(&r["text"])))
                .collect(),
        )
    }

    /// Polls `check` until it holds; saves the logs and panics after `WAIT_TIMEOUT`.
    pub(crate) async fn wait_until<F, Fut>(&self, what: &str, check: F)
    where
        F: Fn() -> Fut,
        Fut: Future<Output = bool>,
    {
        let started = Instant::now();
        while !check().await {
            if started.elapsed() > WAIT_TIMEOUT {
                self.save_logs();
                panic!("condition not met within {WAIT_TIMEOUT:?}: {what}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Copies the logs to a folder that outlives the test, and prints its path.
    pub(crate) fn save_logs(&self) {
        let folder = std::env::temp_dir().join(format!("fleet-logs-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        for name in self.hosts.keys() {
            let file = folder.join(format!("{name}-{}.log", self.subnet.bytes.1));
            std::fs::write(file, self.read_log(name)).expect("a file");
        }
        eprintln!("logs saved in {}", folder.display());
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        let names: Vec<String> = self.hosts.keys().cloned().collect();
        for name in names {
            self.kill(&name);
        }
        if std::thread::panicking() {
            self.save_logs();
        }
    }
}

//! A small fleet of the project's processes on loopback addresses, and the record of a run.

use crate::http::{Answer, Call};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const DAEMON: &str = "target/release/chicoryladderd";
const PEERS_PORT: u16 = 7660;
const CALLERS_PORT: u16 = 8405;
const READINESS_PORT: u16 = 8406;
const CONTROL_PORT: u16 = 8407;
const METRICS_PORT: u16 = 9464;
/// The port by which a run marks its subnet as taken.
const SUBNET_PORT: u16 = 7659;

/// The host name of the routes.
pub const HOST: &str = "park.example";

/// Writes what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.started.elapsed().as_secs_f64());
        let mut file = self.file.lock().expect("no writer panicked");
        file.write_all(line.as_bytes())
            .expect("the record can be written");
    }
}

/// The role of a process, as in the deploy file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
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
}

/// The processes of a run; dropping it ends them.
pub struct Fleet {
    folder: PathBuf,
    subnet: (u8, u8),
    _mark: TcpListener,
    hosts: BTreeMap<String, Host>,
    pub record: Record,
}

impl Fleet {
    /// Starts three control, three store and `entries` entry hosts in three zones.
    pub fn start(record: &Record, entries: u8) -> Self {
        let (subnet, mark) = reserve_subnet();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let mut fleet = Self {
            folder,
            subnet,
            _mark: mark,
            hosts: BTreeMap::new(),
            record: record.clone(),
        };
        for number in 1..=3 {
            fleet.add(Role::Control, number, true);
            fleet.add(Role::Store, number, true);
        }
        for number in 1..=entries {
            fleet.add(Role::Entry, number, true);
        }
        fleet
    }

    /// Adds a machine with an empty disk and starts its process.
    pub fn add(&mut self, role: Role, number: u8, first_start: bool) -> String {
        let name = format!("{}-{number}", role.command());
        let host = Host {
            role,
            ip: self.ip(role, number),
            zone: format!("zone-{}", (number - 1) % 3 + 1),
            child: None,
        };
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
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, first + number)
    }

    /// An address of the run's subnet for a stand-in.
    pub fn stand_in_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 100 + number)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, name: &str, first_start: bool) {
        let settings = self.folder.join(format!("{name}.ini"));
        std::fs::write(&settings, self.settings(name, first_start)).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
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
        self.record.note(&format!(
            "platform: starts {name}, bootstrap = {first_start}"
        ));
    }

    /// The settings as `deploy/process.ini` gives them with the values of DEPLOY.md.
    fn settings(&self, name: &str, first_start: bool) -> String {
        let host = &self.hosts[name];
        let ip = host.ip;
        let seeds: Vec<String> = (1..=3)
            .map(|number| format!("{}:{CONTROL_PORT}", self.ip(Role::Control, number)))
            .collect();
        let listen = match host.role {
            Role::Entry => {
                format!("callers = {ip}:{CALLERS_PORT}\nreadiness = {ip}:{READINESS_PORT}\n")
            }
            Role::Control | Role::Store => format!("control = {ip}:{CONTROL_PORT}\n"),
        };
        let data = match host.role {
            Role::Entry => String::new(),
            Role::Control | Role::Store => {
                format!("[data]\nfolder = {}\n", self.data(name).display())
            }
        };
        format!(
            "[host]\nname = {name}\nzone = {}\n\n\
             [listen]\npeers = {ip}:{PEERS_PORT}\nmetrics = {ip}:{METRICS_PORT}\n{listen}\n\
             [control]\nseeds = {}\nfirst_start = {}\nlosses_borne = 1\n{data}\n\
             [promises]\ncheck_in_interval_ms = 1200\nkey_withdrawal_ms = 5000\n\
             plan_applies_ms = 2000\nserver_drain_ms = 2000\ndrain_timeout_s = 8\n\
             rate_slack = 20\nrate_overshoot = 0.1\nrate_window_s = 5\njob_retention_s = 120\n",
            host.zone,
            seeds.join(","),
            if first_start { "yes" } else { "no" },
        )
    }

    fn data(&self, name: &str) -> PathBuf {
        self.folder.join(format!("data-{name}"))
    }

    pub fn names(&self, role: Role) -> Vec<String> {
        let of_role = self.hosts.iter().filter(|(_, host)| host.role == role);
        of_role.map(|(name, _)| name.clone()).collect()
    }

    pub fn callers(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.hosts[name].ip, CALLERS_PORT))
    }

    /// The addresses of all machines that serve control and were not removed.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let serving = self.hosts.values().filter(|host| host.role != Role::Entry);
        serving
            .map(|host| SocketAddr::from((host.ip, CONTROL_PORT)))
            .collect()
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.hosts[name].child.as_ref().expect("a process");
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill {name}");
        self.record
            .note(&format!("platform: SIG{signal} to {name}"));
    }

    /// Waits for the end of a process, and kills it after `grace`.
    pub fn wait_for_end(&mut self, name: &str, grace: Duration) {
        let until = Instant::now() + grace;
        let host = self.hosts.get_mut(name).expect("a host");
        let Some(mut child) = host.child.take() else {
            return;
        };
        while child.try_wait().expect("a process").is_none() {
            if Instant::now() >= until {
                child.kill().expect("a process");
                child.wait().expect("a process");
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.note(&format!("platform: {name} has ended"));
    }

    pub fn kill(&mut self, name: &str) {
        let host = self.hosts.get_mut(name).expect("a host");
        if let Some(mut child) = host.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("platform: SIGKILL to {name}"));
        }
    }

    /// Forgets a machine that was removed for good.
    pub fn remove(&mut self, name: &str) {
        self.kill(name);
        self.hosts.remove(name);
        self.record.note(&format!("platform: {name} is removed"));
    }

    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// The host of a role that logged the newest begin of a leadership which it has not lost.
    pub fn leader(&self, role: Role) -> Option<String> {
        let term = |name: &String| {
            let log = self.log(name);
            let last = log.lines().rfind(|line| line.contains("\"leadership_"))?;
            if !last.contains("\"leadership_begins\"") {
                return None;
            }
            let (_, rest) = last.split_once("\"term\":")?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let names = self.names(role);
        let leaders = names
            .into_iter()
            .filter_map(|name| Some((term(&name)?, name)));
        leaders.max().map(|(_, name)| name)
    }

    /// Sends a configuration as the operator does until a machine acknowledges it; returns
    /// whether one did.
    pub fn apply(&self, version: u64, document: &str, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let addresses = self.control_addresses();
        for address in addresses.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let call = Call::new(*address, "POST", "/config/replace")
                .field("Content-Type", "application/json")
                .body(document);
            let answer = call.send();
            let status = answer.as_ref().map(|answer| answer.status);
            self.record.note(&format!(
                "operator: configuration {version} to {address}: {status:?}"
            ));
            if status == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Reads the configuration at one address; `None` without a 200.
    pub fn read_config(&self, address: SocketAddr) -> Option<Answer> {
        let answer = Call::new(address, "GET", "/config/get").send();
        let shown = answer
            .as_ref()
            .map(|answer| (answer.status, version_of(&answer.body)));
        self.record.note(&format!(
            "operator: reads the configuration at {address}: {shown:?}"
        ));
        answer.filter(|answer| answer.status == 200)
    }

    /// Whether all entry hosts answer readiness probes with 200 within `patience`.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let is_ready = |host: &Host| {
            let address = SocketAddr::from((host.ip, READINESS_PORT));
            let answer = Call::new(address, "GET", "/readyz").send();
            answer.is_some_and(|answer| answer.status == 200)
        };
        let entries = || self.hosts.values().filter(|host| host.role == Role::Entry);
        while !entries().all(is_ready) {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in self.hosts.values_mut() {
            if let Some(mut child) = host.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The version in a configuration document.
pub fn version_of(document: &str) -> Option<u64> {
    let (_, rest) = document.split_once("\"version\":")?;
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

/// A loopback subnet that no other run on this machine uses.
fn reserve_subnet() -> ((u8, u8), TcpListener) {
    let start = std::process::id();
    for attempt in 0..20_000u32 {
        let number = start.wrapping_add(attempt);
        let second = 20 + u8::try_from(number / 250 % 200).expect("below 200");
        let third = 1 + u8::try_from(number % 250).expect("below 250");
        let address = Ipv4Addr::new(127, second, third, 1);
        if let Ok(mark) = TcpListener::bind((address, SUBNET_PORT)) {
            return ((second, third), mark);
        }
    }
    panic!("no loopback subnet is free");
}

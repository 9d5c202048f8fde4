//! A small deployment of the project's own programs on loopback addresses.

use crate::http::{Reply, call};
use crate::links::Links;
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const FRONTEND: u16 = 8405;
pub const READINESS: u16 = 8406;
pub const CONTROL: u16 = 8407;
const PEERS: u16 = 7660;
/// Where a machine behind a proxy accepts the connections that the proxy passes on.
const PEERS_BIND: u16 = 7661;
const METRICS: u16 = 9464;
/// Held by the fleet that uses a subnet.
const MARK: u16 = 8400;

/// The bounds and the memory of the site `lonja-rents`, in the keys of the template of settings.
const PROMISES: &str = "[promises]\ncheck_in_interval_ms = 1200\nkey_withdrawal_ms = 5000\n\
    plan_applies_ms = 2000\nserver_drain_ms = 2000\ndrain_timeout_s = 8\nrate_slack = 20\n\
    rate_overshoot = 0.1\nrate_window_s = 5\njob_retention_s = 120\n";

const FEATURES: &str = "[features]\n\
    names = base,drain,config,cost,recover,batch,stream,engine,tenants,quota\n";

pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Writes what happens to `record.txt` and to the standard output.
pub struct Record {
    started: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = fs::File::create(path).expect("the record can be created");
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.started.elapsed().as_secs_f64(), text.as_ref());
        println!("{line}");
        let mut file = self.file.lock().expect("no writer panicked");
        writeln!(file, "{line}").expect("the record can be written");
    }
}

pub struct Host {
    pub role: &'static str,
    pub zone: String,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

pub struct Fleet {
    subnet: (u8, u8),
    _mark: TcpListener,
    folder: PathBuf,
    program: PathBuf,
    seeds: String,
    zones: String,
    pub hosts: BTreeMap<String, Host>,
    /// Delays the connections to core and storage machines, if the case has such a disruption.
    pub links: Option<Arc<Links>>,
}

impl Fleet {
    /// Reserves a subnet; `zones` lists `zone:region`.
    pub fn new(zones: &str) -> Self {
        let id = std::process::id();
        let (subnet, mark) = (0..10_000u32)
            .find_map(|step| {
                let number = id.wrapping_add(step * 7);
                let subnet = (40 + (number / 250 % 200) as u8, 1 + (number % 250) as u8);
                let address = (Ipv4Addr::new(127, subnet.0, subnet.1, 250), MARK);
                TcpListener::bind(address).ok().map(|mark| (subnet, mark))
            })
            .expect("a loopback subnet is free");
        let folder = std::env::temp_dir().join(format!("fleet-{}-{id}", unix_ms()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seeds = (1..=3).map(|n| format!("{}:{CONTROL}", address(subnet, "core", n)));
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let program = std::env::current_dir().expect("a folder");
        let program = program.join("target/release/chicoryladderd");
        Self {
            subnet,
            _mark: mark,
            folder,
            program,
            seeds,
            zones: zones.to_owned(),
            hosts: BTreeMap::new(),
            links: None,
        }
    }

    /// The address of a stand-in server.
    pub fn server_address(&self, number: u8) -> SocketAddrV4 {
        let (second, third) = self.subnet;
        SocketAddrV4::new(Ipv4Addr::new(127, second, third, 100 + number), 8080)
    }

    /// Adds a machine of the class `edge`, `core` or `storage`, and starts its process.
    pub fn add(&mut self, role: &'static str, number: u8, zone: &str, bootstrap: bool) -> String {
        let name = format!("{role}-{number}");
        let ip = address(self.subnet, role, number);
        let host = Host { role, zone: zone.to_owned(), ip, child: None };
        self.hosts.insert(name.clone(), host);
        if let Some(links) = self.links.clone().filter(|_| role != "edge") {
            links.listen(&name, SocketAddrV4::new(ip, PEERS), SocketAddrV4::new(ip, PEERS_BIND));
        }
        self.start(&name, bootstrap);
        name
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, name: &str, bootstrap: bool) {
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, self.settings(name, bootstrap)).expect("the settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log).expect("a log");
        let errors = log.try_clone().expect("a log");
        let host = self.hosts.get_mut(name).expect("a machine");
        let role = match host.role {
            "edge" => "entry",
            "core" => "control",
            _ => "store",
        };
        let child = Command::new(&self.program)
            .args([role, "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        host.child = Some(child.expect("the program starts: was it built?"));
    }

    fn settings(&self, name: &str, bootstrap: bool) -> String {
        let host = &self.hosts[name];
        let Host { role, zone, ip, .. } = host;
        let yes = if bootstrap { "yes" } else { "no" };
        let mut listen = format!("peers = {ip}:{PEERS}\nmetrics = {ip}:{METRICS}\n");
        if *role != "edge" && self.links.is_some() {
            listen += &format!("peers_bind = {ip}:{PEERS_BIND}\n");
        }
        match *role {
            "edge" => {
                listen += &format!("callers = {ip}:{FRONTEND}\nreadiness = {ip}:{READINESS}\n");
            }
            _ => listen += &format!("control = {ip}:{CONTROL}\n"),
        }
        let data = match *role {
            "edge" => String::new(),
            _ => format!("[data]\nfolder = {}\n", self.data_folder(name).display()),
        };
        let memory = match *role {
            "edge" => 110,
            "core" => 256,
            _ => 130,
        };
        format!(
            "[host]\nname = {name}\nzone = {zone}\n\n[listen]\n{listen}\n[control]\n\
             seeds = {}\nfirst_start = {yes}\nlosses_borne = 1\n{data}{PROMISES}[zones]\n\
             areas = {}\n{FEATURES}[limits]\nmemory_mb = {memory}\ndescriptors = 4100\n",
            self.seeds, self.zones,
        )
    }

    pub fn pid(&self, name: &str) -> u32 {
        self.hosts[name].child.as_ref().expect("a process").id()
    }

    /// Sends a signal to the process of a machine, by its id.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name).to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal is sent");
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.hosts.get_mut(name).and_then(|host| host.child.take()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process of a machine is gone, and its disk with it.
    pub fn kill_with_disk(&mut self, name: &str) {
        self.kill(name);
        let _ = fs::remove_dir_all(self.data_folder(name));
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let child = self.hosts.get_mut(name).and_then(|host| host.child.as_mut());
        child.is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_some()))
    }

    /// The anonymous memory of the process of a machine, in MB of 2^20 bytes.
    pub fn used_mb(&self, name: &str) -> u64 {
        let Some(child) = self.hosts.get(name).and_then(|host| host.child.as_ref()) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or_default();
        let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn names(&self, role: &str) -> Vec<String> {
        let hosts = self.hosts.iter().filter(|(_, host)| host.role == role);
        hosts.map(|(name, _)| name.clone()).collect()
    }

    pub fn at(&self, name: &str, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.hosts[name].ip, port)
    }

    pub fn control_addresses(&self) -> Vec<SocketAddrV4> {
        self.names("core").iter().map(|name| self.at(name, CONTROL)).collect()
    }

    /// A call of the operator, at each node in turn until one gives a clear response.
    pub fn operator(&self, method: &str, path: &str, body: &str, within: Duration) -> Option<Reply> {
        let started = Instant::now();
        loop {
            for address in self.control_addresses() {
                let reply = call(address, method, path, &[], body, Duration::from_secs(1));
                if let Some(reply) = reply.filter(|reply| reply.status < 500) {
                    return Some(reply);
                }
                if started.elapsed() > within {
                    return None;
                }
            }
            std::thread::sleep(Duration::from_millis(100));
        }
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
        if std::env::var_os("KEEP").is_some() {
            println!("kept {}", self.folder.display());
            return;
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn address((second, third): (u8, u8), role: &str, number: u8) -> Ipv4Addr {
    let first = match role {
        "core" => 10,
        "storage" => 20,
        _ => 30,
    };
    Ipv4Addr::new(127, second, third, first + number)
}

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

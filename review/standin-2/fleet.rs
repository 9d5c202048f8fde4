//! A small fleet of the project's own programs on loopback addresses, and the platform around it:
//! it renders settings, starts processes, and ends those that exceed the memory of their machine.

use crate::http::{Message, Request, send};
use crate::replica::{Pace, ReplicaSettings};
use std::fs::File;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const DAEMON: &str = "target/release/chicoryladderd";

const PEERS_PORT: u16 = 7660;
const CALLERS_PORT: u16 = 8405;
const READINESS_PORT: u16 = 8406;
const CONTROL_PORT: u16 = 8407;
const METRICS_PORT: u16 = 9464;

/// Marks a subnet as taken.
const SUBNET_PORT: u16 = 7609;

/// The memory of the machines of `lonja-rents`, in megabytes.
const ENTRY_MEMORY_MB: u64 = 110;
const STORE_MEMORY_MB: u64 = 130;
const CONTROL_MEMORY_MB: u64 = 256;

/// The delay after which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The interval at which the platform looks at the memory of the processes.
const MEMORY_INTERVAL: Duration = Duration::from_millis(10);

/// The time within which a fleet has to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The lines of `record.txt`; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    shared: Arc<Mutex<RecordFile>>,
    started_at: Instant,
}

struct RecordFile {
    file: File,
    runs: u64,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            shared: Arc::new(Mutex::new(RecordFile { file, runs: 0 })),
            started_at: Instant::now(),
        })
    }

    fn file(&self) -> MutexGuard<'_, RecordFile> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, line: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        // The exit code tells the result also if the record cannot be written.
        let _ = writeln!(self.file().file, "{seconds:8.3} {line}");
    }

    /// Records that a replica began to work on a request.
    pub fn run(&self, id: &str, replica: &str) {
        self.file().runs += 1;
        self.note(&format!("run {id} at {replica}"));
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Store,
    Entry,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Store => "store",
            Self::Entry => "entry",
        }
    }

    fn memory_mb(self) -> u64 {
        match self {
            Self::Control => CONTROL_MEMORY_MB,
            Self::Store => STORE_MEMORY_MB,
            Self::Entry => ENTRY_MEMORY_MB,
        }
    }

    fn descriptors(self) -> u64 {
        match self {
            Self::Control => 4_096,
            Self::Store => 8_200,
            Self::Entry => 4_100,
        }
    }

    fn first_byte(self) -> u8 {
        match self {
            Self::Control => 10,
            Self::Store => 20,
            Self::Entry => 30,
        }
    }
}

struct Node {
    role: Role,
    number: u8,
    ip: Ipv4Addr,
    child: Option<Child>,
    ended_at: Option<Instant>,
    /// How often the process exceeded the memory of its machine.
    memory_ends: u32,
    /// How often it ended by itself.
    own_ends: u32,
    /// The most memory that was seen, in kilobytes.
    peak_kb: u64,
}

impl Node {
    fn name(&self) -> String {
        format!("{}-{}", self.role.name(), self.number)
    }
}

/// How the processes of a machine ended.
pub struct NodeEnds {
    pub name: String,
    pub memory_ends: u32,
    pub own_ends: u32,
    pub peak_kb: u64,
}

/// A running fleet. Dropping it ends all processes.
pub struct Fleet {
    folder: PathBuf,
    subnet: (u8, u8),
    _mark: TcpListener,
    nodes: Arc<Mutex<Vec<Node>>>,
    stop: Arc<AtomicBool>,
    pub record: Record,
    replicas: u8,
}

impl Fleet {
    /// Starts three control, three store and three entry processes in three zones.
    pub fn start(record: Record) -> io::Result<Self> {
        let (subnet, mark) = reserve_subnet()?;
        let folder = format!("chicoryladder-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder)?;
        let mut nodes = Vec::new();
        for number in 1..=3 {
            for role in [Role::Control, Role::Store, Role::Entry] {
                let ip = Ipv4Addr::new(127, subnet.0, subnet.1, role.first_byte() + number);
                nodes.push(Node {
                    role,
                    number,
                    ip,
                    child: None,
                    ended_at: None,
                    memory_ends: 0,
                    own_ends: 0,
                    peak_kb: 0,
                });
            }
        }
        let fleet = Self {
            folder,
            subnet,
            _mark: mark,
            nodes: Arc::new(Mutex::new(nodes)),
            stop: Arc::default(),
            record,
            replicas: 0,
        };
        for node in lock(&fleet.nodes).iter_mut() {
            start_process(node, &fleet.folder, fleet.subnet, true)?;
        }
        let (nodes, stop) = (fleet.nodes.clone(), fleet.stop.clone());
        let (folder, record) = (fleet.folder.clone(), fleet.record.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for node in lock(&nodes).iter_mut() {
                    watch(node, &folder, subnet, &record);
                }
                std::thread::sleep(MEMORY_INTERVAL);
            }
        });
        Ok(fleet)
    }

    /// Starts a replica of a service.
    pub fn add_replica(&mut self, service: &'static str, pace: Pace) -> io::Result<()> {
        self.replicas += 1;
        let number = self.replicas;
        crate::replica::start(ReplicaSettings {
            name: format!("i-{service}-{number}"),
            service,
            zone: zone(number),
            ip: Ipv4Addr::new(127, self.subnet.0, self.subnet.1, 100 + number),
            control: self.control_addresses(),
            pace,
            stop: self.stop.clone(),
            record: self.record.clone(),
        })
    }

    fn addresses(&self, role: Role, port: u16) -> Vec<SocketAddr> {
        let nodes = lock(&self.nodes);
        let of_role = nodes.iter().filter(|node| node.role == role);
        of_role
            .map(|node| SocketAddr::from((node.ip, port)))
            .collect()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, CONTROL_PORT)
    }

    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Entry, CALLERS_PORT)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, document: &str) -> Result<(), String> {
        let started = Instant::now();
        for address in self.control_addresses().iter().cycle() {
            let answer = send(&Request {
                address: *address,
                method: "POST",
                path: "/config/replace",
                fields: &[("host", "control"), ("content-type", "application/json")],
                body: document.as_bytes(),
                timeout: Duration::from_secs(1),
            });
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record
                    .note("operator: the configuration is acknowledged");
                return Ok(());
            }
            if started.elapsed() > START_TIMEOUT {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("no node acknowledged the configuration".to_owned())
    }

    /// Waits until all entry nodes are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        for address in self.addresses(Role::Entry, READINESS_PORT) {
            loop {
                let answer = send(&Request {
                    address,
                    method: "GET",
                    path: "/readyz",
                    fields: &[("host", "node")],
                    body: b"",
                    timeout: Duration::from_secs(1),
                });
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if started.elapsed() > START_TIMEOUT {
                    return Err(format!("{address} is not ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    /// Kills the process of a store machine; the platform starts it again.
    pub fn kill_store(&self, number: u8) {
        let mut nodes = lock(&self.nodes);
        let of_store = nodes.iter_mut().filter(|node| node.role == Role::Store);
        for node in of_store.filter(|node| node.number == number) {
            let Some(mut child) = node.child.take() else {
                continue;
            };
            let _ = child.kill();
            let _ = child.wait();
            node.ended_at = Some(Instant::now());
            self.record
                .note(&format!("trouble: {} is killed", node.name()));
        }
    }

    /// What became of the processes so far.
    pub fn ends(&self) -> Vec<NodeEnds> {
        let nodes = lock(&self.nodes);
        let ends = nodes.iter().map(|node| NodeEnds {
            name: node.name(),
            memory_ends: node.memory_ends,
            own_ends: node.own_ends,
            peak_kb: node.peak_kb,
        });
        ends.collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for node in lock(&self.nodes).iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn lock(nodes: &Mutex<Vec<Node>>) -> MutexGuard<'_, Vec<Node>> {
    nodes.lock().unwrap_or_else(PoisonError::into_inner)
}

fn zone(number: u8) -> String {
    format!("zone-{}", (number - 1) % 3 + 1)
}

/// Ends a process that exceeds the memory of its machine, and starts an ended one again.
fn watch(node: &mut Node, folder: &Path, subnet: (u8, u8), record: &Record) {
    let Some(child) = &mut node.child else {
        if node
            .ended_at
            .is_some_and(|at| at.elapsed() >= RESTART_DELAY)
        {
            match start_process(node, folder, subnet, false) {
                Ok(()) => record.note(&format!("platform: {} starts again", node.name())),
                Err(error) => record.note(&format!("platform: {error}")),
            }
        }
        return;
    };
    if let Ok(Some(status)) = child.try_wait() {
        record.note(&format!(
            "platform: {} ended by itself: {status}",
            node.name()
        ));
        node.own_ends += 1;
        node.child = None;
        node.ended_at = Some(Instant::now());
        return;
    }
    let used_kb = anonymous_kb(child.id());
    node.peak_kb = node.peak_kb.max(used_kb);
    let limit_kb = node.role.memory_mb() * 1024;
    if used_kb <= limit_kb {
        return;
    }
    let _ = child.kill();
    let _ = child.wait();
    node.memory_ends += 1;
    node.child = None;
    node.ended_at = Some(Instant::now());
    record.note(&format!(
        "platform: {} uses {} MB of its {} MB and is killed",
        node.name(),
        used_kb / 1024,
        limit_kb / 1024,
    ));
}

/// The memory of a process without its program and other files, in kilobytes.
fn anonymous_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let figure = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    figure.unwrap_or(0)
}

fn start_process(
    node: &mut Node,
    folder: &Path,
    subnet: (u8, u8),
    is_first: bool,
) -> io::Result<()> {
    let name = node.name();
    let settings = folder.join(format!("{name}.ini"));
    std::fs::write(&settings, settings_of(node, folder, subnet, is_first))?;
    let log = folder.join(format!("{name}.log"));
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(DAEMON)
        .arg(node.role.name())
        .arg("--settings")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    node.child = Some(child);
    node.ended_at = None;
    Ok(())
}

/// The settings of a process, as the template of the deploy file renders them.
fn settings_of(node: &Node, folder: &Path, subnet: (u8, u8), is_first: bool) -> String {
    let (ip, name) = (node.ip, node.name());
    let listen = match node.role {
        Role::Entry => {
            format!("callers = {ip}:{CALLERS_PORT}\nreadiness = {ip}:{READINESS_PORT}\n")
        }
        Role::Control | Role::Store => format!("control = {ip}:{CONTROL_PORT}\n"),
    };
    let seeds = [1, 2, 3].map(|number| {
        let last = Role::Control.first_byte() + number;
        format!("127.{}.{}.{last}:{CONTROL_PORT}", subnet.0, subnet.1)
    });
    let data = match node.role {
        Role::Entry => String::new(),
        _ => format!(
            "[data]\nfolder = {}\n",
            folder.join(format!("data-{name}")).display()
        ),
    };
    format!(
        "[host]\nname = {name}\nzone = {}\n\n\
         [listen]\npeers = {ip}:{PEERS_PORT}\nmetrics = {ip}:{METRICS_PORT}\n{listen}\n\
         [control]\nseeds = {}\nfirst_start = {}\nlosses_borne = 1\n{data}\n\
         [promises]\ncheck_in_interval_ms = 1200\nkey_withdrawal_ms = 5000\n\
         plan_applies_ms = 2000\nserver_drain_ms = 2000\ndrain_timeout_s = 8\nrate_slack = 20\n\
         rate_overshoot = 0.1\nrate_window_s = 5\njob_retention_s = 120\n\n\
         [zones]\nareas = zone-1:area, zone-2:area, zone-3:area\n\n\
         [features]\nnames = base,drain,config,cost,recover,batch,stream,engine,tenants,quota\n\n\
         [limits]\nmemory_mb = {}\ndescriptors = {}\n",
        zone(node.number),
        seeds.join(","),
        if is_first { "yes" } else { "no" },
        node.role.memory_mb(),
        node.role.descriptors(),
    )
}

fn reserve_subnet() -> io::Result<((u8, u8), TcpListener)> {
    let first = std::process::id();
    for number in 0..1_000 {
        let seed = first.wrapping_add(number);
        let byte = |value: u32, least: u8, most: u8| {
            least + u8::try_from(value % u32::from(most - least)).unwrap_or(0)
        };
        let subnet = (byte(seed / 240, 20, 220), byte(seed, 1, 241));
        let mark = Ipv4Addr::new(127, subnet.0, subnet.1, 1);
        if let Ok(mark) = TcpListener::bind((mark, SUBNET_PORT)) {
            return Ok((subnet, mark));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// A client's request to an entry node, with a key.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    (key, id): (&str, &str),
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let key = format!("Bearer {key}");
    let left = timeout.as_millis().to_string();
    send(&Request {
        address,
        method,
        path,
        fields: &[
            ("host", "rents.example"),
            ("authorization", &key),
            ("x-request-id", id),
            ("x-deadline-ms", &left),
            ("content-type", "application/json"),
        ],
        body,
        timeout,
    })
}

/// The configuration: a route for streams and one for jobs, and tenants with one key each.
pub fn configuration(version: u64, tenants: usize) -> String {
    let tenants = (1..=tenants).map(|number| {
        format!(
            "{{\"name\":\"tenant{number}\",\"api-keys\":[\"key{number}\"],\"priority\":1,\
             \"rate-per-s\":58,\"burst\":58}}"
        )
    });
    let tenants: Vec<String> = tenants.collect();
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"query\",\"host\":\"rents.example\",\"path-prefix\":\"/query/\",\
         \"type\":\"streaming\",\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,\
         \"service\":\"clerk\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap-target-ms\":400}},\
         {{\"name\":\"letters\",\"host\":\"rents.example\",\"path-prefix\":\"/letters/\",\
         \"type\":\"bulk\",\"timeout-ms\":15000,\"target-latency-ms\":400,\"priority\":2,\
         \"service\":\"clerk\",\"max-attempts\":3,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap-target-ms\":400,\"completion-target-ms\":18000,\
         \"max-queue-s\":120,\"cap\":1000000}}],\
         \"services\":[{{\"name\":\"clerk\",\"health-path\":\"/healthz\",\"max-connections\":230,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":8,\
         \"kv-capacity-tokens\":147261}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(","),
    )
}

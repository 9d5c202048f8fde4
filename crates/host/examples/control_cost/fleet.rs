//! A fleet of hosts that run in this process.

use bytes::Bytes;
use chicoryladder_host::EntryHost;
use chicoryladder_settings::HostSettings;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The number of hosts with a disk, each of which holds a voter seat.
const SEATS: usize = 3;

/// The number of availability zones, to which hosts are assigned round-robin.
const ZONES: usize = 3;

/// The peer port of the first host.
const FIRST_PORT: u16 = 15_000;

/// The time between two checks of the hosts' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The maximum time until the first change is accepted, and until a change is in
/// force on all hosts.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// The bearer token of the operators' port.
const OPERATOR_TOKEN: &str = "token-of-the-measurement";

/// Totals of the traffic between the hosts.
#[derive(Clone, Copy)]
pub(crate) struct SentCounts {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl SentCounts {
    /// Returns the traffic since the earlier totals.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// The running hosts and their data folders.
pub(crate) struct CostFleet {
    hosts: Vec<EntryHost>,
    client: Client<HttpConnector, Full<Bytes>>,
    _folder: TempDir,
}

impl CostFleet {
    pub(crate) async fn start(count: usize) -> Result<Self, Box<dyn std::error::Error>> {
        let folder = tempfile::tempdir()?;
        std::fs::write(folder.path().join("token"), OPERATOR_TOKEN)?;
        std::fs::write(folder.path().join("secret"), "secret of the measurement")?;
        let mut hosts = Vec::new();
        for host in 0..count {
            let text = host_settings(folder.path(), host, count)?;
            hosts.push(EntryHost::start(HostSettings::parse("host", &text)?).await?);
        }
        let fleet = Self {
            hosts,
            client: Client::builder(TokioExecutor::new()).build_http(),
            _folder: folder,
        };
        fleet.wait_for_first_commit().await?;
        Ok(fleet)
    }

    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    pub(crate) fn sent(&self) -> SentCounts {
        let counts = self.hosts.iter().map(EntryHost::link_counts);
        let zero = SentCounts {
            messages: 0,
            bytes: 0,
        };
        counts.fold(zero, |sum, count| SentCounts {
            messages: sum.messages + count.sent,
            bytes: sum.bytes + count.sent_bytes,
        })
    }

    /// Changes the fleet document and waits until the change is in force on all hosts;
    /// returns the time taken.
    pub(crate) async fn apply_change(&self) -> Result<Duration, Box<dyn std::error::Error>> {
        let started = Instant::now();
        let revision = self.hosts[0].revision().0;
        self.put_document(revision).await?;
        while self.hosts.iter().any(|host| host.revision().0 <= revision) {
            if started.elapsed() > CHANGE_TIMEOUT {
                return Err("a change was not in force on all hosts in time".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(started.elapsed())
    }

    pub(crate) async fn stop(self) {
        for host in self.hosts {
            host.kill().await;
        }
    }

    /// Waits until a first change is accepted, which needs an elected leader.
    async fn wait_for_first_commit(&self) -> Result<(), Box<dyn std::error::Error>> {
        let started = Instant::now();
        while self.put_document(0).await.is_err() {
            if started.elapsed() > CHANGE_TIMEOUT {
                return Err("the fleet elected no leader in time".into());
            }
        }
        Ok(())
    }

    /// Puts a fleet document that replaces the one of the expected revision.
    async fn put_document(&self, expected_revision: u64) -> Result<(), Box<dyn std::error::Error>> {
        let document = format!("[team a]\nrate = {}\nburst = 10\n", expected_revision + 1);
        let body = serde_json::json!({
            "document": document,
            "expected_revision": expected_revision,
            "operation_id": format!("change-{expected_revision}"),
        });
        let address = self.hosts[0].addresses.operators;
        let request = Request::put(format!("http://{address}/admin/v1/fleet"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Full::new(Bytes::from(body.to_string())))?;
        let response = self.client.request(request).await?;
        let status = response.status();
        let answer = response.into_body().collect().await?.to_bytes();
        if status.is_success() {
            return Ok(());
        }
        Err(String::from_utf8_lossy(&answer).into_owned().into())
    }
}

fn peer_address(host: usize) -> Result<SocketAddr, std::num::TryFromIntError> {
    let port = FIRST_PORT + u16::try_from(host)?;
    Ok(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))
}

/// Returns the settings of one host in INI format.
fn host_settings(
    folder: &Path,
    host: usize,
    count: usize,
) -> Result<String, Box<dyn std::error::Error>> {
    let folder = folder.display();
    let seeds = (0..count).map(|host| peer_address(host).map(|address| address.to_string()));
    let seeds = seeds.collect::<Result<Vec<_>, _>>()?.join(", ");
    let mut text = format!(
        "[host]\nname = host-{host}\nzone = zone-{}\n\
         [listen]\ncallers = 127.0.0.1:0\nservers = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         peers = {}\n[operators]\ntoken_file = {folder}/token\n\
         [peers]\nsecret_file = {folder}/secret\nseeds = {seeds}\n[voters]\n",
        host % ZONES,
        peer_address(host)?,
    );
    for seat in 0..SEATS.min(count) {
        writeln!(text, "{} = {}", seat + 1, peer_address(seat)?)?;
    }
    if host < SEATS {
        let seat = host + 1;
        writeln!(text, "[data]\nfolder = {folder}/host-{host}\nseat = {seat}")?;
    }
    Ok(text)
}

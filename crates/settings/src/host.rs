//! Settings of one entry host.

mod read;

use crate::fault::SettingsError;
use crate::machine::MachineLimits;
use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of one entry host, read from its INI file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettings {
    /// Section `[host]`.
    pub host: HostIdentity,
    /// Section `[listen]`.
    pub listen: ListenAddresses,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[voters]`: the peer addresses of the initial voters.
    pub voters: BTreeMap<SeatId, SocketAddr>,
    /// Section `[data]`; absent on a host without a disk.
    pub data: Option<DataSettings>,
    /// Section `[operators]`.
    pub operators: OperatorSettings,
    /// Section `[callers]`.
    pub callers: CallerLimits,
    /// Section `[shutdown]`.
    pub shutdown: ShutdownSettings,
    /// Section `[keys]`.
    pub keys: KeySettings,
    /// Section `[limits]`.
    pub machine: MachineLimits,
}

impl HostSettings {
    /// Reads a settings file; relative paths in it are relative to its folder.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or with all faults in its text.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let unreadable = |cause| SettingsError::Unreadable {
            path: path.to_owned(),
            cause,
        };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let name = path.display().to_string();
        let mut settings = Self::parse(&name, &text)?;
        settings.resolve_paths(path.parent().unwrap_or(Path::new("")));
        Ok(settings)
    }

    fn resolve_paths(&mut self, folder: &Path) {
        let resolve = |path: &mut PathBuf| *path = folder.join(&path);
        resolve(&mut self.peers.secret_file);
        resolve(&mut self.operators.token_file);
        if let Some(data) = &mut self.data {
            resolve(&mut data.folder);
        }
    }
}

/// The name, zone and log level of the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// The name of the host, unique in the fleet.
    pub name: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The most verbose level that is logged.
    pub log_level: log::LevelFilter,
}

/// The addresses that the host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    /// The address for callers and the platform's load balancer.
    pub callers: SocketAddr,
    /// The address for backend servers.
    pub servers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for other entry hosts.
    pub peers: SocketAddr,
    /// The address at which other hosts request tunnels to backend servers; none are opened
    /// for them if it is absent.
    pub tunnels: Option<SocketAddr>,
    /// The local address of connections to backend servers; the operating system chooses
    /// one if it is absent.
    pub servers_from: Option<IpAddr>,
}

/// How the host finds and authenticates other entry hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The file with the secret that all entry hosts share.
    pub secret_file: PathBuf,
    /// Peer addresses to contact first; other hosts are discovered through them.
    pub seeds: Vec<SocketAddr>,
    /// The addresses at which hosts open tunnels to backend servers, in case this host has no
    /// path to one. That of this host itself is left out.
    pub tunnels: Vec<SocketAddr>,
}

/// Where a host with a disk keeps its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataSettings {
    /// The folder for all data files.
    pub folder: PathBuf,
    /// The voter seat that this disk belongs to.
    pub seat: SeatId,
}

/// How operators authenticate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The file with the operators' bearer token.
    pub token_file: PathBuf,
}

/// Limits on a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// The maximum size of the request line and header fields, in bytes.
    pub header_max_bytes: u64,
    /// The maximum time for the whole body to arrive.
    pub body_timeout: Duration,
}

/// How the host shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSettings {
    /// How long the host serves callers after it has reported that it is not ready, so that
    /// the load balancer can remove it.
    pub notice: Duration,
    /// How long accepted requests may take to complete after that.
    pub drain_timeout: Duration,
}

/// How long a replicated view of the API keys is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// The maximum time since the last contact with the leader of the consensus
    /// group during which requests with keys are still served.
    pub lease: Duration,
}

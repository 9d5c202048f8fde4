//! Settings of one process in a fleet whose roles run on separate hosts.

mod read;

use crate::fault::SettingsError;
use crate::machine::MachineLimits;
use chicoryladder_types::AreaName;
use chicoryladder_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of one process, read from its INI file.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Section `[host]`.
    pub host: ProcessIdentity,
    /// Section `[listen]`.
    pub listen: ProcessAddresses,
    /// Section `[control]`.
    pub control: ControlSettings,
    /// Section `[data]`; absent on a host without a disk.
    pub data_folder: Option<PathBuf>,
    /// Section `[promises]`.
    pub bounds: ServiceBounds,
    /// Section `[zones]`: the area of each availability zone; empty if it is not told.
    pub areas: BTreeMap<ZoneName, AreaName>,
    /// Section `[features]`.
    pub features: FeatureSet,
    /// Section `[limits]`.
    pub machine: MachineLimits,
}

/// The optional parts of the fleet that a deployment calls for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeatureSet {
    names: BTreeSet<String>,
}

impl FeatureSet {
    /// Whether requests compete for the room of servers, and callers and servers may read
    /// slowly.
    #[must_use]
    pub fn pressure(&self) -> bool {
        self.names.contains("pressure")
    }

    /// Whether servers are chosen by their speed and by what they hold of a prompt, where these
    /// are known.
    #[must_use]
    pub fn weighed_placement(&self) -> bool {
        self.names.contains("weighed-placement")
    }
}

impl FromIterator<String> for FeatureSet {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let names = names.into_iter().collect();
        Self { names }
    }
}

impl ProcessSettings {
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
        let folder = path.parent().unwrap_or(Path::new(""));
        if let Some(data) = &mut settings.data_folder {
            *data = folder.join(&data);
        }
        Ok(settings)
    }
}

/// The name and zone of the process's host, and the log level of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The name of the host, unique in the fleet.
    pub name: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The most verbose level that is logged.
    pub log_level: log::LevelFilter,
}

/// The addresses that the process listens on; the role determines which are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessAddresses {
    /// The address at which other processes of the fleet reach this one.
    pub peers: SocketAddr,
    /// The address to bind for connections of other processes, if it differs from
    /// `peers`.
    pub peers_bind: Option<SocketAddr>,
    /// The address for requests of callers.
    pub callers: Option<SocketAddr>,
    /// The address for readiness probes of the load balancer.
    pub readiness: Option<SocketAddr>,
    /// The address for requests of operators and backend servers.
    pub control: Option<SocketAddr>,
    /// The address for metrics scrapers.
    pub metrics: Option<SocketAddr>,
    /// The local address of connections to backend servers; the operating system chooses
    /// one if it is absent.
    pub servers_from: Option<IpAddr>,
}

/// How the process finds the control group, and the size of consensus groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Addresses of hosts that accepted control calls when the file was written: control
    /// hosts, and store hosts that relay the calls. Only the IP addresses are used. The
    /// port is that of [`ProcessAddresses::peers`], since all processes of a fleet use
    /// the same peer port.
    pub seeds: Vec<SocketAddr>,
    /// Whether all processes of the system are started for the first time, with empty
    /// disks.
    pub first_start: bool,
    /// The number of hosts with a disk that may be lost at the same time; the key in
    /// the file is `losses_borne`.
    pub tolerated_losses: u32,
}

impl ControlSettings {
    /// The number of voters that a consensus group needs so that a majority remains
    /// after [`Self::tolerated_losses`] of them are lost.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}

/// The bounds on delays, request rates and retention that the fleet has to meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// The maximum time until a withdrawn API key is rejected on all hosts.
    pub key_withdrawal: Duration,
    /// The maximum time until an accepted plan is in force on all hosts.
    pub plan_applies: Duration,
    /// The maximum time until a server that announced its leaving gets no new work.
    pub server_drain: Duration,
    /// The interval at which a server checks in, that is, reports its address, slots and
    /// phase.
    pub check_in_interval: Duration,
    /// The maximum time that accepted requests may take to complete during shutdown.
    pub drain_timeout: Duration,
    /// The number of requests per window that may be admitted for a team beyond its
    /// rate and burst.
    pub rate_slack: f64,
    /// The number of requests per window that may be admitted in addition to
    /// `rate_slack`, as a fraction of the number that rate and burst allow.
    pub rate_overshoot: f64,
    /// The window of `rate_slack` and `rate_overshoot`.
    pub rate_window: Duration,
    /// How long the state and results of an ended job can still be read.
    pub job_retention: Duration,
    /// The requests a second to a cold server beyond its rate, as a multiple of the rate.
    pub cold_overshoot: f64,
    /// The requests a second to a cold server beyond `cold_overshoot`.
    pub cold_slack: f64,
}

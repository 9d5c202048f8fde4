//! Settings of one process in a fleet whose roles run on separate hosts.

mod read;

use crate::fault::SettingsError;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;
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

/// The identity of the process.
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
    /// The address to bind for them, if it differs from `peers`.
    pub peers_bind: Option<SocketAddr>,
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For readiness probes of the load balancer.
    pub readiness: Option<SocketAddr>,
    /// For operators and backend servers.
    pub control: Option<SocketAddr>,
    /// For metrics scrapers.
    pub metrics: Option<SocketAddr>,
}

/// How the process finds the control group, and the size of consensus groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// The addresses of control hosts when the file was written. Only the hosts are
    /// used, not the ports: every process accepts calls at the port of this one.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system is started for the first time, with empty disks.
    pub first_start: bool,
    /// How many hosts with a disk may be lost at the same time; the key is
    /// `losses_borne`.
    pub tolerated_losses: u32,
}

impl ControlSettings {
    /// The number of voters that a group needs to tolerate the losses.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}

/// The service bounds that the fleet guarantees to callers, servers and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// The maximum time until a withdrawn key is rejected everywhere.
    pub key_withdrawal: Duration,
    /// The maximum time until an accepted plan is in force.
    pub plan_applies: Duration,
    /// The maximum time until a leaving server gets no new work.
    pub server_drain: Duration,
    /// The interval between two check-ins of a server.
    pub check_in_interval: Duration,
    /// How long accepted requests may take to complete during shutdown.
    pub drain_timeout: Duration,
    /// The number of requests of a team that may be admitted per window beyond its
    /// rate and burst.
    pub rate_slack: f64,
    /// The further requests that may be admitted per window, as a fraction of what
    /// rate and burst allow.
    pub rate_overshoot: f64,
    /// The window over which admitted requests are counted.
    pub rate_window: Duration,
    /// How long an ended job can still be read.
    pub job_retention: Duration,
}

//! The settings of one process of a fleet whose roles run on separate hosts.

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
    /// Reads the settings file; its relative paths start from its own folder.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or with every fault of its text.
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

/// Who the process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The name of the host, unique in the fleet.
    pub name: HostName,
    /// The availability zone that the host stands in.
    pub zone: ZoneName,
    /// The least severe level that is logged.
    pub log_level: log::LevelFilter,
}

/// The addresses that the process listens on; which are needed depends on the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessAddresses {
    /// Where other processes of the fleet reach this one.
    pub peers: SocketAddr,
    /// The address to listen on for them, where that is another one.
    pub peers_bind: Option<SocketAddr>,
    /// For callers.
    pub callers: Option<SocketAddr>,
    /// For the balancer's question whether the host takes callers.
    pub readiness: Option<SocketAddr>,
    /// For operators and backend servers.
    pub control: Option<SocketAddr>,
    /// For scrapers of metrics.
    pub metrics: Option<SocketAddr>,
}

/// How the process finds the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Where control hosts were when the file was written. Only the hosts count:
    /// every process takes calls of others at the port that this one has.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// How many hosts with a disk may be lost at the same time.
    pub tolerated_losses: u32,
}

impl ControlSettings {
    /// The voters that a group needs to bear the losses.
    #[must_use]
    pub fn voters(&self) -> usize {
        2 * self.tolerated_losses as usize + 1
    }
}

/// What the fleet promises its callers, servers and operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceBounds {
    /// The time after which a withdrawn key opens nothing.
    pub key_withdrawal: Duration,
    /// The time after which an accepted plan is in force.
    pub plan_applies: Duration,
    /// The time after which a leaving server gets no new work.
    pub server_drain: Duration,
    /// The time between two check-ins of a server.
    pub check_in_interval: Duration,
    /// The time that accepted requests are given to end at a stop.
    pub drain_timeout: Duration,
    /// Requests of a team that may be admitted in a window beyond its rate and burst.
    pub rate_slack: f64,
    /// The part of what rate and burst allow in a window that may be admitted too.
    pub rate_overshoot: f64,
    /// The window in which requests are counted.
    pub rate_window: Duration,
    /// The time for which an ended job can be read.
    pub job_retention: Duration,
}

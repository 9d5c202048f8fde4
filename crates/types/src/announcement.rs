//! The announcement that a backend server sends to entry hosts, and its load report.

use crate::{ModelName, ServerGeneration, ServerName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The load of a backend server at the time of its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// The number of requests being served.
    pub running: u32,
    /// The number of requests admitted and queued in the server.
    pub waiting: u32,
}

/// The text is not a valid load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a load report reads `running=<count>;waiting=<count>`")]
pub struct LoadError;

impl fmt::Display for ServerLoad {
    /// Formats the load as a value of [`crate::headers::SERVER_LOAD`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "running={};waiting={}", self.running, self.waiting)
    }
}

impl TryFrom<&str> for ServerLoad {
    type Error = LoadError;

    /// Parses a load report; counts of unknown names are ignored.
    fn try_from(text: &str) -> Result<Self, LoadError> {
        let mut load = Self::default();
        for part in text.split(';') {
            let (name, count) = part.trim().split_once('=').ok_or(LoadError)?;
            let count = count.parse().map_err(|_| LoadError)?;
            match name {
                "running" => load.running = count,
                "waiting" => load.waiting = count,
                _ => {}
            }
        }
        Ok(load)
    }
}

/// Registers a backend server, or renews its registration.
///
/// Sent as the JSON body of `POST /servers/v1/announce`, at least once per second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// The name of the server, unique in the fleet.
    pub name: ServerName,
    /// The availability zone of the server.
    pub zone: ZoneName,
    /// The address that accepts requests.
    pub address: SocketAddr,
    /// The incarnation of the server; incremented by a restart.
    pub generation: ServerGeneration,
    /// The maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// The models served; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The plain services offered; empty for a model engine.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Whether the server rejects commands with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the server is draining: it finishes its requests and accepts no new ones.
    #[serde(default)]
    pub leaving: bool,
    /// The load at the time of the announcement.
    #[serde(default)]
    pub load: ServerLoad,
}

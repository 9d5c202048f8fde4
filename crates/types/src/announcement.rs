//! What a backend server tells an entry host about itself.

use crate::{ModelName, ServerGeneration, ServerName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The load of a backend server at the moment of its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests being served.
    pub running: u32,
    /// Requests admitted and waiting inside the server.
    pub waiting: u32,
}

/// Why a text is not a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a load report reads `running=<count>;waiting=<count>`")]
pub struct LoadError;

impl fmt::Display for ServerLoad {
    /// Writes the load as it stands in [`crate::headers::SERVER_LOAD`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "running={};waiting={}", self.running, self.waiting)
    }
}

impl TryFrom<&str> for ServerLoad {
    type Error = LoadError;

    /// Reads a load report; counts of other names are passed over.
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

/// Announces a backend server, or renews its announcement.
///
/// Sent as the JSON body of `POST /servers/v1/announce`, at least every second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// The name of the server, unique in the fleet.
    pub name: ServerName,
    /// The availability zone that the server stands in.
    pub zone: ZoneName,
    /// The address that takes requests.
    pub address: SocketAddr,
    /// The incarnation of the server; a restart raises it.
    pub generation: ServerGeneration,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Models served; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Plain services offered; empty for a model engine.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Whether the server refuses instructions with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the server finishes its requests and takes no new ones.
    #[serde(default)]
    pub leaving: bool,
    /// The load at the time of the announcement.
    #[serde(default)]
    pub load: ServerLoad,
}

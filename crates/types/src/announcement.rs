//! What a backend server tells an entry host about itself.

use crate::{ModelName, ServerGeneration, ServerName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The load of a backend server at the moment of its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests being served.
    pub running: u32,
    /// Requests admitted and waiting inside the server.
    pub waiting: u32,
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

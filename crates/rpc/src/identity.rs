//! The identity that a process sends when it opens a connection.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies a process to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// The name of the host.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The address at which the process accepts calls.
    pub address: SocketAddr,
    /// Identifies this run of the process; differs at each start.
    pub incarnation: u64,
}

//! Who stands at the other end of a connection.

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
    /// Where the process takes calls.
    pub address: SocketAddr,
    /// Differs at each start of the process.
    pub incarnation: u64,
}

//! The requests of a host about its seat, and the replies of the group's leader.

use chicoryladder_types::SeatId;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The request of a host for a seat, or about the seat that it holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The peer address of the host.
    pub address: SocketAddr,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The seat of the host, which may have been removed; `None` to request one.
    pub seat: Option<SeatId>,
}

/// The reply to a [`JoinRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinAnswer {
    /// The host holds this seat from now on.
    Granted(SeatId),
    /// No seat is available now; the host stays on standby.
    Wait,
    /// The host's seat is a member of the group.
    Member,
    /// The host's seat was removed permanently.
    Removed,
}

//! Server selection on a host that cannot reach the broker.
//!
//! Such a host uses the last server directory that it received, its own runs, and
//! the servers that it recently failed to reach. When the broker is unreachable,
//! other zones may be as well, so servers of the host's own zone are preferred
//! while one of them has a free slot.

use crate::directory::{ServerCheckIn, ServerPhase};
use crate::request::SlotRequest;
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The local state from which a host selects a server without the broker.
#[derive(Clone, Copy, Debug)]
pub struct BrokerlessView<'a> {
    /// The servers as of the last directory update.
    pub servers: &'a [ServerCheckIn],
    /// The number of active runs of this host on each server.
    pub own_runs: &'a HashMap<ServerName, u32>,
    /// The servers to which a connection recently failed.
    pub unreachable: &'a HashSet<ServerName>,
}

impl<'a> BrokerlessView<'a> {
    /// Selects a server with a free slot for a request.
    #[must_use]
    pub fn choose(&self, request: &SlotRequest) -> Option<&'a ServerCheckIn> {
        let usable = self
            .servers
            .iter()
            .filter(|server| self.is_usable(server, request));
        usable.min_by_key(|server| {
            let is_remote = server.zone != request.zone;
            (
                is_remote,
                self.runs_at(server),
                tie_break_hash(request.ticket, server.name.as_str()),
            )
        })
    }

    fn is_usable(&self, server: &ServerCheckIn, request: &SlotRequest) -> bool {
        server.service == request.service
            && server.phase == ServerPhase::Ready
            && !request.avoid.contains(&server.name)
            && !self.unreachable.contains(&server.name)
            && self.runs_at(server) < server.slots
    }

    fn runs_at(&self, server: &ServerCheckIn) -> u32 {
        self.own_runs.get(&server.name).copied().unwrap_or_default()
    }
}

/// Orders equally loaded servers differently for each ticket, so that requests are
/// distributed over them.
fn tie_break_hash(ticket: u64, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ticket, name).hash(&mut hasher);
    hasher.finish()
}

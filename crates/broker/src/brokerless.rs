//! Choosing a server without the broker.
//!
//! A host that cannot reach the broker knows the servers as they were told last, its
//! own runs, and which servers it could not reach. Where the broker is out of reach,
//! so may be the other zones: near servers go first, as long as they have room.

use crate::ask::SlotRequest;
use crate::directory::{ServerCheckIn, ServerPhase};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What a host knows by itself.
#[derive(Clone, Copy, Debug)]
pub struct BrokerlessView<'a> {
    /// The servers as they were told last.
    pub servers: &'a [ServerCheckIn],
    /// The runs of this host at each server.
    pub own_runs: &'a HashMap<ServerName, u32>,
    /// The servers that could not be reached a moment ago.
    pub unreachable: &'a HashSet<ServerName>,
}

impl<'a> BrokerlessView<'a> {
    /// The server for a request, if one has room.
    #[must_use]
    pub fn choose(&self, ask: &SlotRequest) -> Option<&'a ServerCheckIn> {
        let usable = self
            .servers
            .iter()
            .filter(|check_in| self.is_usable(check_in, ask));
        usable.min_by_key(|check_in| {
            let is_far = check_in.zone != ask.zone;
            (
                is_far,
                self.runs_at(check_in),
                mix(ask.ticket, check_in.name.as_str()),
            )
        })
    }

    fn is_usable(&self, check_in: &ServerCheckIn, ask: &SlotRequest) -> bool {
        check_in.service == ask.service
            && check_in.phase == ServerPhase::Ready
            && !ask.avoid.contains(&check_in.name)
            && !self.unreachable.contains(&check_in.name)
            && self.runs_at(check_in) < check_in.slots
    }

    fn runs_at(&self, check_in: &ServerCheckIn) -> u32 {
        self.own_runs
            .get(&check_in.name)
            .copied()
            .unwrap_or_default()
    }
}

/// Spreads equal choices of many hosts over the servers.
fn mix(ticket: u64, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ticket, name).hash(&mut hasher);
    hasher.finish()
}

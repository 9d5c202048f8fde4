//! Choosing a server without the broker.
//!
//! A host that cannot reach the broker knows the servers as they were told last, its
//! own runs, and which servers it could not reach. Where the broker is out of reach,
//! so may be the other zones: near servers go first, as long as they have room.

use crate::ask::AskSlot;
use crate::directory::{ServerCheckIn, ServerPhase};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What a host knows by itself.
#[derive(Clone, Copy, Debug)]
pub struct LoneView<'a> {
    /// The servers as they were told last.
    pub servers: &'a [ServerCheckIn],
    /// The runs of this host at each server.
    pub own_runs: &'a HashMap<ServerName, u32>,
    /// The servers that could not be reached a moment ago.
    pub passed_over: &'a HashSet<ServerName>,
}

impl<'a> LoneView<'a> {
    /// The server for a request, if one has room.
    #[must_use]
    pub fn choose(&self, ask: &AskSlot) -> Option<&'a ServerCheckIn> {
        let usable = self.servers.iter().filter(|told| self.is_usable(told, ask));
        usable.min_by_key(|told| {
            let is_far = told.zone != ask.zone;
            (
                is_far,
                self.runs_at(told),
                mix(ask.ticket, told.name.as_str()),
            )
        })
    }

    fn is_usable(&self, told: &ServerCheckIn, ask: &AskSlot) -> bool {
        told.service == ask.service
            && told.phase == ServerPhase::Ready
            && !ask.avoid.contains(&told.name)
            && !self.passed_over.contains(&told.name)
            && self.runs_at(told) < told.slots
    }

    fn runs_at(&self, told: &ServerCheckIn) -> u32 {
        self.own_runs.get(&told.name).copied().unwrap_or_default()
    }
}

/// Spreads equal choices of many hosts over the servers.
fn mix(ticket: u64, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (ticket, name).hash(&mut hasher);
    hasher.finish()
}

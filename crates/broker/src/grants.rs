//! The slots that are given out.

use crate::ask::{RequesterId, WorkKind};
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::{Duration, Instant};

new_key_type! {
    /// Finds a server of a broker.
    pub(crate) struct ServerKey;
    /// Finds a grant of a broker.
    pub(crate) struct GrantKey;
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The server answered.
    Served,
    /// Nothing was sent, or the requester stopped the run.
    Stopped,
    /// The server could not be connected to.
    Unreachable,
    /// The server refused the request before it ran.
    Shed,
    /// Another server answered at the address.
    WrongServer,
    /// The server broke off, or answered what was not asked.
    Failed,
}

/// What a requester tells of an ended run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The ticket of the slot.
    pub ticket: u64,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// The load that the server told.
    pub load: Option<ServerLoad>,
    /// The time from sending to the beginning of the answer.
    pub first_answer: Option<Duration>,
    /// Whether the payer gets the request back, since it never ran.
    pub refund: bool,
}

/// A run that a requester has under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The ticket of the slot.
    pub ticket: u64,
    /// The server.
    pub server: ServerName,
    /// What the slot is for.
    pub kind: WorkKind,
    /// The tokens that the run will hold in an engine's memory at its end.
    pub tokens: u64,
    /// Whether the requester chose the server without the broker.
    pub brokerless: bool,
}

/// One slot that is given out.
#[derive(Clone, Debug)]
pub(crate) struct SlotGrant {
    pub(crate) requester: RequesterId,
    pub(crate) ticket: u64,
    pub(crate) server: ServerKey,
    pub(crate) kind: WorkKind,
    pub(crate) tokens: u64,
    pub(crate) charged_team: Option<TeamName>,
    pub(crate) granted_at: Instant,
    /// The requester was told to stop the run; its slot is given to another.
    pub(crate) stopping: bool,
}

/// All slots that are given out.
#[derive(Debug, Default)]
pub(crate) struct GrantBook {
    grants: SlotMap<GrantKey, SlotGrant>,
    by_ticket: HashMap<RequesterId, HashMap<u64, GrantKey>>,
}

impl GrantBook {
    pub(crate) fn insert(&mut self, grant: SlotGrant) {
        let requester = grant.requester.clone();
        let ticket = grant.ticket;
        let key = self.grants.insert(grant);
        self.by_ticket
            .entry(requester)
            .or_default()
            .insert(ticket, key);
    }

    pub(crate) fn get_mut(&mut self, key: GrantKey) -> Option<&mut SlotGrant> {
        self.grants.get_mut(key)
    }

    pub(crate) fn remove(&mut self, requester: &RequesterId, ticket: u64) -> Option<SlotGrant> {
        let tickets = self.by_ticket.get_mut(requester)?;
        let key = tickets.remove(&ticket)?;
        if tickets.is_empty() {
            self.by_ticket.remove(requester);
        }
        self.grants.remove(key)
    }

    pub(crate) fn find(&self, requester: &RequesterId, ticket: u64) -> Option<&SlotGrant> {
        let key = self.by_ticket.get(requester)?.get(&ticket)?;
        self.grants.get(*key)
    }

    pub(crate) fn holds(&self, requester: &RequesterId, ticket: u64) -> bool {
        let tickets = self.by_ticket.get(requester);
        tickets.is_some_and(|tickets| tickets.contains_key(&ticket))
    }

    /// The tickets of a requester, with the time of their grant.
    pub(crate) fn tickets_of(&self, requester: &RequesterId) -> Vec<(u64, Instant)> {
        let Some(tickets) = self.by_ticket.get(requester) else {
            return Vec::new();
        };
        let grant = |(ticket, key): (&u64, &GrantKey)| {
            let grant = self.grants.get(*key)?;
            Some((*ticket, grant.granted_at))
        };
        tickets.iter().filter_map(grant).collect()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (GrantKey, &SlotGrant)> {
        self.grants.iter()
    }
}

//! The slots that are granted, and reports on their runs.

use crate::placement::ServerExpectation;
use crate::request::{RequesterId, WorkKind};
use chicoryladder_policy::quarantine::{OpenCrash, RequestTraits, ServerCrash};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerLoad, ServiceName};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::{Duration, Instant};

new_key_type! {
    /// The key of a server in a broker.
    pub(crate) struct ServerKey;
    /// The key of a grant in a broker.
    pub(crate) struct GrantKey;
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The server completed its response.
    Served,
    /// The server responded that it failed.
    Errored,
    /// Nothing was sent, or the requester stopped the run.
    Stopped,
    /// No connection to the server could be established.
    Unreachable,
    /// The server refused the request before running it.
    Shed,
    /// A different server responded at the address.
    WrongServer,
    /// The server aborted the response, or the response did not match the request.
    Failed,
    /// Nothing was sent, since the server said in a response that it leaves.
    Leaving,
    /// The host lost its path to the server, which other hosts reach.
    PathLost,
}

/// The report of a requester on an ended run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The ticket of the slot.
    pub ticket: u64,
    /// The outcome of the run.
    pub outcome: RunOutcome,
    /// The load that the server reported.
    pub load: Option<ServerLoad>,
    /// The time from sending the request to the beginning of the response.
    pub first_answer: Option<Duration>,
    /// Whether the charged team is refunded, since the request never ran.
    pub refund: bool,
    /// The work that the server ran to its end, responding with success.
    pub completed: ProvenWork,
}

/// Work that turned out not to crash its server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProvenWork {
    /// None yet.
    #[default]
    None,
    /// The request for which the slot was granted.
    Requested,
    /// Another request that ran in the slot.
    Other(RequestTraits),
}

/// A run whose server was lost while the request was in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The service of the server.
    pub service: ServiceName,
    /// The server and its incarnation.
    pub crash: ServerCrash,
    /// The request.
    pub traits: RequestTraits,
}

impl From<&CrashedRun> for OpenCrash {
    /// The crash of this run alone, as just reported.
    fn from(run: &CrashedRun) -> Self {
        Self {
            service: run.service.clone(),
            crash: run.crash.clone(),
            age: Duration::ZERO,
            runs: vec![run.traits.clone()],
        }
    }
}

/// An active run of a requester.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The ticket of the slot.
    pub ticket: u64,
    /// The server.
    pub server: ServerName,
    /// The kind of work.
    pub kind: WorkKind,
    /// The tokens of engine memory that the run occupies when it completes.
    pub tokens: u64,
    /// Whether the requester selected the server without the broker.
    pub brokerless: bool,
    /// The work, if its response has arrived for some time.
    pub proven: ProvenWork,
}

/// A granted slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotGrant {
    pub(crate) requester: RequesterId,
    pub(crate) ticket: u64,
    pub(crate) server: ServerKey,
    pub(crate) kind: WorkKind,
    pub(crate) tokens: u64,
    pub(crate) charged_team: Option<TeamName>,
    pub(crate) granted_at: Instant,
    /// The request; `None` if an earlier broker granted the slot.
    pub(crate) traits: Option<RequestTraits>,
    /// Set once the run is preempted; its slot is then available to others.
    pub(crate) stopping: bool,
    /// What was expected of the server, until its answer begins; `None` if that was not
    /// weighed.
    pub(crate) expected: Option<ServerExpectation>,
}

/// All granted slots.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    grants: SlotMap<GrantKey, SlotGrant>,
    by_ticket: HashMap<RequesterId, HashMap<u64, GrantKey>>,
}

impl GrantTable {
    pub(crate) fn insert(&mut self, grant: SlotGrant) {
        let requester = grant.requester.clone();
        let ticket = grant.ticket;
        let key = self.grants.insert(grant);
        self.by_ticket
            .entry(requester)
            .or_default()
            .insert(ticket, key);
    }

    pub(crate) fn by_key(&self, key: GrantKey) -> Option<&SlotGrant> {
        self.grants.get(key)
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

    pub(crate) fn get(&self, requester: &RequesterId, ticket: u64) -> Option<&SlotGrant> {
        let key = self.by_ticket.get(requester)?.get(&ticket)?;
        self.grants.get(*key)
    }

    pub(crate) fn get_by_ticket_mut(
        &mut self,
        requester: &RequesterId,
        ticket: u64,
    ) -> Option<&mut SlotGrant> {
        let key = self.by_ticket.get(requester)?.get(&ticket)?;
        self.grants.get_mut(*key)
    }

    pub(crate) fn contains(&self, requester: &RequesterId, ticket: u64) -> bool {
        let tickets = self.by_ticket.get(requester);
        tickets.is_some_and(|tickets| tickets.contains_key(&ticket))
    }

    /// The tickets of a requester with the times at which they were granted.
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

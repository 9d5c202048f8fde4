//! A client for calls to the leader of a group, which it discovers itself.

use crate::message::{GroupReply, encode};
use chicoryladder_rpc::{RpcClient, RpcError};
use chicoryladder_types::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The pause before the next host of a group is tried while no leader is known.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(60);

/// Why a call to a leader got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LeaderError {
    /// No leader was found; the call had no effect.
    #[error("no leader of the group was found")]
    NoLeader,
    /// The leader did not reply in time or lost its leadership; the call may have taken
    /// effect.
    #[error("the leader was lost during the call")]
    OutcomeUnknown,
}

#[derive(Debug, Default)]
struct KnownHosts {
    hosts: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    next: usize,
    /// When each host last replied, as the leader or not.
    answered_at: HashMap<SocketAddr, Instant>,
}

/// Finds the leader of a group and calls it; clones share the known hosts.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    rpc: RpcClient,
    clock: Arc<dyn ClockSource>,
    known: Arc<Mutex<KnownHosts>>,
}

impl LeaderClient {
    pub(crate) fn new(rpc: RpcClient, clock: Arc<dyn ClockSource>, hosts: Vec<SocketAddr>) -> Self {
        let known = KnownHosts {
            hosts,
            ..KnownHosts::default()
        };
        Self {
            rpc,
            clock,
            known: Arc::new(Mutex::new(known)),
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownHosts> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The leader, if known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.known().leader
    }

    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        if leader.is_some() {
            self.known().leader = leader;
        }
    }

    /// Replaces the known hosts; an empty list changes nothing.
    pub(crate) fn set_hosts(&self, hosts: &[SocketAddr]) {
        if !hosts.is_empty() {
            self.known().hosts = hosts.to_vec();
        }
    }

    /// Adds hosts to the known hosts.
    pub(crate) fn add_hosts(&self, hosts: &[SocketAddr]) {
        let mut known = self.known();
        for host in hosts {
            if !known.hosts.contains(host) {
                known.hosts.push(*host);
            }
        }
    }

    /// Whether fewer than half of the hosts have replied within `period`, so that this
    /// process is probably partitioned from the others.
    pub(crate) fn is_isolated(&self, period: Duration) -> bool {
        let now = self.clock.now();
        let known = self.known();
        let recent = |at: &Instant| now.saturating_duration_since(*at) < period;
        let has_replied = |host: &&SocketAddr| known.answered_at.get(*host).is_some_and(recent);
        known.hosts.iter().filter(has_replied).count() * 2 < known.hosts.len()
    }

    /// The leader if known, otherwise the hosts in round-robin order.
    fn next_host(&self) -> Option<SocketAddr> {
        let mut known = self.known();
        if let Some(leader) = known.leader {
            return Some(leader);
        }
        let count = known.hosts.len();
        known.next = known.next.wrapping_add(1);
        let next = known.next;
        (count > 0).then(|| known.hosts[next % count])
    }

    fn clear_leader(&self, leader: SocketAddr) {
        let mut known = self.known();
        if known.leader == Some(leader) {
            known.leader = None;
        }
    }

    /// Makes one attempt at a call: to the leader if known, otherwise to the next host.
    pub(crate) async fn call_once<T: DeserializeOwned>(
        &self,
        call: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, LeaderError> {
        let host = self.next_host().ok_or(LeaderError::NoLeader)?;
        self.try_host(host, call, timeout).await
    }

    /// Calls the leader, trying other hosts to find it until `max_wait` has passed.
    /// Each attempt takes at most `timeout`.
    ///
    /// A call that may have taken effect is only sent again if it is `repeatable`.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        call: &impl Serialize,
        timeout: Duration,
        max_wait: Duration,
        repeatable: bool,
    ) -> Result<T, LeaderError> {
        let deadline = self.clock.now() + max_wait;
        let mut outcome_unknown = false;
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            if let Some(host) = self.next_host()
                && !remaining.is_zero()
            {
                match self.try_host(host, call, timeout.min(remaining)).await {
                    Ok(answer) => return Ok(answer),
                    Err(LeaderError::NoLeader) => {}
                    Err(LeaderError::OutcomeUnknown) if repeatable => outcome_unknown = true,
                    Err(LeaderError::OutcomeUnknown) => return Err(LeaderError::OutcomeUnknown),
                }
            }
            if self.has_expired(deadline) {
                return Err(if outcome_unknown {
                    LeaderError::OutcomeUnknown
                } else {
                    LeaderError::NoLeader
                });
            }
            if self.leader().is_none() {
                tokio::time::sleep(DISCOVERY_PAUSE).await;
            }
        }
    }

    fn has_expired(&self, deadline: Instant) -> bool {
        self.clock.now() + DISCOVERY_PAUSE >= deadline
    }

    async fn try_host<T: DeserializeOwned>(
        &self,
        host: SocketAddr,
        call: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, LeaderError> {
        let payload = encode("leader client", call).ok_or(LeaderError::NoLeader)?;
        let reply = match self.rpc.call(host, payload, timeout).await {
            Ok(reply) => reply,
            Err(RpcError::Unreachable | RpcError::TimedOut) => {
                self.clear_leader(host);
                return Err(LeaderError::OutcomeUnknown);
            }
        };
        self.known().answered_at.insert(host, self.clock.now());
        match postcard::from_bytes(&reply) {
            Ok(GroupReply::Answer(answer)) => {
                self.known().leader = Some(host);
                Ok(answer)
            }
            Ok(GroupReply::NotLeader { leader }) => {
                self.clear_leader(host);
                self.known().leader = leader.filter(|leader| *leader != host);
                Err(LeaderError::NoLeader)
            }
            Ok(GroupReply::OutcomeUnknown) => Err(LeaderError::OutcomeUnknown),
            Err(error) => {
                log::warn!("leader client: failed to decode the reply of {host}: {error}.");
                Err(LeaderError::OutcomeUnknown)
            }
        }
    }
}

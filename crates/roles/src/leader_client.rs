//! A client for calls to the leader of a group, which it discovers itself.

#[cfg(test)]
mod tests;

use crate::known_hosts::KnownHosts;
use crate::message::{GroupReply, encode};
use chicoryladder_rpc::{RpcClient, RpcError};
use chicoryladder_types::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;
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

/// The reply of a leader to a call that may have been sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaderReply<T> {
    pub(crate) answer: T,
    /// Whether an earlier attempt got no reply. It may have taken effect, or arrive yet.
    pub(crate) is_repeated: bool,
}

/// Finds the leader of a group and calls it; clones share the known hosts.
#[derive(Clone)]
pub(crate) struct LeaderClient {
    rpc: RpcClient,
    clock: Arc<dyn ClockSource>,
    known: Arc<Mutex<KnownHosts>>,
}

impl LeaderClient {
    pub(crate) fn new(rpc: RpcClient, clock: Arc<dyn ClockSource>, seeds: Vec<SocketAddr>) -> Self {
        Self {
            rpc,
            clock,
            known: Arc::new(Mutex::new(KnownHosts::new(seeds))),
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownHosts> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The leader, if known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.known().leader()
    }

    pub(crate) fn set_leader(&self, leader: Option<SocketAddr>) {
        if leader.is_some() {
            self.known().set_leader(leader);
        }
    }

    /// Replaces the hosts that the leader listed; an empty list changes nothing.
    pub(crate) fn set_hosts(&self, hosts: &[SocketAddr]) {
        self.known().set_listed(hosts);
    }

    /// Adds hosts that are asked for the leader whatever a leader lists.
    pub(crate) fn add_seeds(&self, hosts: &[SocketAddr]) {
        self.known().add_seeds(hosts);
    }

    /// Whether fewer than half of the hosts have replied within `period`, so that this
    /// process is probably partitioned from the others.
    pub(crate) fn is_isolated(&self, period: Duration) -> bool {
        let now = self.clock.now();
        self.known().is_isolated(period, now)
    }

    /// Makes one attempt at a call: to the leader if known, otherwise to the next host. The
    /// attempt fails early if the host leaves a probe unanswered for `max_silence`.
    pub(crate) async fn call_once<T: DeserializeOwned>(
        &self,
        call: &impl Serialize,
        timeout: Duration,
        max_silence: Duration,
    ) -> Result<T, LeaderError> {
        let host = self.known().next_host().ok_or(LeaderError::NoLeader)?;
        self.try_host(host, call, timeout, max_silence).await
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
    ) -> Result<LeaderReply<T>, LeaderError> {
        let deadline = self.clock.now() + max_wait;
        let mut outcome_unknown = false;
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            let host = self.known().next_host();
            if let Some(host) = host
                && !remaining.is_zero()
            {
                match self
                    .try_host(host, call, timeout.min(remaining), timeout)
                    .await
                {
                    Ok(answer) => {
                        return Ok(LeaderReply {
                            answer,
                            is_repeated: outcome_unknown,
                        });
                    }
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
        max_silence: Duration,
    ) -> Result<T, LeaderError> {
        let payload = encode("leader client", call).ok_or(LeaderError::NoLeader)?;
        let calling = self
            .rpc
            .call_responsive(host, payload, timeout, max_silence);
        let reply = match calling.await {
            Ok(reply) => reply,
            Err(RpcError::Unreachable | RpcError::TimedOut) => {
                self.known().clear_leader(host);
                return Err(LeaderError::OutcomeUnknown);
            }
        };
        let now = self.clock.now();
        self.known().record_answer(host, now);
        match postcard::from_bytes(&reply) {
            Ok(GroupReply::Answer(answer)) => {
                self.known().set_leader(Some(host));
                Ok(answer)
            }
            Ok(GroupReply::NotLeader { leader }) => {
                let leader = leader.filter(|leader| *leader != host);
                self.known().set_leader(leader);
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

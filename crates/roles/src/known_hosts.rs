//! The hosts of a group that a process knows, and the order in which it asks them for
//! their leader.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The hosts of a group: the seeds, which this process found by itself, and those that the
/// leader listed last.
///
/// The list of a leader replaces the one before it, but never the seeds: a leader that has
/// just been elected may not have heard of all hosts yet.
#[derive(Debug, Default)]
pub struct KnownHosts {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    leader: Option<SocketAddr>,
    /// The number of hosts asked so far without a known leader.
    asked: usize,
    /// When each host last replied, as the leader or not.
    answered_at: HashMap<SocketAddr, Instant>,
}

impl KnownHosts {
    /// Creates a list of seeds.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            ..Self::default()
        }
    }

    /// Adds seeds that are not known yet.
    pub fn add_seeds(&mut self, hosts: &[SocketAddr]) {
        for host in hosts {
            if !self.seeds.contains(host) {
                self.seeds.push(*host);
            }
        }
    }

    /// Replaces the hosts that the leader listed; an empty list changes nothing.
    pub fn set_listed(&mut self, hosts: &[SocketAddr]) {
        if hosts.is_empty() || self.listed == hosts {
            return;
        }
        self.listed = hosts.to_vec();
        let (listed, seeds) = (&self.listed, &self.seeds);
        self.answered_at
            .retain(|host, _| listed.contains(host) || seeds.contains(host));
    }

    /// The leader, if known.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Records which host leads.
    pub fn set_leader(&mut self, leader: Option<SocketAddr>) {
        self.leader = leader;
    }

    /// Forgets the leader if it is this host.
    pub fn clear_leader(&mut self, host: SocketAddr) {
        if self.leader == Some(host) {
            self.leader = None;
        }
    }

    /// Records a reply of a host.
    pub fn record_answer(&mut self, host: SocketAddr, now: Instant) {
        self.answered_at.insert(host, now);
    }

    /// The host to ask: the leader if known, otherwise the listed hosts in turn, with one
    /// of the other seeds after each round.
    pub fn next_host(&mut self) -> Option<SocketAddr> {
        if self.leader.is_some() {
            return self.leader;
        }
        let turn = self.asked;
        self.asked = self.asked.wrapping_add(1);
        let others: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !self.listed.contains(seed))
            .collect();
        if self.listed.is_empty() || others.is_empty() {
            let hosts = if self.listed.is_empty() {
                &others
            } else {
                &self.listed
            };
            return (!hosts.is_empty()).then(|| hosts[turn % hosts.len()]);
        }
        let round_length = self.listed.len() + 1;
        let (round, position) = (turn / round_length, turn % round_length);
        let seed = others[round % others.len()];
        Some(self.listed.get(position).copied().unwrap_or(seed))
    }

    /// Whether fewer than half of the listed hosts, or of the seeds before the first list,
    /// replied within `period`, so that this process is probably partitioned from them.
    #[must_use]
    pub fn is_isolated(&self, period: Duration, now: Instant) -> bool {
        let hosts = if self.listed.is_empty() {
            &self.seeds
        } else {
            &self.listed
        };
        let recent = |at: &Instant| now.saturating_duration_since(*at) < period;
        let has_replied = |host: &&SocketAddr| self.answered_at.get(*host).is_some_and(recent);
        hosts.iter().filter(has_replied).count() * 2 < hosts.len()
    }
}

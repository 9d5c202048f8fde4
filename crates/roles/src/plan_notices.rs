//! The order in which hosts are told that a new plan is in force.
//!
//! Hosts fetch a plan with their next sync. In a large fleet, syncs of all hosts at the
//! same moment would delay the slot requests that the leader serves meanwhile, so it tells
//! few hosts at a time. Most of them have synced by themselves before their turn.

use chicoryladder_types::prelude::*;
use std::collections::VecDeque;

/// The most hosts that are told at each tick of the leader.
pub const PLAN_NOTICES_PER_TICK: usize = 8;

/// The hosts that have not been told of the plan in force yet.
#[derive(Debug, Default)]
pub struct PlanNotices {
    outdated: VecDeque<HostName>,
}

impl PlanNotices {
    /// Starts over with the hosts that may hold an older plan.
    pub fn begin(&mut self, hosts: impl Iterator<Item = HostName>) {
        self.outdated = hosts.collect();
    }

    /// Takes the next hosts to tell, without those that `is_outdated` rules out.
    pub fn take(&mut self, mut is_outdated: impl FnMut(&HostName) -> bool) -> Vec<HostName> {
        let mut hosts = Vec::new();
        while hosts.len() < PLAN_NOTICES_PER_TICK
            && let Some(host) = self.outdated.pop_front()
        {
            if is_outdated(&host) {
                hosts.push(host);
            }
        }
        hosts
    }
}

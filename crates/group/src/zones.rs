//! Distribution of the voters of a group over availability zones.

use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most voters that one zone may hold so that a quorum remains when it is lost.
#[must_use]
pub fn zone_voters_max(voters: usize) -> usize {
    (voters.saturating_sub(1) / 2).max(1)
}

/// Chooses `count` hosts, or all if there are fewer, with as even a number in each zone as
/// possible. The result depends only on the set of candidates.
#[must_use]
pub fn spread_over_zones(candidates: &[(SocketAddr, ZoneName)], count: usize) -> Vec<SocketAddr> {
    let mut zones: BTreeMap<&ZoneName, Vec<SocketAddr>> = BTreeMap::new();
    for (address, zone) in candidates {
        zones.entry(zone).or_default().push(*address);
    }
    for hosts in zones.values_mut() {
        // Taken from the end.
        hosts.sort_unstable_by(|a, b| b.cmp(a));
    }
    let mut chosen = Vec::new();
    while chosen.len() < count.min(candidates.len()) {
        for hosts in zones.values_mut() {
            chosen.extend(hosts.pop());
        }
    }
    chosen.truncate(count);
    chosen
}

//! The choice of entry hosts that open connections to servers for a host that reaches none.

use crate::roster::RosterMember;
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// The number of tunnel hosts per zone that a host is told.
const TUNNEL_HOSTS_PER_ZONE: usize = 3;

/// Chooses among the entry hosts that offer tunnels a few of each zone, different ones for
/// each requester, so that the hosts that need them spread over those that offer them.
#[must_use]
pub fn choose_tunnel_hosts(
    requester: SocketAddr,
    offering: impl Iterator<Item = RosterMember>,
) -> Vec<RosterMember> {
    let mut zones: BTreeMap<ZoneName, Vec<(u64, RosterMember)>> = BTreeMap::new();
    for host in offering.filter(|host| host.address != requester) {
        let mut hasher = DefaultHasher::new();
        (requester, host.address).hash(&mut hasher);
        let zone = zones.entry(host.zone.clone()).or_default();
        zone.push((hasher.finish(), host));
    }
    let chosen = zones.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|(position, host)| (*position, host.address));
        hosts.into_iter().take(TUNNEL_HOSTS_PER_ZONE)
    });
    chosen.map(|(_, host)| host).collect()
}

//! Selection of the hosts from which an observer replicates the log.
//!
//! In each availability zone the live host with the lowest address is the relay:
//! it requests the tail from the voters, and the other hosts of the zone request it
//! from the relay, so the voters serve one observer per zone. The voters remain
//! fallback sources in case the relay is down or its view is stale.

use crate::peers::PeerRecord;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;

/// The sources of an observer in order of preference.
pub(super) fn tail_sources(
    own_address: SocketAddr,
    zone: &ZoneName,
    live: &[PeerRecord],
    voters: &[SocketAddr],
) -> Vec<SocketAddr> {
    let zone_peers = || live.iter().filter(|peer| peer.zone == *zone);
    let relay = zone_peers()
        .map(|peer| peer.address)
        .min()
        .filter(|relay| *relay < own_address);
    let is_near = |voter: &SocketAddr| zone_peers().any(|peer| peer.address == *voter);
    let (near, far): (Vec<_>, Vec<_>) = voters.iter().copied().partition(is_near);
    let mut sources: Vec<SocketAddr> = relay.into_iter().collect();
    for voter in near.into_iter().chain(far) {
        if !sources.contains(&voter) {
            sources.push(voter);
        }
    }
    sources
}

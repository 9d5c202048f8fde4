//! Which hosts an observer asks for the tail.
//!
//! In each availability zone the live host with the lowest address asks the
//! voters, and the others ask that host, so the voters answer one host a zone.
//! The voters stand behind it, for when it is gone or has an old view.

use crate::peers::PeerRecord;
use chicoryladder_types::prelude::*;
use std::net::SocketAddr;

/// The sources of an observer, the preferred one first.
pub(super) fn tail_sources(
    own: SocketAddr,
    zone: &ZoneName,
    live: &[PeerRecord],
    voters: &[SocketAddr],
) -> Vec<SocketAddr> {
    let zone_peers = || live.iter().filter(|peer| peer.zone == *zone);
    let relay = zone_peers()
        .map(|peer| peer.address)
        .min()
        .filter(|relay| *relay < own);
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

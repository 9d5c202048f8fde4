//! The dispatching host of each backend server.

use super::handle::RoutingLocation;
use chicoryladder_types::ServerAnnouncement;
use chicoryladder_types::prelude::*;

/// The host that dispatches batch items to the server: one of its availability
/// zone, or any if the zone has no live host.
///
/// Rendezvous hashing: when a host comes or goes, only its servers move.
pub(super) fn home_of(server: &ServerAnnouncement, hosts: &[RoutingLocation]) -> Option<HostName> {
    let in_zone = hosts.iter().filter(|place| place.zone == server.zone);
    let heaviest = |place: &&RoutingLocation| weight(&server.name, &place.host);
    let home = in_zone
        .max_by_key(heaviest)
        .or_else(|| hosts.iter().max_by_key(heaviest));
    home.map(|place| place.host.clone())
}

fn weight(server: &ServerName, host: &HostName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(server.as_str().as_bytes());
    // Names never hold a zero byte, so the pair is unambiguous.
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

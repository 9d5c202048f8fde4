//! The dispatch host of each backend server.

use super::handle::RoutingLocation;
use chicoryladder_types::ServerAnnouncement;
use chicoryladder_types::prelude::*;

/// Returns the host that dispatches batch items to the server: a host in the
/// availability zone of the server, or any host if that zone has no live host.
///
/// The choice uses rendezvous hashing, so that only the servers of a host that
/// joins or leaves are reassigned.
pub(super) fn dispatch_host_of(
    server: &ServerAnnouncement,
    hosts: &[RoutingLocation],
) -> Option<HostName> {
    let in_zone = hosts.iter().filter(|location| location.zone == server.zone);
    let heaviest = |location: &&RoutingLocation| weight(&server.name, &location.host);
    let dispatch_host = in_zone
        .max_by_key(heaviest)
        .or_else(|| hosts.iter().max_by_key(heaviest));
    dispatch_host.map(|location| location.host.clone())
}

fn weight(server: &ServerName, host: &HostName) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(server.as_str().as_bytes());
    // Names contain no zero byte, so the encoding of the pair is unambiguous.
    hasher.update(&[0]);
    hasher.update(host.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

//! Decides which hosts bootstrap a group at the first start of a fleet.
//!
//! All hosts are configured with the same few seeds, and any of these may be a host
//! without a seat. If a majority of the seeds hold seats, the seeds bootstrap the group
//! together. If at least half of them do not, a single host bootstraps the group and
//! the others join it: the first seed, or the host that the first seed appoints.
//! Whether a seed holds a seat never changes, so the two cases exclude each other, and
//! a host needs only as many reports as distinguish them.

use crate::seat_file::BootstrapMembers;
use chicoryladder_types::SeatId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The next step of a host at the first start of its fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// Too few seeds have reported whether they hold a seat.
    Wait,
    /// The host bootstraps the group with these members, of which it is one.
    Bootstrap(BootstrapMembers),
    /// Other hosts bootstrap the group; the host joins it.
    Join,
    /// This seed knows which single host bootstraps the group.
    QuerySeed(SocketAddr),
}

/// Decides the next step, given which seeds have reported so far whether they hold a
/// seat.
#[must_use]
pub fn plan_bootstrap(
    own: SocketAddr,
    seeds: &BTreeSet<SocketAddr>,
    holds_seat: &BTreeMap<SocketAddr, bool>,
) -> BootstrapStep {
    let count_reports = |held: bool| {
        let has_reported = |seed: &&SocketAddr| holds_seat.get(*seed) == Some(&held);
        seeds.iter().filter(has_reported).count()
    };
    let (with_seat, without_seat) = (count_reports(true), count_reports(false));
    if with_seat * 2 > seeds.len() {
        if !seeds.contains(&own) {
            return BootstrapStep::Join;
        }
        return BootstrapStep::Bootstrap(number_members(seeds));
    }
    if without_seat * 2 < seeds.len() {
        return BootstrapStep::Wait;
    }
    match seeds.first() {
        Some(first) if *first == own => BootstrapStep::Bootstrap(sole_bootstrap_member(own)),
        Some(first) => BootstrapStep::QuerySeed(*first),
        None => BootstrapStep::Wait,
    }
}

/// The bootstrap membership of a group with a single member.
#[must_use]
pub fn sole_bootstrap_member(own: SocketAddr) -> BootstrapMembers {
    BootstrapMembers::from([(SeatId(1), own)])
}

/// Assigns seat ids, starting at 1, in the order of the addresses.
#[must_use]
pub fn number_members(addresses: &BTreeSet<SocketAddr>) -> BootstrapMembers {
    (1..).map(SeatId).zip(addresses.iter().copied()).collect()
}

//! Which hosts form a group at the first start of a fleet.
//!
//! All hosts are told the same few seeds, of which any may hold no seat. Where most
//! of them do, they are the founders. Where at least half do not, one host founds
//! the group alone and the others join it: the first seed, or the host that the
//! first seed appoints. Whether a seed holds a seat never changes, so that both can
//! never hold, and a host needs no answer of the seeds beyond those that decide.

use crate::seat_file::BootstrapMembers;
use chicoryladder_types::SeatId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What a host does next at the first start of its fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapStep {
    /// More seeds have to tell whether they hold a seat.
    Wait,
    /// The host is one of these founders.
    Bootstrap(BootstrapMembers),
    /// Others found the group.
    Join,
    /// This seed tells which host founds the group alone.
    QuerySeed(SocketAddr),
}

/// Decides from what the seeds have told so far whether they hold seats.
#[must_use]
pub fn plan_bootstrap(
    own: SocketAddr,
    seeds: &BTreeSet<SocketAddr>,
    holds_seat: &BTreeMap<SocketAddr, bool>,
) -> BootstrapStep {
    let reported = |held: bool| {
        let of_seed = |seed: &&SocketAddr| holds_seat.get(*seed) == Some(&held);
        seeds.iter().filter(of_seed).count()
    };
    let (with_seat, without) = (reported(true), reported(false));
    if with_seat * 2 > seeds.len() {
        if !seeds.contains(&own) {
            return BootstrapStep::Join;
        }
        return BootstrapStep::Bootstrap(number_members(seeds));
    }
    if without * 2 < seeds.len() {
        return BootstrapStep::Wait;
    }
    match seeds.first() {
        Some(first) if *first == own => BootstrapStep::Bootstrap(sole_bootstrap_member(own)),
        Some(first) => BootstrapStep::QuerySeed(*first),
        None => BootstrapStep::Wait,
    }
}

/// The only founder of a group.
#[must_use]
pub fn sole_bootstrap_member(own: SocketAddr) -> BootstrapMembers {
    BootstrapMembers::from([(SeatId(1), own)])
}

/// The founders in the order of their addresses.
#[must_use]
pub fn number_members(addresses: &BTreeSet<SocketAddr>) -> BootstrapMembers {
    (1..).map(SeatId).zip(addresses.iter().copied()).collect()
}

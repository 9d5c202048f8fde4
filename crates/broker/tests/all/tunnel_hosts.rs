//! The choice of the entry hosts that open connections for others.

use crate::support::zone;
use chicoryladder_broker::{RosterMember, choose_tunnel_hosts};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

fn member(number: u16) -> RosterMember {
    RosterMember {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        zone: zone(["a", "b", "c"][usize::from(number % 3)]),
    }
}

/// Pattern: 150 of 240 hosts need tunnels of the other 90.
#[test]
fn hosts_that_need_tunnels_spread_over_those_that_offer_them() {
    let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for requester in 0..150 {
        let offering = (150..240).map(member);
        let chosen = choose_tunnel_hosts(member(requester).address, offering);
        let zones: BTreeSet<String> = chosen.iter().map(|host| host.zone.to_string()).collect();
        assert_eq!((zones.len(), chosen.len()), (3, 9));
        for host in chosen {
            *asked.entry(host.address).or_default() += 1;
        }
    }
    // 15 requesters for each on average.
    assert!(asked.len() >= 85, "{} hosts are used", asked.len());
    assert!(asked.values().all(|count| *count <= 45), "{asked:?}");
}

#[test]
fn a_host_is_not_told_to_use_itself() {
    let chosen = choose_tunnel_hosts(member(0).address, [member(0), member(1)].into_iter());
    assert_eq!(chosen, [member(1)]);
}

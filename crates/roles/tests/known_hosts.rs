//! The order in which a process asks the hosts of a group for their leader.

use chicoryladder_roles::KnownHosts;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn host(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn asked(hosts: &mut KnownHosts, count: usize) -> Vec<SocketAddr> {
    (0..count).filter_map(|_| hosts.next_host()).collect()
}

/// A new leader may list only the host that asked it, if that was the first to sync. The
/// host still has to find the next leader once this one is lost.
#[test]
fn a_host_that_is_listed_alone_still_asks_the_seeds() {
    let mut hosts = KnownHosts::new(vec![host(1), host(2), host(3)]);
    hosts.set_leader(Some(host(2)));
    hosts.set_listed(&[host(1)]);
    hosts.clear_leader(host(2));
    let asked: HashSet<SocketAddr> = asked(&mut hosts, 6).into_iter().collect();
    assert!(
        asked.contains(&host(2)) && asked.contains(&host(3)),
        "{asked:?}"
    );
}

#[test]
fn listed_hosts_are_asked_in_turn_and_lost_seeds_rarely() {
    let mut hosts = KnownHosts::new(vec![host(1), host(8), host(9)]);
    hosts.set_listed(&[host(1), host(2), host(3), host(4)]);
    let asked = asked(&mut hosts, 10);
    let listed = [host(1), host(2), host(3), host(4)];
    assert_eq!(asked[..4], listed);
    assert_eq!(asked[5..9], listed);
    assert_eq!([asked[4], asked[9]], [host(8), host(9)]);
}

#[test]
fn only_the_known_leader_is_asked_until_it_is_lost() {
    let mut hosts = KnownHosts::new(vec![host(1), host(2)]);
    assert_eq!(KnownHosts::default().next_host(), None);
    hosts.set_leader(Some(host(7)));
    assert_eq!(asked(&mut hosts, 3), [host(7); 3]);
    hosts.clear_leader(host(1));
    assert_eq!(hosts.leader(), Some(host(7)));
    hosts.clear_leader(host(7));
    assert_eq!(asked(&mut hosts, 2), [host(1), host(2)]);
}

#[test]
fn a_host_that_hears_from_fewer_than_half_of_the_listed_hosts_is_isolated() {
    let (start, period) = (Instant::now(), Duration::from_secs(1));
    let mut hosts = KnownHosts::new(vec![host(1), host(2)]);
    assert!(hosts.is_isolated(period, start));
    hosts.record_answer(host(1), start);
    assert!(!hosts.is_isolated(period, start));
    hosts.set_listed(&[host(1), host(3), host(4)]);
    assert!(hosts.is_isolated(period, start));
    hosts.record_answer(host(4), start);
    assert!(!hosts.is_isolated(period, start));
    assert!(hosts.is_isolated(period, start + period));
}

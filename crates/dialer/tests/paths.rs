//! Which path to a server a host takes, without network.

use chicoryladder_dialer::{FirstPath, ServerPaths};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn a_host_tries_its_own_path_first_until_it_fails() {
    let mut paths = ServerPaths::default();
    let now = Instant::now();
    assert_eq!(paths.first_path(address(1), now), FirstPath::Direct);
    assert!(paths.record_detour(address(1), now));
    assert!(!paths.record_detour(address(1), now));
    assert_eq!(paths.first_path(address(1), now), FirstPath::Tunnel);
    assert_eq!(paths.first_path(address(2), now), FirstPath::Direct);
}

/// Guards against a lost path that delays every connection by a futile try.
#[test]
fn one_connection_at_a_time_tries_a_lost_path_again() {
    let mut paths = ServerPaths::default();
    let start = Instant::now();
    paths.record_detour(address(1), start);
    let mut tries = 0;
    for step in 0..1_000 {
        let now = start + Duration::from_millis(10) * step;
        tries += u32::from(paths.first_path(address(1), now) == FirstPath::Direct);
        paths.record_detour(address(1), now);
    }
    // After 0.5, 1.5, 3.5 and 7.5 s.
    assert_eq!(tries, 4);
    assert!(paths.record_direct(address(1)));
    assert_eq!(paths.first_path(address(1), start), FirstPath::Direct);
}

#[test]
fn a_host_without_paths_to_two_servers_opens_no_tunnels_for_others() {
    let mut paths = ServerPaths::default();
    let now = Instant::now();
    paths.record_detour(address(1), now);
    assert!(paths.offers_tunnels());
    paths.record_detour(address(2), now);
    assert!(!paths.offers_tunnels());
    paths.record_direct(address(1));
    assert!(paths.offers_tunnels());
}

/// Guards against a host that counts as cut off for good, since servers that it did not reach have
/// left meanwhile: nothing it saw of servers counted any more, and it opened no tunnels.
#[test]
fn a_host_that_reaches_another_server_is_no_longer_cut_off() {
    let mut paths = ServerPaths::default();
    let now = Instant::now();
    for number in 1..=3 {
        paths.record_unreached(address(number));
        paths.record_detour(address(number), now);
    }
    assert!(paths.is_cut_off() && !paths.offers_tunnels());
    paths.record_direct(address(4));
    assert!(!paths.is_cut_off() && paths.offers_tunnels());
    assert!(paths.is_detoured(address(1)));
}

/// Guards against hosts of a zone that is cut off whole, which offered tunnels to one another
/// for as long as nobody had reached a server for them.
#[test]
fn a_host_that_failed_to_reach_two_servers_in_a_row_offers_no_tunnels() {
    let mut paths = ServerPaths::default();
    paths.record_unreached(address(1));
    paths.record_unreached(address(1));
    assert!(paths.offers_tunnels());
    paths.record_unreached(address(2));
    assert!(!paths.offers_tunnels());
    paths.record_direct(address(3));
    assert!(paths.offers_tunnels());
}

/// Guards against a zone whose hosts are all cut off, and that try only one another.
#[test]
fn every_zone_is_among_the_first_tunnel_hosts() {
    let mut paths = ServerPaths::default();
    let zones = [
        [address(1), address(2), address(3)],
        [address(4), address(5), address(6)],
        [address(7), address(8), address(9)],
    ];
    let groups = [&zones[0][..], &zones[1][..], &zones[2][..]];
    for _ in 0..10 {
        let hosts = paths.choose_hosts(&groups, Instant::now());
        assert!(zones[0].contains(&hosts[0]), "{hosts:?}");
        let has_one = |zone: &[SocketAddr; 3]| zone.iter().any(|host| hosts.contains(host));
        assert!(zones.iter().all(has_one), "{hosts:?}");
    }
}

#[test]
fn tunnel_hosts_take_turns_and_those_that_failed_come_last() {
    let mut paths = ServerPaths::default();
    let now = Instant::now();
    let own_zone = [address(1), address(2), address(3)];
    let others = [address(4)];
    let firsts: Vec<SocketAddr> = (0..3)
        .map(|_| paths.choose_hosts(&[&own_zone, &others], now)[0])
        .collect();
    assert!(
        own_zone.iter().all(|host| firsts.contains(host)),
        "{firsts:?}"
    );
    for host in own_zone {
        paths.record_host_failure(host, now);
    }
    assert_eq!(
        paths.choose_hosts(&[&own_zone, &others], now)[0],
        address(4)
    );
    let later = now + Duration::from_secs(2);
    let first = paths.choose_hosts(&[&own_zone, &others], later)[0];
    assert!(own_zone.contains(&first));
}

//! Server selection without the broker, as after a zone is cut off during a burst.

use crate::support::{BrokerFixture, check_in};
use chicoryladder_broker::{
    BrokerlessView, ColdServerView, EngineMemory, LeavingServers, NamedLimits, ServerCheckIn,
    ServerPhase, WorkKind, ZoneAreas, ZoneRoster,
};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// Selects servers for `count` requests, each of which keeps running.
fn choose_many(servers: &[ServerCheckIn], unreachable: &[&str], count: usize) -> Vec<String> {
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let mut own_runs: HashMap<ServerName, u32> = HashMap::new();
    let unreachable: HashSet<ServerName> = unreachable
        .iter()
        .map(|name| ServerName::try_from(*name).expect("it is valid"))
        .collect();
    let mut chosen = Vec::new();
    for _ in 0..count {
        let request = fixture.slot_request(WorkKind::Online);
        let view = BrokerlessView {
            memory: &EngineMemory::default(),
            areas: &ZoneAreas::default(),
            versions: None,
            servers,
            own_runs: &own_runs,
            unreachable: &unreachable,
            leaving: &LeavingServers::default(),
            limits: &NamedLimits::default(),
            cold: ColdServerView::default(),
            roster: &ZoneRoster::default(),
            now: fixture.now,
        };
        if let Some(server) = view.choose(&request) {
            chosen.push(server.name.to_string());
            *own_runs.entry(server.name.clone()).or_default() += 1;
        }
    }
    chosen
}

fn local_and_remote_servers() -> Vec<ServerCheckIn> {
    vec![
        check_in("a1", "a", 1),
        check_in("a2", "a", 1),
        check_in("b1", "b", 1),
    ]
}

#[test]
fn servers_in_the_own_zone_fill_evenly_before_others_are_tried() {
    let chosen = choose_many(&local_and_remote_servers(), &[], 20);
    let count = |name: &str| chosen.iter().filter(|chosen| *chosen == name).count();
    assert!(chosen[..16].iter().all(|name| name.starts_with('a')));
    assert_eq!((count("a1"), count("a2"), count("b1")), (8, 8, 4));
}

#[test]
fn unreachable_servers_are_not_selected() {
    let chosen = choose_many(&local_and_remote_servers(), &["b1"], 20);
    assert_eq!(chosen.len(), 16);
    assert!(chosen.iter().all(|name| name.starts_with('a')));
}

#[test]
fn leaving_servers_and_those_of_other_services_are_not_selected() {
    let mut servers = local_and_remote_servers();
    servers[0].phase = ServerPhase::Leaving;
    servers[1].service = "app".parse().expect("it is valid");
    let chosen = choose_many(&servers, &[], 3);
    assert!(chosen.iter().all(|name| name == "b1"), "{chosen:?}");
}

#[test]
fn different_tickets_spread_over_equally_loaded_servers() {
    let servers: Vec<_> = (0..8).map(|n| check_in(&format!("s{n}"), "a", 1)).collect();
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let (own_runs, unreachable) = (HashMap::new(), HashSet::new());
    let mut first = HashSet::new();
    for _ in 0..40 {
        let view = BrokerlessView {
            memory: &EngineMemory::default(),
            areas: &ZoneAreas::default(),
            versions: None,
            servers: &servers,
            own_runs: &own_runs,
            unreachable: &unreachable,
            leaving: &LeavingServers::default(),
            limits: &NamedLimits::default(),
            cold: ColdServerView::default(),
            roster: &ZoneRoster::default(),
            now: fixture.now,
        };
        let request = fixture.slot_request(WorkKind::Online);
        first.extend(view.choose(&request).map(|server| server.name.clone()));
    }
    assert!(first.len() >= 6, "{first:?}");
}

/// Pattern: hundreds of entry hosts and thousands of servers, whose directory changes.
#[test]
fn the_hosts_of_a_zone_learn_of_its_servers_and_of_small_services() {
    use crate::support::{check_in, zone};
    use chicoryladder_broker::servers_for_zone;
    let zones = ["a", "b", "c", "d", "e"];
    let mut servers: Vec<_> = (0..3_000)
        .map(|n| check_in(&format!("engine-{n}"), zones[n % 5], 1))
        .collect();
    let plain = ServiceName::try_from(crate::support::APP).expect("it is valid");
    servers.extend((0..5).map(|n| {
        let mut server = check_in(&format!("app-{n}"), zones[n], 1);
        server.service = plain.clone();
        server
    }));
    let known = servers_for_zone(&servers, &zone("b"));
    assert_eq!(known.len(), 600 + 5);
    assert!(
        known
            .iter()
            .all(|s| s.zone == zone("b") || s.service == plain)
    );
    // A zone without servers of a service needs those of the others.
    assert_eq!(servers_for_zone(&servers, &zone("f")).len(), servers.len());
}

/// An engine crashes if the requests that it holds exceed its memory, and without the broker
/// nobody else counts them.
#[test]
fn servers_without_memory_for_a_request_are_not_selected() {
    let servers = [check_in("a1", "a", 1), check_in("b1", "b", 1)];
    let mut fixture = BrokerFixture::new(&[], Vec::new());
    let mut request = fixture.slot_request(WorkKind::Online);
    request.tokens = 300;
    let choose = |own_tokens: u64| {
        let a1 = servers[0].name.clone();
        let memory = EngineMemory {
            tokens_max: Some(1_000),
            own_tokens: HashMap::from([(a1.clone(), own_tokens)]),
        };
        let view = BrokerlessView {
            memory: &memory,
            versions: None,
            areas: &ZoneAreas::default(),
            servers: &servers,
            own_runs: &HashMap::from([(a1, 1)]),
            unreachable: &HashSet::new(),
            leaving: &LeavingServers::default(),
            limits: &NamedLimits::default(),
            cold: ColdServerView::default(),
            roster: &ZoneRoster::default(),
            now: fixture.now,
        };
        let chosen = view.choose(&request);
        chosen.map(|server| server.name.to_string())
    };
    assert_eq!(choose(700).as_deref(), Some("a1"));
    assert_eq!(choose(701).as_deref(), Some("b1"));
}

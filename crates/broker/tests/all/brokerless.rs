//! Load pattern: a zone is cut off in a burst, and its hosts choose without the broker.

use crate::support::{World, check_in};
use chicoryladder_broker::{BrokerlessView, ServerCheckIn, ServerPhase, WorkKind};
use chicoryladder_types::prelude::*;
use std::collections::{HashMap, HashSet};

/// Asks again and again; what was chosen keeps running.
fn choose_many(servers: &[ServerCheckIn], unreachable: &[&str], count: usize) -> Vec<String> {
    let mut world = World::new(&[], Vec::new());
    let mut own_runs: HashMap<ServerName, u32> = HashMap::new();
    let unreachable: HashSet<ServerName> = unreachable
        .iter()
        .map(|name| ServerName::try_from(*name).expect("it is valid"))
        .collect();
    let mut chosen = Vec::new();
    for _ in 0..count {
        let ask = world.question(WorkKind::Online);
        let view = BrokerlessView {
            servers,
            own_runs: &own_runs,
            unreachable: &unreachable,
        };
        if let Some(check_in) = view.choose(&ask) {
            chosen.push(check_in.name.to_string());
            *own_runs.entry(check_in.name.clone()).or_default() += 1;
        }
    }
    chosen
}

fn near_and_far() -> Vec<ServerCheckIn> {
    vec![
        check_in("a1", "a", 1),
        check_in("a2", "a", 1),
        check_in("b1", "b", 1),
    ]
}

#[test]
fn near_servers_fill_up_evenly_before_far_ones_are_tried() {
    let chosen = choose_many(&near_and_far(), &[], 20);
    let count = |name: &str| chosen.iter().filter(|chosen| *chosen == name).count();
    assert!(chosen[..16].iter().all(|name| name.starts_with('a')));
    assert_eq!((count("a1"), count("a2"), count("b1")), (8, 8, 4));
}

#[test]
fn servers_that_could_not_be_reached_are_passed_over() {
    let chosen = choose_many(&near_and_far(), &["b1"], 20);
    assert_eq!(chosen.len(), 16);
    assert!(chosen.iter().all(|name| name.starts_with('a')));
}

#[test]
fn leaving_servers_and_those_of_other_services_are_not_chosen() {
    let mut servers = near_and_far();
    servers[0].phase = ServerPhase::Leaving;
    servers[1].service = "app".parse().expect("it is valid");
    let chosen = choose_many(&servers, &[], 3);
    assert!(chosen.iter().all(|name| name == "b1"), "{chosen:?}");
}

#[test]
fn hosts_that_ask_with_other_tickets_spread_over_equal_servers() {
    let servers: Vec<_> = (0..8).map(|n| check_in(&format!("s{n}"), "a", 1)).collect();
    let mut world = World::new(&[], Vec::new());
    let (own_runs, unreachable) = (HashMap::new(), HashSet::new());
    let mut first = HashSet::new();
    for _ in 0..40 {
        let view = BrokerlessView {
            servers: &servers,
            own_runs: &own_runs,
            unreachable: &unreachable,
        };
        let ask = world.question(WorkKind::Online);
        first.extend(view.choose(&ask).map(|check_in| check_in.name.clone()));
    }
    assert!(first.len() >= 6, "{first:?}");
}

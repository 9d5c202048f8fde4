//! Hosts that find each other through whatever hosts their settings name, and
//! operators and servers that find one that runs.

use crate::client::Call;
use crate::world::{Role, World};
use hyper::Method;
use std::time::Duration;

const ROLES: [Role; 3] = [Role::Control, Role::Store, Role::Entry];

fn all_hosts(world: &World) -> Vec<String> {
    let names = ROLES.iter().flat_map(|role| world.names(*role));
    names.collect()
}

/// Whether a plan is acknowledged by a host within the second that operators wait.
async fn takes_plan(world: &World, name: &str, plan: &serde_json::Value) -> bool {
    let address = world.control_address(name);
    let mut call = Call::new(address, Method::POST, "/config/replace").body(plan.to_string());
    call.timeout = Duration::from_secs(1);
    let answer = call.send().await;
    answer.is_some_and(|answer| answer.status.is_success())
}

/// A fleet has its full control group: a plan is acknowledged and still read after
/// the leader and its disk are lost.
async fn bears_a_loss(world: &mut World) {
    let plan = world.plan(&["k1"]);
    world.apply(&plan).await;
    let leader = world.leader(Role::Control).expect("a leader");
    world.kill(&leader);
    world.wipe(&leader);
    let others: Vec<String> = world
        .names(Role::Control)
        .into_iter()
        .filter(|name| *name != leader)
        .collect();
    for name in &others {
        world
            .until("the plan is read", || async {
                world.read_version(name).await == plan["version"].as_u64()
            })
            .await;
    }
    world.launch(&leader, false);
    world
        .until("the host with the new disk has a seat", || async {
            let log = world.log_of(&leader);
            log.matches("\"seat_opened\"").count() == 2
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_are_answered_by_store_hosts_beside_a_frozen_leader() {
    let mut world = World::start().await;
    let frozen = world.leader(Role::Control).expect("a leader");
    world.signal(&frozen, "STOP");
    world
        .until("another host leads", || async {
            let next = world.leader(Role::Control);
            next.is_some_and(|next| next != frozen)
        })
        .await;
    for name in world.names(Role::Store) {
        let plan = world.plan(&["k1"]);
        world
            .until("the store host knows the leader", || async {
                world.read_version(&name).await.is_some()
            })
            .await;
        assert!(takes_plan(&world, &name, &plan).await, "{name}");
        assert_eq!(world.read_version(&name).await, plan["version"].as_u64());
        let path = "/instances/engine-1/heartbeat";
        let unread = Call::new(world.control_address(&name), Method::POST, path).body("no JSON");
        let answer = unread.send().await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 400);
    }
    world.signal(&frozen, "CONT");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_is_founded_through_store_hosts_only() {
    let seeds = [1, 2, 3].map(|number| (Role::Store, number));
    let mut world = World::start_with_seeds(&seeds).await;
    bears_a_loss(&mut world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_is_founded_through_one_control_host() {
    let seeds = [(Role::Store, 3), (Role::Control, 2), (Role::Store, 1)];
    let mut world = World::start_with_seeds(&seeds).await;
    bears_a_loss(&mut world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_is_founded_through_two_control_hosts() {
    let seeds = [(Role::Store, 1), (Role::Control, 2), (Role::Control, 3)];
    let mut world = World::start_with_seeds(&seeds).await;
    bears_a_loss(&mut world).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_comes_back_whose_settings_name_store_hosts_only() {
    let mut world = World::start().await;
    let plan = world.plan(&["k1"]);
    world.apply(&plan).await;
    let names = all_hosts(&world);
    for name in &names {
        world.kill(name);
    }
    world.set_seeds(&[1, 2, 3].map(|number| (Role::Store, number)));
    for name in &names {
        world.launch(name, false);
    }
    for name in world.names(Role::Store) {
        world
            .until("the plan is read", || async {
                world.read_version(&name).await == plan["version"].as_u64()
            })
            .await;
    }
    let entry = world.names(Role::Entry)[0].clone();
    world
        .until("callers are served", || async {
            let answer = world.ask(&entry, "/ping/1", "back").send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
}

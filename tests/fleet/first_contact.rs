//! Discovery: hosts find the control group through any control or store hosts that their
//! settings name as seeds, and store hosts answer operators and servers while a control
//! host is unresponsive.

use crate::client::Call;
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use std::time::Duration;

const ROLES: [Role; 3] = [Role::Control, Role::Store, Role::Entry];

fn all_hosts(fleet: &ProcessFleet) -> Vec<String> {
    let names = ROLES.iter().flat_map(|role| fleet.host_names(*role));
    names.collect()
}

/// Whether a host acknowledges a plan within the one second that operators wait.
async fn accepts_plan(fleet: &ProcessFleet, name: &str, plan: &serde_json::Value) -> bool {
    let address = fleet.control_address(name);
    let mut call = Call::new(address, Method::POST, "/config/replace").body(plan.to_string());
    call.timeout = Duration::from_secs(1);
    let answer = call.send().await;
    answer.is_some_and(|answer| answer.status.is_success())
}

/// Checks that the control group has all its members: an acknowledged plan is still
/// readable after the loss of the leader and its disk, and the leader's host gets a new
/// seat.
async fn check_disk_loss_survival(fleet: &mut ProcessFleet) {
    let plan = fleet.next_plan(&["k1"]);
    fleet.apply_plan(&plan).await;
    let leader = fleet.leader(Role::Control).expect("a leader");
    fleet.kill(&leader);
    fleet.delete_data(&leader);
    let others: Vec<String> = fleet
        .host_names(Role::Control)
        .into_iter()
        .filter(|name| *name != leader)
        .collect();
    for name in &others {
        fleet
            .wait_until("the plan is read", || async {
                fleet.read_version(name).await == plan["version"].as_u64()
            })
            .await;
    }
    fleet.start_process(&leader, false);
    fleet
        .wait_until("the host with the new disk has a seat", || async {
            let log = fleet.read_log(&leader);
            log.matches("\"seat_opened\"").count() == 2
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_hosts_answer_operators_while_the_old_leader_is_frozen() {
    let mut fleet = ProcessFleet::start().await;
    let frozen = fleet.leader(Role::Control).expect("a leader");
    fleet.send_signal(&frozen, "STOP");
    fleet
        .wait_until("another host leads", || async {
            let next = fleet.leader(Role::Control);
            next.is_some_and(|next| next != frozen)
        })
        .await;
    for name in fleet.host_names(Role::Store) {
        let plan = fleet.next_plan(&["k1"]);
        fleet
            .wait_until("the store host reaches the new leader", || async {
                fleet.read_version(&name).await.is_some()
            })
            .await;
        assert!(accepts_plan(&fleet, &name, &plan).await, "{name}");
        assert_eq!(fleet.read_version(&name).await, plan["version"].as_u64());
        let path = "/instances/engine-1/heartbeat";
        let unread = Call::new(fleet.control_address(&name), Method::POST, path).body("no JSON");
        let answer = unread.send().await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 400);
    }
    fleet.send_signal(&frozen, "CONT");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_bootstraps_through_store_hosts_only() {
    let seeds = [1, 2, 3].map(|number| (Role::Store, number));
    let mut fleet = ProcessFleet::start_with_seeds(&seeds).await;
    check_disk_loss_survival(&mut fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_bootstraps_through_one_control_host() {
    let seeds = [(Role::Store, 3), (Role::Control, 2), (Role::Store, 1)];
    let mut fleet = ProcessFleet::start_with_seeds(&seeds).await;
    check_disk_loss_survival(&mut fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_bootstraps_through_two_control_hosts() {
    let seeds = [(Role::Store, 1), (Role::Control, 2), (Role::Control, 3)];
    let mut fleet = ProcessFleet::start_with_seeds(&seeds).await;
    check_disk_loss_survival(&mut fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_restarts_with_settings_that_name_store_hosts_only() {
    let mut fleet = ProcessFleet::start().await;
    let plan = fleet.next_plan(&["k1"]);
    fleet.apply_plan(&plan).await;
    let names = all_hosts(&fleet);
    for name in &names {
        fleet.kill(name);
    }
    fleet.set_seeds(&[1, 2, 3].map(|number| (Role::Store, number)));
    for name in &names {
        fleet.start_process(name, false);
    }
    for name in fleet.host_names(Role::Store) {
        fleet
            .wait_until("the plan is read", || async {
                fleet.read_version(&name).await == plan["version"].as_u64()
            })
            .await;
    }
    let entry = fleet.host_names(Role::Entry)[0].clone();
    fleet
        .wait_until("callers are served", || async {
            let answer = fleet.caller_request(&entry, "/ping/1", "back").send().await;
            answer.is_some_and(|answer| answer.status.is_success())
        })
        .await;
}

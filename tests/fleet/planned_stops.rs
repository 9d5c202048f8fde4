//! Hosts that hold seats of a group are replaced as planned: the successors run first, then
//! the old hosts are stopped for good.

use crate::world::{ProcessFleet, Role};
use serde_json::Value;

/// A host that stopped as planned left its seat empty until it had been silent for seconds, so
/// that a second one in a row cost the control group its quorum for good.
#[tokio::test(flavor = "multi_thread")]
async fn plan_is_kept_when_two_control_hosts_in_a_row_are_replaced() {
    let mut fleet = ProcessFleet::start().await;
    replace_two_hosts(&mut fleet, Role::Control).await;
    let plan = fleet.next_plan(&["k1"]);
    fleet.apply_plan(&plan).await;
    let reader = fleet.host_names(Role::Control)[0].clone();
    fleet
        .wait_until("the plan is read back", || async {
            fleet.read_version(&reader).await == plan.get("version").and_then(Value::as_u64)
        })
        .await;
}

/// The same for the job group, whose jobs were lost with its quorum.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_kept_when_two_store_hosts_in_a_row_are_replaced() {
    let mut fleet = ProcessFleet::start().await;
    let entry = fleet.host_names(Role::Entry)[0].clone();
    let ids = ["kept-0", "kept-1", "kept-2"].map(ToOwned::to_owned);
    let answer = fleet.submit(&entry, "job-kept", &ids, 5).await;
    assert_eq!(answer.expect("an answer").status.as_u16(), 202);
    replace_two_hosts(&mut fleet, Role::Store).await;
    fleet
        .wait_until("another job is accepted", || async {
            let answer = fleet.submit(&entry, "job-later", &ids, 5).await;
            answer.is_some_and(|answer| answer.status.as_u16() == 202)
        })
        .await;
    for job in ["job-kept", "job-later"] {
        fleet
            .wait_until("the job is complete", || async {
                let results = fleet.read_results(&entry, job).await;
                results.is_some_and(|results| results.len() == ids.len())
            })
            .await;
    }
}

/// Adds two hosts and removes the leader and another voter, one right after the other, with
/// their disks.
async fn replace_two_hosts(fleet: &mut ProcessFleet, role: Role) {
    fleet
        .wait_until("a host has logged that it leads", || async {
            fleet.leader(role).is_some()
        })
        .await;
    let leader = fleet.leader(role).expect("a leader");
    let others = fleet.host_names(role);
    let other = others.into_iter().find(|name| *name != leader);
    for number in [4, 5] {
        fleet.add_host(role, number, false);
    }
    fleet
        .wait_until("the leader knows both successors", || async {
            fleet.level(&leader, "group_standbys").await >= Some(2.0)
        })
        .await;
    for name in [leader, other.expect("a second voter")] {
        fleet.send_signal(&name, "TERM");
        fleet.wait_for_exit(&name).await;
        fleet.remove_host(&name);
    }
}

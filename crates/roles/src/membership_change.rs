//! Carries out a change of a group's membership.

use crate::event_log::EventLog;
use chicoryladder_consensus::MembershipChange;
use chicoryladder_group::GroupHandle;
use serde_json::json;

/// Applies a change of a group's membership and records its outcome in the event log.
pub(crate) async fn apply_change<M: Send + 'static>(
    group: &GroupHandle<M>,
    change: MembershipChange,
    log: &EventLog,
) {
    let described = format!("{change:?}");
    let outcome = group.change_membership(change).await;
    let result = outcome.map_or_else(|failure| failure.to_string(), |()| "done".to_owned());
    log.note(
        "membership_changes",
        &json!({ "change": described, "result": result }),
    );
}

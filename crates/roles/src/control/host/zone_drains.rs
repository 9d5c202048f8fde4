//! The orders of operators to drain zones.

use super::super::machine::ControlCommand;
use super::{ControlMachine, ControlShared, LeaderState};
use crate::message::{ControlAnswer, GroupReply};
use chicoryladder_group::ProposeFailure;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ZoneDrainOrder, ZoneDrainStep};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

impl ControlShared {
    /// Records an order to drain a zone or to withdraw that, and applies it. Orders that
    /// change nothing are recorded as well, since an earlier order may still be on its way
    /// into the log and must not come last.
    pub(super) async fn set_zone_drain(
        self: &Arc<Self>,
        zone: ZoneName,
        step: ZoneDrainStep,
        asked_by: Option<SocketAddr>,
    ) -> GroupReply<ControlAnswer> {
        let now = self.now();
        let (term, is_zone) = {
            let state = self.state();
            let is_zone = state.is_zone(&zone, step, &self.base.settings.areas, now);
            (state.term, is_zone)
        };
        let mut fields = json!({ "zone": zone, "step": step.as_str(), "asked_by": asked_by });
        let refuse = |cause: &str| {
            let mut fields = fields.clone();
            fields["cause"] = json!(cause);
            self.log.note("zone_drain_refused", &fields);
        };
        match is_zone {
            Some(true) => {}
            Some(false) => {
                refuse("there is no such zone");
                return GroupReply::Answer(ControlAnswer::UnknownZone);
            }
            None => {
                refuse("the zones are not all known yet");
                return GroupReply::OutcomeUnknown;
            }
        }
        let since_epoch = self.base.clock.since_epoch().as_millis();
        let order = ZoneDrainOrder {
            zone,
            step,
            asked_by,
            at_ms: u64::try_from(since_epoch).unwrap_or(u64::MAX),
        };
        let result = self.propose(&ControlCommand::SetZoneDrain(order)).await;
        match result {
            Ok(()) => {}
            Err(ProposeFailure::NotLeader) => return self.not_leader(),
            Err(failure) => {
                fields["cause"] = json!(failure.to_string());
                self.log.note("zone_drain_undecided", &fields);
                return GroupReply::OutcomeUnknown;
            }
        }
        let is_read = self.refresh().await;
        let mut state = self.state();
        if !is_read || term.is_none() || state.term != term {
            drop(state);
            // The order is in the log, but this leader has not applied it, or a leadership
            // that began meanwhile may rest on a copy of the state from before the order. A
            // repeated order applies it, or the next leader.
            fields["cause"] = json!("the order could not be applied");
            self.log.note("zone_drain_undecided", &fields);
            return GroupReply::OutcomeUnknown;
        }
        self.process_broker_events(&mut state);
        fields["zones_drained"] = json!(state.broker.drained_zones());
        drop(state);
        self.log.note("zone_drain", &fields);
        GroupReply::Answer(ControlAnswer::Done)
    }

    /// The zones that are drained.
    pub(super) async fn zone_drains(&self) -> GroupReply<ControlAnswer> {
        let Some(group) = self.group() else {
            return self.not_leader();
        };
        let read = group.read(|machine: &ControlMachine| machine.zone_drains().drained());
        match read.await {
            Ok(drained) => GroupReply::Answer(ControlAnswer::ZoneDrains(drained)),
            Err(_) => self.not_leader(),
        }
    }

    /// Warns if all zones with servers have become drained. The orders are obeyed
    /// nevertheless.
    pub(super) fn warn_of_drains(&self, state: &mut LeaderState) {
        if state.becomes_wholly_drained() {
            let zones = state.broker.drained_zones();
            let fields = json!({ "zones_drained": zones, "level": "warning" });
            self.log.note("all_zones_drained", &fields);
            log::warn!("control: all zones with servers are drained; requests are refused.");
        }
    }
}

//! The `zones` resource of the administration API: availability zones and their drains.

use super::fleet::refused;
use super::{AdminService, parse_body};
use crate::replica::ProposeError;
use chicoryladder_gateway::{AdminAnswer, AdminRequest, AnswerBody, json_answer};
use chicoryladder_state::{FleetCommand, FleetOutcome, PropagationGoal, SetZoneDrain};
use chicoryladder_types::admin::{ZoneDrainAnswer, ZoneDrainRequest, ZoneEntry, ZonesAnswer};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ZoneDrain, ZoneDrainOrder, ZoneDrainStep, ZoneDrains};
use hyper::Response;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest time for which the acknowledgement of an order waits until all hosts have
/// applied it. Operators expect it within a second, and one silent host must not hold it up.
const DRAIN_PROPAGATION_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which a host that has started knows the hosts and servers that run, so that
/// a zone that none of them is in does not exist. Servers announce themselves every second.
const ZONES_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// The retry hint for an order that a host cannot judge yet.
const ZONES_RETRY_AFTER: Duration = Duration::from_secs(1);

impl AdminService {
    pub(super) async fn list_zones(&self) -> Response<AnswerBody> {
        let drained = self.replica.view().drains.drained();
        let mut drains: BTreeMap<ZoneName, ZoneDrain> = drained
            .into_iter()
            .map(|drain| (drain.zone.clone(), drain))
            .collect();
        let zones = self.zones().await;
        let zones = zones.into_iter().map(|(zone, census)| {
            let drain = drains.remove(&zone);
            ZoneEntry {
                hosts: census.hosts,
                servers: census.servers,
                drained: drain.is_some(),
                asked_by: drain.as_ref().and_then(|drain| drain.asked_by),
                since_ms: drain.map(|drain| drain.since_ms),
                zone,
            }
        });
        let zones = zones.collect();
        json_answer(200, &ZonesAnswer { zones })
    }

    /// Drains a zone or withdraws that. The order is durable before it is acknowledged. One
    /// that changes nothing is logged as well, since an earlier one may still be on its way
    /// into the log and must not come last.
    pub(super) async fn set_zone_drain(&self, zone: &str, request: &AdminRequest) -> AdminAnswer {
        let zone = ZoneName::try_from(zone).map_err(|error| {
            RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string())
        })?;
        let body: ZoneDrainRequest = parse_body(&request.body)?;
        let step = if body.drained {
            ZoneDrainStep::Begin
        } else {
            ZoneDrainStep::Finish
        };
        self.check_zone(&zone, step).await?;
        let since_epoch = self.clock.since_epoch().as_millis();
        let order = ZoneDrainOrder {
            zone: zone.clone(),
            step,
            asked_by: request.remote,
            at_ms: u64::try_from(since_epoch).unwrap_or(u64::MAX),
        };
        let command = FleetCommand::SetZoneDrain(SetZoneDrain {
            order,
            operation_id: self.operation_id(body.operation_id)?,
        });
        let outcome = self.replica.propose_fleet(command).await;
        match outcome.map_err(ProposeError::refusal)? {
            FleetOutcome::ZoneDrainSet => {}
            outcome => return Err(refused(&outcome)),
        }
        let asker = request.remote.map(|remote| remote.to_string());
        let asker = asker.as_deref().unwrap_or("an unknown address");
        log::info!(
            "admin: zone {zone}: {} of the drain ordered by {asker}.",
            step.as_str()
        );
        let applied = self.replica.view().applied;
        let goal = |_: &_| PropagationGoal::Applied(applied);
        let propagation = self
            .wait_for_propagation_within(goal, DRAIN_PROPAGATION_TIMEOUT)
            .await;
        let answer = ZoneDrainAnswer {
            drained: self.replica.view().drains.is_drained(&zone),
            zone,
            propagation,
        };
        Ok(json_answer(200, &answer))
    }

    /// Refuses an order for a zone that does not exist. A drain of a zone whose hosts and
    /// servers are gone can still be withdrawn.
    async fn check_zone(&self, zone: &ZoneName, step: ZoneDrainStep) -> Result<(), RequestRefusal> {
        let drains = self.replica.view().drains.clone();
        let is_withdrawal = step == ZoneDrainStep::Finish && drains.was_ordered(zone);
        if is_withdrawal || drains.is_drained(zone) {
            return Ok(());
        }
        let zones = self.zones().await;
        if zones.contains_key(zone) {
            return Ok(());
        }
        let runs_for = self.clock.now().saturating_duration_since(self.started_at);
        if runs_for < ZONES_KNOWN_AFTER {
            let detail = "the host has just started and does not know all zones yet";
            let refusal = RequestRefusal::not_run(RefusalReason::NoQuorum, detail);
            return Err(refusal.with_retry_after(ZONES_RETRY_AFTER));
        }
        let names: Vec<&str> = zones.keys().map(ZoneName::as_str).collect();
        let detail = format!(
            "there is no zone {zone}; the zones are {}",
            names.join(", ")
        );
        Err(RequestRefusal::not_run(RefusalReason::UnknownZone, detail))
    }

    /// The zones of the hosts and servers that this host knows, and those that are drained.
    async fn zones(&self) -> BTreeMap<ZoneName, ZoneCensus> {
        let mut zones: BTreeMap<ZoneName, ZoneCensus> = BTreeMap::new();
        let drains: &ZoneDrains = &self.replica.view().drains.clone();
        for zone in drains.drained_zones() {
            zones.entry(zone).or_default();
        }
        zones.entry(self.zone.clone()).or_default().hosts += 1;
        for peer in self.peers.known() {
            zones.entry(peer.zone).or_default().hosts += 1;
        }
        for server in self.routing.servers().await {
            zones.entry(server.zone).or_default().servers += 1;
        }
        zones
    }
}

/// The hosts and servers of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCensus {
    hosts: u32,
    servers: u32,
}

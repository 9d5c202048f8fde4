//! The faults of zones beside those of processes: drains, servers that become cold, homes, and
//! the loss of power everywhere.

use super::coldness::{add_cold_terms, check_coldness, run_cold_spells};
use super::drains::{DrainLog, ZoneOperator, check_drains, check_power_loss};
use super::homes::{AREAS, FOREIGN_ZONE, HOME_ZONES, add_homes, check_homes};
use super::silences::SILENCE_MAX;
use super::{Observations, servers_by_service};
use crate::world::ProcessFleet;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde_json::Value;
use std::time::Instant;
use tokio::task::JoinSet;

/// Starts a fleet in which a route may have homes.
pub(super) async fn start_fleet_with_areas() -> ProcessFleet {
    ProcessFleet::start_with_areas(AREAS).await
}

/// Adds the terms of cold servers and the homes of a route to a plan.
pub(super) fn add_zone_terms(plan: &mut Value) {
    add_cold_terms(plan);
    add_homes(plan);
}

/// The drains in a seed, and what the loss of power at its end needs.
pub(super) struct ZoneFaults {
    drains: DrainLog,
    /// The zone that is drained only right before the loss of power.
    last_zone: &'static str,
    rng: ChaCha8Rng,
}

/// Lets operators drain a zone of the home and the other zone, and servers become cold. The first
/// drain begins before the other faults, so that it is in force during most of them.
pub(super) fn start_zone_faults(
    fleet: &ProcessFleet,
    seed: u64,
    observations: &Observations,
    (begin_at, deadline): (Instant, Instant),
    tasks: &mut JoinSet<()>,
) -> ZoneFaults {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let drained = rng.random_range(0..HOME_ZONES.len());
    let drains = DrainLog::default();
    let drain_at = begin_at.checked_sub(SILENCE_MAX).expect("a time");
    for (zone, drain_at) in [(HOME_ZONES[drained], drain_at), (FOREIGN_ZONE, begin_at)] {
        let draws = ChaCha8Rng::from_rng(&mut rng);
        let operator = ZoneOperator::new(fleet, zone, draws, &drains, observations);
        tasks.spawn(operator.run(drain_at, deadline));
    }
    for servers in servers_by_service(fleet) {
        let draws = ChaCha8Rng::from_rng(&mut rng);
        tasks.spawn(run_cold_spells(servers, draws, begin_at, deadline));
    }
    ZoneFaults {
        drains,
        last_zone: HOME_ZONES[1 - drained],
        rng,
    }
}

impl ZoneFaults {
    /// Lets all processes lose power, and checks what was observed of drains, cold servers and
    /// homes. Returns a summary.
    pub(super) async fn check(
        self,
        fleet: &mut ProcessFleet,
        observations: &Observations,
        planned_at: Instant,
    ) -> String {
        for name in fleet.hosts_without_path() {
            fleet.set_server_path(&name, true);
        }
        let zones = [HOME_ZONES[0], HOME_ZONES[1], FOREIGN_ZONE];
        let zones = (self.last_zone, zones.as_slice());
        check_power_loss(fleet, zones, self.rng, &self.drains, observations).await;
        let in_force = check_drains(fleet, observations, &self.drains);
        check_homes(fleet, observations, planned_at);
        let (spells, most) = check_coldness(fleet, observations);
        format!(
            ", {} drains, {in_force} of them in force, {spells} cold spells with at most {most} \
             requests a second",
            self.drains.count()
        )
    }
}

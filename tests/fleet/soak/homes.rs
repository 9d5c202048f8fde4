//! A route whose requests are confined to two of the zones.

use super::{Observations, TAKEN_UP};
use crate::servers::Run;
use crate::world::ProcessFleet;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Two areas, of which the route [`HOME_ROUTE`] has the first as its home.
pub(super) const AREAS: &str = "zone-1:north, zone-2:north, zone-3:south";
const HOME_AREA: &str = "north";
pub(super) const HOME_ZONES: [&str; 2] = ["zone-1", "zone-2"];
pub(super) const FOREIGN_ZONE: &str = "zone-3";

/// The route of the streams that are resumed, which reach most servers.
const HOME_ROUTE: &str = "rules";

/// The time within which the plan with the homes is in force on all hosts (`plan_applies_ms`).
const APPLY_TIME: Duration = Duration::from_secs(5);

/// Confines the requests of one route of a plan.
pub(super) fn add_homes(plan: &mut Value) {
    let mut routes = plan["routes"].as_array_mut().expect("a list").iter_mut();
    let route = routes.find(|route| route["name"] == HOME_ROUTE);
    route.expect("a route")["allowed-regions"] = json!([HOME_AREA]);
}

/// Checks that requests with homes reached only servers there, from `planned_at` on, when the plan
/// with the homes was acknowledged. A request keeps the homes that it began with.
pub(super) fn check_homes(fleet: &ProcessFleet, observations: &Observations, planned_at: Instant) {
    let foreign = fleet.servers.iter();
    let foreign = foreign.filter(|server| server.zone == FOREIGN_ZONE);
    let foreign: Vec<&str> = foreign.map(|server| server.name.as_str()).collect();
    let runs = fleet.runs.all();
    let of_route = |run: &&Run| run.id.contains(&format!("-{HOME_ROUTE}-"));
    let runs: Vec<&Run> = runs.iter().filter(of_route).collect();
    let mut first_runs: HashMap<&str, Instant> = HashMap::new();
    for run in &runs {
        let stream = run.id.strip_suffix(TAKEN_UP).unwrap_or(&run.id);
        first_runs.entry(stream).or_insert(run.at);
    }
    for run in runs {
        let stream = run.id.strip_suffix(TAKEN_UP).unwrap_or(&run.id);
        let has_homes = first_runs[stream] >= planned_at + APPLY_TIME;
        if has_homes && foreign.contains(&run.server.as_str()) {
            let text = format!("{} reached {}, which is not its home", run.id, run.server);
            observations.record_violation(text);
        }
    }
}

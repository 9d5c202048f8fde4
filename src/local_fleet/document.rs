//! Builds the fleet document of an experiment.

use chicoryladder_settings::RequestRate;
use chicoryladder_standin::load::LoadExperiment;
use std::fmt::Write;

/// Classes and routes that are common to all experiments.
const CLASSES_AND_ROUTES: &str = include_str!("fleet.ini");

/// Milli-requests per second in one request per second.
const MILLI_PER_UNIT: f64 = 1_000.0;

/// Returns the common classes and routes with the teams of an experiment.
#[must_use]
pub fn experiment_document(experiment: &LoadExperiment) -> String {
    let mut text = CLASSES_AND_ROUTES.to_owned();
    for (name, team) in &experiment.teams {
        let rate = to_request_rate(team.rate_per_s);
        let burst = team.burst;
        // Writing to a string cannot fail.
        let _ = write!(text, "\n[team {name}]\nrate = {rate}\nburst = {burst}\n");
    }
    text
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the experiment's rates are checked to be finite and not negative"
)]
fn to_request_rate(rate_per_s: f64) -> RequestRate {
    RequestRate::from_milli((rate_per_s * MILLI_PER_UNIT).round() as u64)
}

//! `chicoryladder demo`: runs online and batch work on three entry hosts and
//! injects faults.
//!
//! The entry hosts and the stand-ins run in one process. While online streams,
//! charges and a batch job run, an engine crashes and a key is withdrawn. The
//! outcome is then checked against the guarantees of the system, and the output
//! has one line for each.

mod checks;
mod outcome;
mod table;
mod withdrawal;

pub use checks::GuaranteeCheck;
pub use outcome::DemoOutcome;

use crate::error::CommandError;
use crate::local_fleet::{EngineParameters, LocalFleet, experiment_document};
use crate::logging::start_logging;
use bpaf::Bpaf;
use chicoryladder_standin::load::{LoadExperiment, LoadRunner};
use chicoryladder_types::TeamName;
use log::LevelFilter;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use withdrawal::WithdrawalProbe;

/// The load experiment of the demo.
const EXPERIMENT: &str = include_str!("../../experiments/demo.ini");

/// Timeout of the whole demo.
const DEMO_TIMEOUT: Duration = Duration::from_secs(55);

/// Delay from the start of the load to the crash of the engine.
const CRASH_AFTER: Duration = Duration::from_millis(2_500);

/// Delay from the crash to the withdrawal of the key.
const WITHDRAW_AFTER: Duration = Duration::from_millis(500);

/// The team whose key is withdrawn.
const WITHDRAWN_TEAM: &str = "visitors";

/// The options of `demo`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(demo_options), ignore_rustdoc)]
pub struct DemoOptions {
    /// Log the activity of hosts and stand-ins
    verbose: bool,
}

impl DemoOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        if self.verbose {
            start_logging(LevelFilter::Debug)
                .map_err(|error| CommandError::failed(error.to_string()))?;
        }
        let outcome = run_demo().await?;
        let checks = checks::check_all(&outcome);
        print!("{}", table::render(&outcome, &checks));
        let broken = checks.iter().filter(|check| !check.held).count();
        if broken > 0 {
            let message = format!("{broken} of {} promises are broken", checks.len());
            return Err(CommandError::failed(message));
        }
        Ok(())
    }
}

/// Runs the demo and returns its outcome.
///
/// # Errors
///
/// Fails if the fleet does not start, a request to it fails, or the demo exceeds
/// its timeout.
pub async fn run_demo() -> Result<DemoOutcome, CommandError> {
    let timed_out = |_| CommandError::failed("the demo did not finish in time");
    timeout(DEMO_TIMEOUT, run_scenario())
        .await
        .map_err(timed_out)?
}

/// Checks every guarantee against the outcome.
#[must_use]
pub fn check_guarantees(outcome: &DemoOutcome) -> Vec<GuaranteeCheck> {
    checks::check_all(outcome)
}

async fn run_scenario() -> Result<DemoOutcome, CommandError> {
    let mut experiment = LoadExperiment::parse(EXPERIMENT, Path::new(""))
        .map_err(|error| CommandError::failed(error.to_string()))?;
    let mut fleet = LocalFleet::start(&experiment_document(&experiment)).await?;
    let parameters = EngineParameters::from(experiment.fleet);
    fleet
        .add_engines(experiment.fleet.engines_per_zone, parameters)
        .await?;
    fleet.add_service().await?;
    fleet.wait_for_servers().await?;
    let mut keys = Vec::new();
    for (name, team) in &mut experiment.teams {
        let granted = fleet.grant(name).await?;
        team.key = Some(granted.key.clone());
        keys.push(granted.key);
    }
    let visitors = TeamName::try_from(WITHDRAWN_TEAM)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    let withdrawn = fleet.grant(&visitors).await?;

    let probe = WithdrawalProbe::start(fleet.callers(), &withdrawn.key);
    let runner = LoadRunner::new(experiment, fleet.callers());
    let faults = async {
        sleep(CRASH_AFTER).await;
        if let Some(engine) = fleet.engines().first() {
            engine.control().crash().await;
        }
        sleep(WITHDRAW_AFTER).await;
        fleet.withdraw(&withdrawn).await?;
        probe.mark_withdrawn();
        Ok::<_, CommandError>(())
    };
    let (report, injected) = tokio::join!(runner.run(), faults);
    injected?;
    let withdrawal = probe.finish().await;
    let outcome = DemoOutcome::collect(&fleet, report, keys, withdrawal).await;
    fleet.stop().await;
    outcome
}

//! `chicoryladder load`: runs open-loop load experiments and compares results.

use crate::error::CommandError;
use crate::local_fleet::{EngineParameters, LocalFleet, experiment_document};
use crate::logging::start_logging;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use chicoryladder_standin::load::{LoadComparison, LoadExperiment, LoadReport, LoadRunner};
use indicatif::ProgressBar;
use log::LevelFilter;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The refresh interval of the progress line.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);

/// The subcommands of `load`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(load_options), ignore_rustdoc)]
pub enum LoadOptions {
    /// Run an experiment and print its report
    #[bpaf(command("run"))]
    Run(#[bpaf(external(run_arguments))] RunArguments),
    /// Compare two results by the ratios of the second to the first
    #[bpaf(command("compare"))]
    Compare(#[bpaf(external(compare_arguments))] CompareArguments),
}

/// The options of `load run`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(run_arguments), ignore_rustdoc)]
pub struct RunArguments {
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Callers' port of an entry host to send load to; may be repeated; if absent, the
    /// experiment runs on entry hosts and stand-ins in this process
    #[bpaf(argument("ADDRESS"))]
    target: Vec<SocketAddr>,
    /// Log each request and the activity of hosts and stand-ins
    verbose: bool,
    /// Save the result as JSON to a file
    #[bpaf(argument("FILE"))]
    save: Option<PathBuf>,
    /// Experiment file
    #[bpaf(positional("FILE"))]
    experiment: PathBuf,
}

/// The options of `load compare`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(compare_arguments), ignore_rustdoc)]
pub struct CompareArguments {
    /// Result file of the baseline
    #[bpaf(positional("BASELINE"))]
    baseline: PathBuf,
    /// Result file to compare with it
    #[bpaf(positional("CANDIDATE"))]
    candidate: PathBuf,
}

impl LoadOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        match self {
            Self::Run(arguments) => arguments.run().await,
            Self::Compare(arguments) => arguments.run(),
        }
    }
}

impl RunArguments {
    async fn run(self) -> Result<(), CommandError> {
        if self.verbose {
            start_logging(LevelFilter::Debug)
                .map_err(|error| CommandError::failed(error.to_string()))?;
        }
        let experiment = LoadExperiment::read(&self.experiment)
            .map_err(|error| CommandError::failed(error.to_string()))?;
        let progress = RunProgress::start(&experiment);
        let report = if self.target.is_empty() {
            run_on_stand_ins(experiment).await?
        } else {
            LoadRunner::new(experiment, self.target).run().await
        };
        drop(progress);
        if let Some(path) = &self.save {
            save_report(path, &report)?;
        }
        self.output.print(&report, ToString::to_string)
    }
}

/// A progress line on the terminal while an experiment runs, cleared on drop.
struct RunProgress(ProgressBar);

impl RunProgress {
    fn start(experiment: &LoadExperiment) -> Self {
        let bar = ProgressBar::new_spinner();
        let seconds = experiment.duration.as_secs();
        bar.set_message(format!("sending for {seconds} s: {}", experiment.purpose));
        bar.enable_steady_tick(PROGRESS_PERIOD);
        Self(bar)
    }
}

impl Drop for RunProgress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

impl CompareArguments {
    fn run(&self) -> Result<(), CommandError> {
        let baseline = read_report(&self.baseline)?;
        let candidate = read_report(&self.candidate)?;
        print!("{}", LoadComparison::new(&baseline, &candidate));
        Ok(())
    }
}

/// Runs an experiment on three entry hosts with stand-ins in this process.
async fn run_on_stand_ins(mut experiment: LoadExperiment) -> Result<LoadReport, CommandError> {
    let mut fleet = LocalFleet::start(&experiment_document(&experiment)).await?;
    let parameters = EngineParameters::from(experiment.fleet);
    let per_zone = experiment.fleet.engines_per_zone;
    fleet.add_engines(per_zone, parameters).await?;
    fleet.add_service().await?;
    fleet.wait_for_servers().await?;
    for (name, team) in &mut experiment.teams {
        if team.key.is_none() {
            team.key = Some(fleet.grant(name).await?.key);
        }
    }
    let report = LoadRunner::new(experiment, fleet.callers()).run().await;
    fleet.stop().await;
    Ok(report)
}

fn save_report(path: &Path, report: &LoadReport) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(report)
        .map_err(|error| CommandError::failed(error.to_string()))?;
    fs::write(path, text).map_err(|cause| CommandError::File {
        path: path.to_owned(),
        cause,
    })
}

fn read_report(path: &Path) -> Result<LoadReport, CommandError> {
    let text = fs::read_to_string(path).map_err(|cause| CommandError::File {
        path: path.to_owned(),
        cause,
    })?;
    let invalid = |error| CommandError::failed(format!("{}: {error}", path.display()));
    serde_json::from_str(&text).map_err(invalid)
}

//! Experiments: what to send, as whom and how often, read from INI.

mod read;
mod section;

use super::arrivals::ArrivalPlan;
use chicoryladder_types::{ClassName, ModelName, ServiceName, TeamName};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// One experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadExperiment {
    /// What the experiment is meant to show.
    pub purpose: String,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The time before the run during which arrivals are sent and not recorded.
    pub warmup: Duration,
    /// The time during which arrivals are sent.
    pub duration: Duration,
    /// The time after the last arrival within which answers still count.
    pub drain: Duration,
    /// Requests in flight beyond which arrivals are counted as not sent.
    pub in_flight_max: usize,
    /// The share of arrivals sent to the first target, in percent; the others
    /// share the rest evenly. `None` sends all targets the same.
    pub first_target_percent: Option<u8>,
    /// The experiment file whose result this one is compared with.
    pub baseline: Option<PathBuf>,
    /// The stand-ins to run against when no target is given.
    pub fleet: FleetPlan,
    /// The teams by name.
    pub teams: BTreeMap<TeamName, ExperimentTeam>,
    /// The streams, in the order of the file.
    pub streams: Vec<LoadStream>,
}

/// The entry hosts and stand-in engines of an experiment, in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// Stand-in engines in each of the three availability zones.
    pub engines_per_zone: u32,
    /// Slots of each engine.
    pub slots: u32,
    /// The time of one decoding step of an engine.
    pub decode_step: Duration,
    /// The time to process one prompt token.
    pub prefill_per_token: Duration,
}

/// What a team has agreed to, as the experiment assumes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentTeam {
    /// The key of the team; `None` sends none.
    pub key: Option<String>,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Requests that may come at once beyond the rate.
    pub burst: u32,
}

/// One stream of work of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStream {
    /// The name in reports.
    pub name: String,
    /// The team whose key is sent.
    pub team: TeamName,
    /// The class in the class header, if one is sent.
    pub class: Option<ClassName>,
    /// When the requests start.
    pub arrivals: ArrivalPlan,
    /// What one request is.
    pub work: StreamWork,
    /// The longest wait for a whole answer, counted from the intended start.
    pub timeout: Duration,
}

/// What one request of a stream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamWork {
    /// A chat completion.
    Chat {
        /// The model.
        model: ModelName,
        /// The length of the prompt, in tokens.
        prompt_tokens: u32,
        /// The leading tokens that all prompts of the stream share.
        shared_tokens: u32,
        /// The length of the answer, in tokens.
        output_tokens: u32,
        /// Whether the answer is streamed.
        streamed: bool,
    },
    /// A request to a plain service, never repeated by the tool.
    Service {
        /// The service.
        service: ServiceName,
        /// The path below the service's root.
        path: String,
    },
    /// A batch job of chat completions.
    Batch {
        /// The model.
        model: ModelName,
        /// Items in one job.
        items: u32,
        /// Further items that no engine can do.
        bad_items: u32,
        /// The length of each prompt, in tokens.
        prompt_tokens: u32,
        /// The length of each answer, in tokens.
        output_tokens: u32,
    },
}

/// One fault of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {problem}")]
pub struct ExperimentFault {
    /// The section.
    pub section: String,
    /// What is wrong, and with which key.
    pub problem: String,
}

/// Why an experiment could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The text is not INI.
    #[error("the text is not INI: {0}")]
    NotIni(#[from] ini::ParseError),
    /// The text has faults.
    #[error("{}", join_faults(.0))]
    Invalid(Vec<ExperimentFault>),
}

fn join_faults(faults: &[ExperimentFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

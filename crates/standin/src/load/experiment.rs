//! Experiments of the load generator, read from INI files.

mod read;
mod section;

use super::arrivals::ArrivalPlan;
use chicoryladder_types::{ClassName, ModelName, ServiceName, TeamName};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// One experiment: the teams and the streams of requests to send.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadExperiment {
    /// The purpose of the experiment, printed on the first line of its report.
    pub purpose: String,
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The warm-up time before the run, whose requests are sent but not recorded.
    pub warmup: Duration,
    /// The time during which requests are sent.
    pub duration: Duration,
    /// The time after `duration` within which responses still count.
    pub drain: Duration,
    /// The largest number of requests in flight; arrivals beyond it are counted as
    /// not sent.
    pub in_flight_max: usize,
    /// The share of requests sent to the first target, in percent; the rest is
    /// distributed evenly over the other targets. `None` distributes the requests
    /// evenly over all targets.
    pub first_target_percent: Option<u8>,
    /// The experiment file with whose report the report of this one is compared.
    pub baseline: Option<PathBuf>,
    /// The local fleet to run against when no target is given.
    pub fleet: FleetPlan,
    /// The teams by name.
    pub teams: BTreeMap<TeamName, ExperimentTeam>,
    /// The streams, in the order of the file.
    pub streams: Vec<LoadStream>,
}

/// The local fleet of an experiment: entry hosts and stand-in engines in one
/// process.
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

/// The key and rate limit of a team, as the experiment assumes them.
#[derive(Clone, Debug, PartialEq)]
pub struct ExperimentTeam {
    /// The key of the team; `None` sends none.
    pub key: Option<String>,
    /// Requests per second.
    pub rate_per_s: f64,
    /// The burst size of the team's token bucket, in requests.
    pub burst: u32,
}

/// One stream of requests from one team.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadStream {
    /// The name in reports.
    pub name: String,
    /// The team whose key is sent.
    pub team: TeamName,
    /// The value of the class header, if it is sent.
    pub class: Option<ClassName>,
    /// The arrival process of the requests.
    pub arrivals: ArrivalPlan,
    /// The kind of request.
    pub work: StreamWork,
    /// The longest time from the intended start to the end of the response.
    pub timeout: Duration,
}

/// The kind of request that a stream sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamWork {
    /// A chat completion.
    Chat {
        /// The model.
        model: ModelName,
        /// The length of the prompt, in tokens.
        prompt_tokens: u32,
        /// The length of the prefix that all prompts of the stream share, in tokens.
        shared_tokens: u32,
        /// The length of the response, in tokens.
        output_tokens: u32,
        /// Whether the response is streamed.
        streamed: bool,
    },
    /// A request to a plain service, which the load generator never retries.
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
        /// The number of valid items in one job.
        items: u32,
        /// The number of further, invalid items.
        bad_items: u32,
        /// The length of each prompt, in tokens.
        prompt_tokens: u32,
        /// The length of each response, in tokens.
        output_tokens: u32,
    },
}

/// One fault of an experiment file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("[{section}] {problem}")]
pub struct ExperimentFault {
    /// The section.
    pub section: String,
    /// The problem and the key that has it.
    pub problem: String,
}

/// The reason why an experiment could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
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

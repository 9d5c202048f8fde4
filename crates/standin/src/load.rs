//! Open-loop load on the callers' ports, and the report on what came of it.
//!
//! An experiment fixes the seed, the teams and the streams of work. Each stream
//! draws its arrivals ahead of the answers, and every latency counts from the
//! intended start, so a slow answer never hides the requests that would have
//! come meanwhile (coordinated omission).

mod arrivals;
mod batch;
mod caller;
mod chat;
mod compare;
mod experiment;
mod outcome;
mod prompt;
mod recorder;
mod report;
mod runner;
mod sse;
mod trace;

pub use arrivals::{ArrivalPlan, ArrivalSchedule, IntendedArrival};
pub use compare::{LoadComparison, MetricRatio};
pub use experiment::{
    ExperimentError, ExperimentFault, ExperimentTeam, FleetPlan, LoadExperiment, LoadStream,
    StreamWork,
};
pub use report::{ItemReport, LatencySummary, LoadReport, StreamReport, TeamReport};
pub use runner::LoadRunner;
pub use trace::{TraceArrival, TraceError, parse_trace};

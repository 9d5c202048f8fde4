//! An open-loop load generator for the callers' ports, and its reports.
//!
//! An experiment defines the seed, the teams and the streams of requests. The
//! arrivals of a stream do not depend on the responses, and every latency is
//! measured from the intended start, so a slow response does not hide the delay of
//! the requests that arrive in the meantime (no coordinated omission).

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

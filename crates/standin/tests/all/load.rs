//! Tests of the load generator: experiments, schedules, and runs against stand-in
//! engines.

use crate::support::fast_engine;
use chicoryladder_standin::load::{
    ArrivalPlan, ArrivalSchedule, ExperimentError, LoadComparison, LoadExperiment, LoadReport,
    LoadRunner, TraceError, parse_trace,
};
use chicoryladder_standin::{EngineServer, FaultPlan};
use std::path::Path;
use std::time::Duration;

const EXPERIMENT: &str = "
[experiment]
purpose = engine alone
seed = 7
duration_ms = 400
drain_ms = 5000
[team a]
key = secret-a
[stream chat]
team = a
work = chat
model = m
arrivals = poisson
rate_per_s = 200
prompt_tokens = 12
output_tokens = 5
";

fn experiment(text: &str) -> LoadExperiment {
    LoadExperiment::parse(text, Path::new("")).unwrap()
}

#[test]
fn poisson_arrivals_have_their_mean_rate_and_repeat_for_a_seed() {
    let plan = ArrivalPlan::Poisson { rate_per_s: 500.0 };
    let end = Duration::from_secs(20);
    let first = ArrivalSchedule::draw(&plan, 3, end);
    assert_eq!(first, ArrivalSchedule::draw(&plan, 3, end));
    // Five standard deviations of a Poisson count with mean 10,000.
    let count = first.arrivals().len();
    assert!((9_500..=10_500).contains(&count), "{count}");
}

#[test]
fn bursts_arrive_in_groups() {
    let plan = ArrivalPlan::Bursts {
        rate_per_s: 0.0,
        burst_size: 4,
        period: Duration::from_millis(100),
    };
    let schedule = ArrivalSchedule::draw(&plan, 1, Duration::from_millis(250));
    let offsets: Vec<u128> = schedule
        .arrivals()
        .iter()
        .map(|arrival| arrival.offset.as_millis())
        .collect();
    assert_eq!(offsets, [100, 100, 100, 100, 200, 200, 200, 200]);
}

#[test]
fn trace_error_has_its_line_number() {
    let good = parse_trace("# offset_ms,prompt,output\n\n5,10,3\n").unwrap();
    assert_eq!(good[0].offset, Duration::from_millis(5));
    let bad = parse_trace("5,10,3\n6,x,3\n");
    let found = "6,x,3".to_owned();
    assert_eq!(bad, Err(TraceError { line: 2, found }));
}

#[test]
fn all_faults_of_an_experiment_are_reported_together() {
    let text = "
[experiment]
sede = 1
[stream chat]
team = ghost
work = chat
model = bad model
arrivals = often
";
    let Err(ExperimentError::Invalid(faults)) = LoadExperiment::parse(text, Path::new("")) else {
        panic!("the text has faults");
    };
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn run_counts_every_arrival_and_checks_responses() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let runner = LoadRunner::new(experiment(EXPERIMENT), vec![engine.address()]);
    let report = runner.run().await;
    let chat = &report.streams["chat"];
    assert!(chat.intended > 20);
    assert_eq!(chat.served, chat.intended);
    assert_eq!(chat.tokens, chat.served * 5);
    assert_eq!(chat.first_token.count, chat.served);
    assert_eq!(chat.between_tokens.count, chat.served * 4);
    let json = serde_json::to_string(&report).unwrap();
    let read: LoadReport = serde_json::from_str(&json).unwrap();
    assert_eq!(read.streams["chat"].served, chat.served);
}

#[tokio::test]
async fn faulty_responses_are_not_counted_as_served() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let runner = LoadRunner::new(experiment(EXPERIMENT), vec![engine.address()]);
    engine.control().set_faults(FaultPlan {
        truncates_after: Some(2),
        ..FaultPlan::default()
    });
    let truncated = runner.run().await;
    let chat = &truncated.streams["chat"];
    assert_eq!(chat.failed["truncated"], chat.intended);
    engine.control().set_faults(FaultPlan {
        mismatches_response: true,
        ..FaultPlan::default()
    });
    let mismatched = runner.run().await;
    let chat = &mismatched.streams["chat"];
    assert_eq!(chat.failed["wrong_answer"], chat.intended);
}

#[tokio::test]
async fn latency_is_measured_from_the_intended_start() {
    let mut options = fast_engine("e");
    options.slots = 1;
    options.timing.decode_step = Duration::from_millis(10);
    let engine = EngineServer::start(options).await.unwrap();
    let text = EXPERIMENT
        .replace("poisson", "bursts")
        .replace("rate_per_s = 200", "burst_size = 10\nburst_period_ms = 300");
    let report = LoadRunner::new(experiment(&text), vec![engine.address()])
        .run()
        .await;
    let chat = &report.streams["chat"];
    assert_eq!(chat.served, 10);
    // Ten responses of five steps of 10 ms, one after the other.
    assert!(chat.whole.max_ms >= 500.0, "{}", chat.whole.max_ms);
}

#[tokio::test]
async fn comparison_with_itself_gives_ratio_one() {
    let engine = EngineServer::start(fast_engine("e")).await.unwrap();
    let report = LoadRunner::new(experiment(EXPERIMENT), vec![engine.address()])
        .run()
        .await;
    let comparison = LoadComparison::new(&report, &report);
    let served = comparison
        .ratios
        .iter()
        .find(|row| row.metric == "served")
        .unwrap();
    assert_eq!(served.ratio(), Some(1.0));
}

#[test]
fn every_experiment_file_is_valid_and_its_baseline_exists() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut checked = 0;
    for entry in std::fs::read_dir(&folder).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "ini") {
            continue;
        }
        let experiment = LoadExperiment::read(&path).unwrap();
        let baseline = experiment.baseline.map(|file| folder.join(file));
        assert!(baseline.is_none_or(|file| file.exists()), "{path:?}");
        checked += 1;
    }
    assert!(checked > 0);
}

//! Streams that end early reach the caller as told errors.

use chicoryladder::local_fleet::{EngineShape, LocalFleet, experiment_document};
use chicoryladder_standin::FaultPlan;
use chicoryladder_standin::load::{LoadExperiment, LoadRunner};
use std::path::Path;

const EXPERIMENT: &str = "
[experiment]
seed = 5
duration_ms = 1000
[fleet]
decode_step_ms = 1
[team park]
[stream chat]
team = park
class = chat
work = chat
model = assistant
arrivals = poisson
rate_per_s = 50
";

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_truncated_stream_is_told_as_an_error() {
    let mut experiment = LoadExperiment::parse(EXPERIMENT, Path::new("")).unwrap();
    let document = experiment_document(&experiment);
    let mut fleet = LocalFleet::start(&document).await.unwrap();
    let shape = EngineShape::from(experiment.fleet);
    fleet.add_engines(1, shape).await.unwrap();
    fleet.wait_for_servers().await.unwrap();
    for engine in fleet.engines() {
        engine.control().set_faults(FaultPlan {
            truncates_after: Some(3),
            ..FaultPlan::default()
        });
    }
    for (name, team) in &mut experiment.teams {
        team.key = Some(fleet.grant(name).await.unwrap().key);
    }
    let report = LoadRunner::new(experiment, fleet.callers()).run().await;
    let chat = &report.streams["chat"];
    assert!(chat.intended > 0);
    assert_eq!(
        chat.refused.get("answer_truncated"),
        Some(&chat.intended),
        "{report}"
    );
    fleet.stop().await;
}

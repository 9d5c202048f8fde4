//! Faults of backend servers and their effects on callers: refusals, mismatched,
//! truncated or stalled responses, crashes and departures.

use crate::fixture::{HttpRequest, send};
use chicoryladder::local_fleet::{EngineParameters, LocalFleet, MODEL, experiment_document};
use chicoryladder_standin::load::{LoadExperiment, LoadReport, LoadRunner};
use chicoryladder_standin::{EngineHandle, FaultPlan};
use std::path::Path;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// The time after which a server that announced its departure gets no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

const CHAT: &str = "
[experiment]
seed = 5
duration_ms = 1000
drain_ms = 20000
[fleet]
decode_step_ms = 1
[team park]
[stream chat]
team = park
class = chat
work = chat
model = assistant
streamed = no
timeout_ms = 20000
arrivals = poisson
rate_per_s = 50
";

/// Held by each fault test and by the demo, since concurrent load slows both.
pub(crate) static LOAD_LOCK: Mutex<()> = Mutex::const_new(());

/// A fleet with one engine in each zone, and the chat stream to run on it.
struct FaultFixture {
    _guard: MutexGuard<'static, ()>,
    fleet: LocalFleet,
    experiment: LoadExperiment,
}

impl FaultFixture {
    async fn start() -> Self {
        Self::start_with(CHAT).await
    }

    async fn start_with(text: &str) -> Self {
        let guard = LOAD_LOCK.lock().await;
        let mut experiment = LoadExperiment::parse(text, Path::new("")).unwrap();
        let document = experiment_document(&experiment);
        let mut fleet = LocalFleet::start(&document).await.unwrap();
        let parameters = EngineParameters::from(experiment.fleet);
        fleet.add_engines(1, parameters).await.unwrap();
        fleet.wait_for_servers().await.unwrap();
        for (name, team) in &mut experiment.teams {
            team.key = Some(fleet.grant(name).await.unwrap().key);
        }
        Self {
            _guard: guard,
            fleet,
            experiment,
        }
    }

    async fn run(&self) -> LoadReport {
        let runner = LoadRunner::new(self.experiment.clone(), self.fleet.callers());
        runner.run().await
    }

    fn key(&self) -> String {
        let team = self.experiment.teams.values().next().unwrap();
        team.key.clone().unwrap()
    }

    fn engine(&self) -> &EngineHandle {
        &self.fleet.engines()[0]
    }

    fn set_first_faults(&self, plan: FaultPlan) {
        self.engine().control().set_faults(plan);
    }
}

fn assert_all_served(report: &LoadReport) {
    let chat = &report.streams["chat"];
    assert!(chat.intended > 0);
    assert_eq!(chat.served, chat.intended, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_refused_as_not_run_are_served_elsewhere() {
    let fixture = FaultFixture::start().await;
    fixture.set_first_faults(FaultPlan {
        refuses: true,
        ..FaultPlan::default()
    });
    assert_all_served(&fixture.run().await);
    assert!(fixture.engine().counters().refused > 0);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_mismatched_response_reaches_no_caller() {
    let fixture = FaultFixture::start().await;
    fixture.set_first_faults(FaultPlan {
        mismatches_response: true,
        ..FaultPlan::default()
    });
    assert_all_served(&fixture.run().await);
    let counts = fixture.fleet.reason_counts().await.unwrap();
    assert!(counts.retries["answer_crossed"] > 0);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_truncated_unstreamed_response_is_never_a_success() {
    let fixture = FaultFixture::start().await;
    fixture.set_first_faults(FaultPlan {
        truncates_after: Some(2),
        ..FaultPlan::default()
    });
    assert_all_served(&fixture.run().await);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_truncated_stream_is_reported_as_an_error() {
    let fixture = FaultFixture::start_with(&CHAT.replace("streamed = no", "streamed = yes")).await;
    for engine in fixture.fleet.engines() {
        engine.control().set_faults(FaultPlan {
            truncates_after: Some(3),
            ..FaultPlan::default()
        });
    }
    let report = fixture.run().await;
    let chat = &report.streams["chat"];
    assert!(chat.intended > 0);
    let reported = chat.refused.get("answer_truncated");
    assert_eq!(reported, Some(&chat.intended), "{report}");
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_on_a_crashed_server_are_served_elsewhere() {
    let fixture = FaultFixture::start().await;
    let crash = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fixture.engine().control().crash().await;
    };
    let (report, ()) = tokio::join!(fixture.run(), crash);
    assert_all_served(&report);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stalled_connections_lose_no_request() {
    let fixture = FaultFixture::start().await;
    assert_all_served(&fixture.run().await);
    for engine in fixture.fleet.engines() {
        engine.control().stall_open_connections().await;
    }
    assert_all_served(&fixture.run().await);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_server_gets_no_new_work() {
    let fixture = FaultFixture::start().await;
    fixture.engine().control().announce_leaving();
    tokio::time::sleep(LEAVE_LIMIT).await;
    let received = fixture.engine().counters().received;
    assert_all_served(&fixture.run().await);
    assert_eq!(fixture.engine().counters().received, received);
    fixture.fleet.stop().await;
}

/// Guards against a server that gets requests although its responses say that it leaves, as
/// long as its announcements do not.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_server_that_says_in_its_responses_that_it_leaves_gets_no_new_work() {
    let fixture = FaultFixture::start().await;
    fixture.engine().control().set_faults(FaultPlan {
        says_leaving: true,
        ..FaultPlan::default()
    });
    let before = fixture.engine().counters().received;
    assert_all_served(&fixture.run().await);
    tokio::time::sleep(LEAVE_LIMIT).await;
    let received = fixture.engine().counters().received;
    assert!(received > before, "no response said that the server leaves");
    assert_all_served(&fixture.run().await);
    assert_eq!(fixture.engine().counters().received, received);
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_crashes_servers_crashes_at_most_two() {
    let fixture = FaultFixture::start().await;
    for engine in fixture.fleet.engines() {
        engine.control().set_faults(FaultPlan {
            crash_on: Some("poison".to_owned()),
            ..FaultPlan::default()
        });
    }
    let key = fixture.key();
    let body = serde_json::json!({
        "model": MODEL, "max_tokens": 1,
        "messages": [{ "role": "user", "content": "poison" }],
    });
    let mut crashes = 0;
    // The caller resends to each host in turn; crashed servers restart in between.
    for callers in fixture.fleet.callers() {
        let request = HttpRequest::post(callers, "/v1/chat/completions", body.to_string());
        let answer = send(request.with_key(&key)).await.unwrap();
        assert!(!answer.status.is_success());
        crashes = 0;
        for engine in fixture.fleet.engines() {
            crashes += engine.counters().crashes;
            engine.control().recover().await;
        }
        fixture.fleet.wait_for_servers().await.unwrap();
    }
    assert!(crashes <= 2, "{crashes} crashes");
    fixture.fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_charge_that_may_have_run_is_not_sent_again() {
    let mut fixture = FaultFixture::start().await;
    for _ in 0..2 {
        fixture.fleet.add_service().await.unwrap();
    }
    fixture.fleet.wait_for_servers().await.unwrap();
    for service in fixture.fleet.services() {
        service.control().set_faults(FaultPlan {
            crash_on: Some("rent".to_owned()),
            ..FaultPlan::default()
        });
    }
    let key = fixture.key();
    let callers = fixture.fleet.callers()[0];
    let request = HttpRequest::post(callers, "/services/rent-ledger/charges", "rent");
    let answer = send(request.with_key(&key)).await.unwrap();
    assert!(!answer.status.is_success());
    assert_eq!(answer.verdict(), Some("may-have-run"));
    let services = fixture.fleet.services().iter();
    let runs: u64 = services
        .flat_map(|service| service.runs().into_values())
        .sum();
    assert_eq!(runs, 1);
    fixture.fleet.stop().await;
}

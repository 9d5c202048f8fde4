//! Jobs whose callers need no key when the job is submitted, or none any more when it is read.

use crate::client::{Answer, Call};
use crate::world::{ProcessFleet, Role};
use hyper::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// A plan applies at all entry hosts within this time (`plan_applies_ms`).
const PLAN_APPLIES: Duration = Duration::from_secs(2);

/// The next plan with the route for jobs public, or not.
fn plan_with_public_jobs(fleet: &mut ProcessFleet, public: bool) -> Value {
    let mut plan = fleet.next_plan(&["k1"]);
    let routes = plan["routes"].as_array_mut().expect("a list");
    for route in routes.iter_mut().filter(|route| route["name"] == "digest") {
        route["public"] = json!(public);
    }
    plan
}

async fn apply_everywhere(fleet: &ProcessFleet, plan: &Value) {
    fleet.apply_plan(plan).await;
    tokio::time::sleep(PLAN_APPLIES).await;
}

struct JobClient<'a> {
    fleet: &'a ProcessFleet,
    entry: String,
    key: Option<&'static str>,
}

impl JobClient<'_> {
    fn new<'a>(fleet: &'a ProcessFleet, key: Option<&'static str>) -> JobClient<'a> {
        let entry = fleet.host_names(Role::Entry)[0].clone();
        JobClient { fleet, entry, key }
    }

    fn call(&self, method: Method, path: &str) -> Call {
        let call = Call::new(self.fleet.callers_address(&self.entry), method, path);
        match self.key {
            Some(key) => call.key(key),
            None => call,
        }
    }

    /// Submits a job of one item that produces the given number of events.
    async fn submit(&self, job: &str, events: u32) {
        let items = [format!("{job}-item")];
        let body = ProcessFleet::items_body(&items, &format!("/digest/{events}"));
        let call = self.call(Method::POST, "/digest/submit");
        let answer = call.field("x-request-id", job).body(body).send().await;
        assert_eq!(answer.expect("an answer").status.as_u16(), 202, "{job}");
    }

    async fn read(&self, job: &str) -> Answer {
        let call = self.call(Method::GET, &format!("/lots/{job}?after=0"));
        call.send().await.expect("an answer")
    }

    /// Reads a job until it is complete; fails at the first answer that is not a page.
    async fn read_to_the_end(&self, job: &str) {
        let started = Instant::now();
        loop {
            let answer = self.read(job).await;
            assert_eq!(answer.status.as_u16(), 200, "{job}: {}", answer.text());
            if answer.json()["next"] == json!(1) {
                return;
            }
            assert!(started.elapsed() < Duration::from_secs(20), "{job}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn status_of(&self, method: Method, path: &str) -> u16 {
        let answer = self.call(method, path).send().await;
        answer.expect("an answer").status.as_u16()
    }
}

/// A job that was accepted on a public route belonged to nobody, so that every read with the
/// key that submitted it was answered "no such job".
#[tokio::test(flavor = "multi_thread")]
async fn job_of_a_public_route_is_read_with_the_key_that_submitted_it() {
    let mut fleet = ProcessFleet::start().await;
    let public = plan_with_public_jobs(&mut fleet, true);
    apply_everywhere(&fleet, &public).await;
    let owner = JobClient::new(&fleet, Some("k1"));
    owner.submit("keyed", 3).await;
    owner.read_to_the_end("keyed").await;
    let runs = fleet.runs.all();
    let run = runs.iter().find(|run| run.id == "keyed-item");
    let team = run.and_then(|run| run.team.clone());
    assert_eq!(team.as_deref(), Some("curepipe"));
    // The job belongs to the team of the key, not to every caller.
    let stranger = JobClient::new(&fleet, None);
    assert_eq!(stranger.read("keyed").await.status.as_u16(), 401);
    owner.submit("long", 2_000).await;
    let body = "/items/long?id=long-item";
    assert_eq!(owner.status_of(Method::GET, body).await, 200);
    assert_eq!(owner.status_of(Method::DELETE, "/lots/long").await, 200);
}

/// A job that was submitted without a key, or with one that no team holds, is read in the same
/// way, and with the key of a team once the route demands one.
#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_without_a_known_key_is_read_with_and_without_one() {
    let mut fleet = ProcessFleet::start().await;
    let public = plan_with_public_jobs(&mut fleet, true);
    apply_everywhere(&fleet, &public).await;
    JobClient::new(&fleet, None).submit("open", 3).await;
    JobClient::new(&fleet, Some("unknown"))
        .submit("odd", 3)
        .await;
    let private = plan_with_public_jobs(&mut fleet, false);
    apply_everywhere(&fleet, &private).await;
    for key in [None, Some("unknown"), Some("k1")] {
        let client = JobClient::new(&fleet, key);
        client.read_to_the_end("open").await;
        client.read_to_the_end("odd").await;
    }
    let team = JobClient::new(&fleet, Some("k1"));
    assert_eq!(team.status_of(Method::DELETE, "/lots/open").await, 200);
    let stranger = JobClient::new(&fleet, None);
    assert_eq!(stranger.status_of(Method::DELETE, "/lots/odd").await, 200);
    assert_eq!(stranger.read("nowhere").await.status.as_u16(), 401);
    assert_eq!(team.read("nowhere").await.status.as_u16(), 404);
}

/// A plan without teams demands no keys. Jobs that were accepted under the plan before were
/// answered "no such job" from then on, and those of the time without teams after it.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_read_across_plans_with_and_without_teams() {
    let mut fleet = ProcessFleet::start().await;
    let owner = JobClient::new(&fleet, Some("k1"));
    owner.submit("with-teams", 3).await;
    owner.read_to_the_end("with-teams").await;
    let mut keyless = fleet.next_plan(&["k1"]);
    keyless["tenants"] = json!([]);
    apply_everywhere(&fleet, &keyless).await;
    let caller = JobClient::new(&fleet, None);
    caller.read_to_the_end("with-teams").await;
    caller.submit("without-teams", 3).await;
    caller.read_to_the_end("without-teams").await;
    let keyed = fleet.next_plan(&["k1"]);
    apply_everywhere(&fleet, &keyed).await;
    let owner = JobClient::new(&fleet, Some("k1"));
    owner.read_to_the_end("with-teams").await;
    owner.read_to_the_end("without-teams").await;
}

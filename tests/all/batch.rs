//! Batch jobs: submission, cancellation, results, and failures of hosts and servers.

pub(crate) mod caller;
mod faults;
mod preemption;

use crate::fixture::{FleetFixture, eventually, job_lines};
use caller::{BatchCaller, chat_items};

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_to_another_host_finds_the_same_job() {
    let fleet = FleetFixture::with_document(3).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let items = job_lines(3);
    let mut first = None;
    for host in 0..3 {
        let caller = BatchCaller::new(&fleet, host, &key);
        caller.wait_until_known().await;
        let job = caller.submit("weekly", &items).await;
        assert_eq!(*first.get_or_insert(job.clone()), job);
    }
    let caller = BatchCaller::new(&fleet, 2, &key);
    let other = caller.try_submit("weekly", &job_lines(4)).await;
    assert_eq!(other.status, 409);
    assert_eq!(other.reason(), Some("idempotency_key_reused"));
    assert_eq!(other.verdict(), Some("not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_item_starts_after_a_cancel_is_acknowledged() {
    let fleet = FleetFixture::with_document(3).await;
    let engine = fleet.start_engine("engine-1", "zone-b").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let job = caller.submit("lot", &chat_items(100, 100)).await;
    eventually("items run", || async { engine.counters().started > 3 }).await;
    let cancelled = caller.cancel(&job).await;
    assert_eq!(cancelled["status"], "cancelled");
    let received = engine.counters().received;
    let counts = &cancelled["request_counts"];
    assert!(counts["cancelled"].as_u64() > Some(50), "{cancelled}");
    // A second job uses the idle slots; the engine receives no more items of the first.
    let second = caller.submit("second", &chat_items(10, 1)).await;
    caller.wait_completed(&second).await;
    assert_eq!(engine.counters().received, received + 10);
    assert_eq!(caller.results(&job).await.len(), 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn partial_results_are_readable_on_every_host_and_stay_the_same() {
    let fleet = FleetFixture::with_document(3).await;
    let _engine = fleet.start_engine("engine-1", "zone-a").await;
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 0, &key);
    let job = caller.submit("lot", &chat_items(60, 20)).await;
    let has_results = || async { !caller.results(&job).await.is_empty() };
    eventually("first results", has_results).await;
    let partial = caller.results(&job).await;
    caller.wait_completed(&job).await;
    for host in 0..3 {
        let reader = BatchCaller::new(&fleet, host, &key);
        reader.wait_completed(&job).await;
        let complete = reader.results(&job).await;
        assert_eq!(complete[..partial.len()], partial);
        assert_eq!(complete.len(), 60);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_job_is_accepted_in_parts_and_read_as_a_stream() {
    let fleet = FleetFixture::with_document(3).await;
    let _engines = [
        fleet
            .start_engine_with_slots("engine-1", "zone-a", 64)
            .await,
        fleet
            .start_engine_with_slots("engine-2", "zone-b", 64)
            .await,
    ];
    let key = fleet.grant_key(0, "curepipe").await;
    let caller = BatchCaller::new(&fleet, 2, &key);
    caller.wait_until_known().await;
    let lines = chat_items(1_500, 1);
    let job = caller.submit("large", &lines).await;
    assert_eq!(caller.submit("large", &lines).await, job);
    caller.wait_completed(&job).await;
    let outcomes = caller.outcomes(&job).await;
    assert_eq!(outcomes.len(), 1_500);
    assert!(outcomes.values().all(String::is_empty));
    let status = caller.status(&job).await.unwrap();
    assert_eq!(status["expected_late"], false);
    assert!(status["deadline_at"].is_u64());
}

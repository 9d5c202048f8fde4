//! Runs the demo on three entry hosts in this process and requires all its checks.

use crate::faults::LOAD_LOCK;
use chicoryladder::commands::demo::{check_guarantees, run_demo};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_check_of_the_demo_holds() {
    let _guard = LOAD_LOCK.lock().await;
    let outcome = run_demo().await.unwrap();
    let broken: Vec<_> = check_guarantees(&outcome)
        .into_iter()
        .filter(|check| !check.held)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}\n{}", outcome.report);
}

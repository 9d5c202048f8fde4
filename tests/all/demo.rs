//! Runs the demo on three entry hosts in this process and requires all its checks.

use crate::faults::TURN;
use chicoryladder::commands::demo::{check_promises, gather_evidence};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_check_of_the_demo_holds() {
    let _turn = TURN.lock().await;
    let evidence = gather_evidence().await.unwrap();
    let broken: Vec<_> = check_promises(&evidence)
        .into_iter()
        .filter(|check| !check.held)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}\n{}", evidence.report);
}

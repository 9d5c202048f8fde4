//! The demo's promises, on three entry hosts in this process.

use crate::faults::TURN;
use chicoryladder::commands::demo::{check_promises, gather_evidence};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_demo_keeps_its_promises() {
    let _turn = TURN.lock().await;
    let evidence = gather_evidence().await.unwrap();
    let broken: Vec<_> = check_promises(&evidence)
        .into_iter()
        .filter(|check| !check.held)
        .collect();
    assert!(broken.is_empty(), "{broken:#?}\n{}", evidence.report);
}

//! Responses without end, stalled streams that send a byte now and then, and slow but sound
//! ones.

use crate::broken_streams::{send, start_fleet};
use crate::unframed::ENDLESS_HEAD_PATH;
use std::time::Duration;

/// The pause after a failure, in which a server may be suspended.
const SUSPENSION: Duration = Duration::from_millis(200);

/// Guards against a head without end that counts as a crash of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_the_servers_fault() {
    let (fleet, entry) = start_fleet().await;
    let mut has_run = 0;
    for number in 0..100 {
        let path = format!("/raw-ping/1{ENDLESS_HEAD_PATH}");
        let id = format!("head-{number}");
        let answer = send(&fleet, &entry, &path, &id).await;
        let runs = fleet.runs.runs_of(&id).len();
        // Without a run, the servers are suspended after their failures.
        let expected = if runs > 0 { 502 } else { 503 };
        assert_eq!(answer.status.as_u16(), expected, "{answer:?}");
        has_run += runs;
        if has_run > 3 {
            break;
        }
        tokio::time::sleep(SUSPENSION).await;
    }
    assert!(has_run > 3);
    let log = fleet.read_log(&entry);
    assert!(!log.contains("\"quarantined\""));
}

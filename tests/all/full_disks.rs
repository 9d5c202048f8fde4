//! Hosts whose disks take no new files for a while, one after the other.

use crate::batch::caller::BatchCaller;
use crate::fixture::{DOCUMENT, FleetFixture};
use std::fmt::Write as _;
use std::time::Duration;

/// The size of the text of an item.
const ITEM_BYTES: usize = 60_000;

const ITEMS: usize = 60;

/// The jobs that fill more than a segment of the log, after which a new file is needed.
const JOBS: usize = 3;

/// The time within which a host serves again once its disk is sound.
const RECOVERY: Duration = Duration::from_secs(4);

fn large_job() -> String {
    let text = "x".repeat(ITEM_BYTES);
    let mut lines = String::new();
    for item in 0..ITEMS {
        let line = serde_json::json!({
            "custom_id": format!("item-{item}"),
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {"model": "walks-7b", "messages": [{"role": "user", "content": text}]},
        });
        writeln!(lines, "{line}").unwrap();
    }
    lines
}

/// A host whose log could not be written once went on as an observer for good, so that the group
/// lost its quorum after two of them, although the disks were sound again.
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_accepted_after_disks_failed_in_turn() {
    let fleet = FleetFixture::with_document(3).await;
    let key = fleet.grant_key(0, "curepipe").await;
    let lines = large_job();
    for host in 0..3 {
        let other = (host + 1) % 3;
        let caller = BatchCaller::new(&fleet, other, &key);
        caller.wait_until_known().await;
        let folder = fleet.log_folder(host);
        let away = folder.with_extension("away");
        std::fs::rename(&folder, &away).unwrap();
        for job in 0..JOBS {
            caller
                .try_submit(&format!("job-{host}-{job}"), &lines)
                .await;
        }
        std::fs::rename(&away, &folder).unwrap();
        tokio::time::sleep(RECOVERY).await;
    }
    let revision = fleet.revision(0).await.unwrap();
    let changed = fleet.change_document(0, DOCUMENT, revision, "after-the-disks");
    assert!(changed.await > revision);
}

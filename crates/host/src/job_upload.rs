//! The way of a new job into the log, in entries of a bounded size.

use crate::replica::{ProposeError, ReplicaHandle};
use chicoryladder_jobs::{ItemDraft, JobCommand, JobHeader, JobOutcome};
use std::ops::Range;

/// The item bytes of one entry; a single item may be longer.
const ENTRY_MAX_BYTES: usize = 512 * 1024;

/// Has a job ordered and applied: in one entry if it is short, else as an upload
/// that becomes a job with its last entry.
///
/// # Errors
///
/// Fails if an entry is not ordered; an upload that is cut short is dropped later.
pub(crate) async fn submit_job(
    replica: &ReplicaHandle,
    header: JobHeader,
    items: Vec<ItemDraft>,
) -> Result<JobOutcome, ProposeError> {
    let chunks = chunk_ranges(&items);
    if chunks.len() <= 1 {
        let command = JobCommand::Submit { header, items };
        return replica.propose_jobs(command).await;
    }
    let begin = JobCommand::BeginUpload {
        job: header.job,
        team: header.team.clone(),
        now: replica.wall(),
    };
    let mut outcome = replica.propose_jobs(begin).await?;
    for range in chunks {
        if !matches!(outcome, JobOutcome::UploadOpen { .. }) {
            return Ok(outcome);
        }
        let append = JobCommand::AppendItems {
            job: header.job,
            first_item: u32::try_from(range.start).unwrap_or(u32::MAX),
            items: items.get(range).unwrap_or_default().to_vec(),
            now: replica.wall(),
        };
        outcome = replica.propose_jobs(append).await?;
    }
    let item_count = u32::try_from(items.len()).unwrap_or(u32::MAX);
    let commit = JobCommand::CommitUpload { header, item_count };
    replica.propose_jobs(commit).await
}

/// Cuts the items into runs of a bounded size, of one item at least.
fn chunk_ranges(items: &[ItemDraft]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (position, item) in items.iter().enumerate() {
        let size = item_bytes(item);
        if bytes + size > ENTRY_MAX_BYTES && position > start {
            ranges.push(start..position);
            start = position;
            bytes = 0;
        }
        bytes += size;
    }
    ranges.push(start..items.len());
    ranges
}

fn item_bytes(item: &ItemDraft) -> usize {
    let request = &item.request;
    let text = request.custom_id.len() + request.method.len() + request.url.len();
    text + request.body.as_slice().len()
}

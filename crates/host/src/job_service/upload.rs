//! Upload of a submitted job to the replicated log.
//!
//! A small job is one log entry. A large one is split into entries of bounded size
//! and becomes visible with the last one. An entry whose outcome was lost can be
//! proposed again, since the job state detects duplicates by the job id and, for items,
//! by the index of the first one.

use crate::replica::{ProposeError, ReplicaHandle};
use chicoryladder_jobs::{ItemDraft, JobCommand, JobHeader, JobOutcome};
use chicoryladder_types::JobId;

/// The maximum number of items in one entry.
const ENTRY_ITEMS_MAX: usize = 512;

/// The total size of items from which an entry gets no further item, in bytes. The last
/// item may exceed it.
const ENTRY_BYTES_MAX: usize = 128 * 1024;

/// The number of times that an entry is proposed before the submission fails.
const PROPOSALS_MAX: usize = 3;

/// Why a submission was not accepted.
pub(super) enum UploadError {
    /// No outcome was reported for an entry.
    NoOutcome(ProposeError),
    /// The job state refused an entry.
    Refused(JobOutcome),
}

/// Submits one job.
pub(super) struct JobUpload<'a> {
    pub(super) replica: &'a ReplicaHandle,
    pub(super) header: JobHeader,
}

impl JobUpload<'_> {
    /// Submits the job; returns its id, or the id of an earlier submission.
    pub(super) async fn run(self, items: Vec<ItemDraft>) -> Result<JobId, UploadError> {
        let mut chunks = ItemChunks(items.into_iter().peekable());
        let first = chunks.next().unwrap_or_default();
        let Some(second) = chunks.next() else {
            let header = self.header.clone();
            let items = first;
            return self.finish(JobCommand::Submit { header, items }).await;
        };
        let begin = JobCommand::BeginUpload {
            job: self.header.job,
            team: self.header.team.clone(),
            now: self.replica.wall(),
        };
        self.propose(begin).await?;
        let mut item_count = 0;
        for items in [first, second].into_iter().chain(chunks) {
            item_count = self.append(item_count, items).await?;
        }
        let header = self.header.clone();
        let commit = JobCommand::CommitUpload { header, item_count };
        self.finish(commit).await
    }

    async fn append(&self, first_item: u32, items: Vec<ItemDraft>) -> Result<u32, UploadError> {
        let command = JobCommand::AppendItems {
            job: self.header.job,
            first_item,
            items,
            now: self.replica.wall(),
        };
        match self.propose(command).await? {
            JobOutcome::UploadOpen { next_item } => Ok(next_item),
            outcome => Err(UploadError::Refused(outcome)),
        }
    }

    async fn finish(&self, command: JobCommand) -> Result<JobId, UploadError> {
        match self.propose(command).await? {
            JobOutcome::Submitted { job, .. } => Ok(job),
            outcome => Err(UploadError::Refused(outcome)),
        }
    }

    async fn propose(&self, command: JobCommand) -> Result<JobOutcome, UploadError> {
        let mut proposals = 1;
        loop {
            match self.replica.propose_jobs(command.clone()).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) if proposals == PROPOSALS_MAX => {
                    return Err(UploadError::NoOutcome(error));
                }
                Err(error) => log::debug!("batch: retrying an upload entry: {error}."),
            }
            proposals += 1;
        }
    }
}

/// Splits items into entries of bounded size.
struct ItemChunks(std::iter::Peekable<std::vec::IntoIter<ItemDraft>>);

impl Iterator for ItemChunks {
    type Item = Vec<ItemDraft>;

    fn next(&mut self) -> Option<Vec<ItemDraft>> {
        let mut bytes = 0;
        let mut chunk = Vec::new();
        while bytes < ENTRY_BYTES_MAX && chunk.len() < ENTRY_ITEMS_MAX {
            let Some(item) = self.0.next() else {
                break;
            };
            bytes += item.request.body.as_slice().len() + item.request.custom_id.len();
            chunk.push(item);
        }
        (!chunk.is_empty()).then_some(chunk)
    }
}

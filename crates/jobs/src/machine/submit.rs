//! Submission of jobs.
//!
//! A small job is submitted in one log entry. A large job is uploaded in several
//! entries under a new job id and becomes visible with its `CommitUpload`. The
//! digest of the body is known only then, so resends are detected at that point:
//! two uploads of the same body may proceed concurrently, and the second to commit
//! is discarded in favour of the first. Uploads are therefore independent of the
//! hosts that began other uploads.

use super::{JobMachine, encode};
use crate::job::BatchJob;
use crate::{
    ItemDraft, ItemRecord, JOB_ITEMS_MAX, JobHeader, JobOutcome, RecordKind, StoreError, UnixMillis,
};
use chicoryladder_types::{JobId, LogIndex, RefusalReason, TeamName};
use serde::{Deserialize, Serialize};

/// A job whose items are still being uploaded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobUpload {
    pub(super) team: TeamName,
    pub(super) last_append_at: UnixMillis,
    items: Vec<ItemRecord>,
}

impl JobUpload {
    pub(super) fn next_item(&self) -> u32 {
        u32::try_from(self.items.len()).unwrap_or(u32::MAX)
    }
}

impl JobMachine {
    pub(super) fn submit(
        &mut self,
        index: LogIndex,
        header: &JobHeader,
        items: &[ItemDraft],
    ) -> Result<JobOutcome, StoreError> {
        if items.is_empty() || items.len() > JOB_ITEMS_MAX {
            return Ok(JobOutcome::Refused(RefusalReason::BadRequest));
        }
        if let Some(outcome) = self.resend_outcome(header) {
            return Ok(outcome);
        }
        if self.is_id_in_use(header.job) {
            return Ok(JobOutcome::Refused(RefusalReason::BadRequest));
        }
        self.store_requests(header.job, 0, items)?;
        let records = new_records(items).collect();
        Ok(self.accept(index, header, records))
    }

    pub(super) fn begin_upload(
        &mut self,
        job: JobId,
        team: &TeamName,
        now: UnixMillis,
    ) -> JobOutcome {
        if let Some(upload) = self.state.uploads.get(&job) {
            let next_item = upload.next_item();
            return JobOutcome::UploadOpen { next_item };
        }
        if self.is_id_in_use(job) {
            return JobOutcome::Refused(RefusalReason::BadRequest);
        }
        let upload = JobUpload {
            team: team.clone(),
            last_append_at: now,
            items: Vec::new(),
        };
        self.state.uploads.insert(job, upload);
        JobOutcome::UploadOpen { next_item: 0 }
    }

    /// Appends the items that the upload does not hold yet, so a repeated entry has
    /// no effect.
    pub(super) fn append_items(
        &mut self,
        job: JobId,
        first_item: u32,
        items: &[ItemDraft],
        now: UnixMillis,
    ) -> Result<JobOutcome, StoreError> {
        let Some(upload) = self.state.uploads.get_mut(&job) else {
            return Ok(JobOutcome::Refused(RefusalReason::UnknownJob));
        };
        let next_item = upload.next_item();
        let too_many = first_item as usize + items.len() > JOB_ITEMS_MAX;
        if first_item > next_item || too_many {
            return Ok(JobOutcome::Refused(RefusalReason::BadRequest));
        }
        let duplicates = (next_item - first_item) as usize;
        let new_items = items.get(duplicates..).unwrap_or_default();
        upload.last_append_at = now;
        upload.items.extend(new_records(new_items));
        let after = upload.next_item();
        self.store_requests(job, next_item, new_items)?;
        Ok(JobOutcome::UploadOpen { next_item: after })
    }

    pub(super) fn commit_upload(
        &mut self,
        index: LogIndex,
        header: &JobHeader,
        item_count: u32,
    ) -> Result<JobOutcome, StoreError> {
        if let Some(outcome) = self.resend_outcome(header) {
            if self.state.uploads.remove(&header.job).is_some() {
                self.store.remove(header.job)?;
            }
            return Ok(outcome);
        }
        let upload = self.state.uploads.get(&header.job);
        let Some(upload) = upload.filter(|upload| upload.team == header.team) else {
            return Ok(JobOutcome::Refused(RefusalReason::UnknownJob));
        };
        if item_count == 0 || upload.next_item() != item_count {
            return Ok(JobOutcome::Refused(RefusalReason::BadRequest));
        }
        let upload = self.state.uploads.remove(&header.job);
        let items = upload.map(|upload| upload.items).unwrap_or_default();
        Ok(self.accept(index, header, items))
    }

    /// The outcome of a submission that was already accepted; `None` for a new
    /// submission.
    fn resend_outcome(&self, header: &JobHeader) -> Option<JobOutcome> {
        let by_id = self.state.jobs.get(&header.job);
        let by_key = header.key.as_ref().and_then(|key| {
            let owner = (header.team.clone(), key.clone());
            let job = self.state.keys.get(&owner)?;
            self.state.jobs.get(job)
        });
        let first = by_key.or(by_id.filter(|first| first.header().team == header.team))?;
        if first.header().digest != header.digest {
            return Some(JobOutcome::Refused(RefusalReason::KeyReused));
        }
        Some(JobOutcome::Submitted {
            job: first.header().job,
            resent: true,
        })
    }

    fn is_id_in_use(&self, job: JobId) -> bool {
        self.state.jobs.contains_key(&job) || self.state.uploads.contains_key(&job)
    }

    fn accept(
        &mut self,
        index: LogIndex,
        header: &JobHeader,
        items: Vec<ItemRecord>,
    ) -> JobOutcome {
        let job = header.job;
        self.raise_service_to_minimum(&header.team);
        if let Some(key) = &header.key {
            let owner = (header.team.clone(), key.clone());
            self.state.keys.insert(owner, job);
        }
        let accepted = BatchJob::new(header.clone(), items, index.0);
        self.state.jobs.insert(job, accepted);
        self.state.live.insert(job);
        JobOutcome::Submitted { job, resent: false }
    }

    fn store_requests(
        &mut self,
        job: JobId,
        first_item: u32,
        items: &[ItemDraft],
    ) -> Result<(), StoreError> {
        let encoded: Vec<(u32, Vec<u8>)> = (first_item..)
            .zip(items)
            .map(|(item, draft)| (item, encode(&draft.request)))
            .collect();
        self.store_records(job, RecordKind::Request, &encoded)
    }
}

fn new_records(items: &[ItemDraft]) -> impl Iterator<Item = ItemRecord> {
    items.iter().map(|draft| ItemRecord::new(draft.idempotent))
}

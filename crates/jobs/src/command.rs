//! The commands of a job group's replicated log.

use crate::{BodyBytes, BodyDigest, LeaseId, UnixMillis};
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest accepted idempotency key of a submission, in bytes.
const SUBMISSION_KEY_MAX_BYTES: usize = 255;

/// The error for an invalid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key has 1 to {SUBMISSION_KEY_MAX_BYTES} printable ASCII characters")]
pub struct SubmissionKeyError;

/// The caller's idempotency key of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SubmissionKey(String);

impl SubmissionKey {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for SubmissionKey {
    type Error = SubmissionKeyError;

    fn try_from(text: String) -> Result<Self, SubmissionKeyError> {
        let printable = text.bytes().all(|b| (b' '..=b'~').contains(&b));
        if text.is_empty() || text.len() > SUBMISSION_KEY_MAX_BYTES || !printable {
            return Err(SubmissionKeyError);
        }
        Ok(Self(text))
    }
}

impl TryFrom<&str> for SubmissionKey {
    type Error = SubmissionKeyError;

    fn try_from(text: &str) -> Result<Self, SubmissionKeyError> {
        Self::try_from(text.to_owned())
    }
}

impl From<SubmissionKey> for String {
    fn from(key: SubmissionKey) -> Self {
        key.0
    }
}

/// The weight of a team's batch work relative to other teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobShare(pub u32);

impl Default for JobShare {
    fn default() -> Self {
        Self(1)
    }
}

/// The metadata of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// The id proposed for the job; a resend gets the id of the first submission.
    pub job: JobId,
    /// The team that owns the job.
    pub team: TeamName,
    /// The class of the job's requests.
    pub class: ClassName,
    /// The caller's idempotency key.
    pub key: Option<SubmissionKey>,
    /// The digest of the submitted body.
    pub digest: BodyDigest,
    /// The weight of the team.
    pub share: JobShare,
    /// The time of the submission.
    pub submitted_at: UnixMillis,
    /// The deadline of the job.
    pub deadline_at: Option<UnixMillis>,
    /// The time at which items that have not run are abandoned.
    pub expires_at: UnixMillis,
}

/// The request of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRequest {
    /// The caller's id of the item, unique in the job.
    pub custom_id: String,
    /// The HTTP method.
    pub method: String,
    /// The path on the backend server.
    pub url: String,
    /// The JSON body.
    pub body: BodyBytes,
}

/// One item of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemDraft {
    /// Whether the item may run more than once.
    pub idempotent: bool,
    /// The request.
    pub request: ItemRequest,
}

/// Identifies one attempt of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemRef {
    /// The job of the item.
    pub job: JobId,
    /// The zero-based index of the item in its job.
    pub item: u32,
    /// The one-based number of the attempt.
    pub attempt: u16,
}

/// How an attempt ended, as reported by its dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// A backend server sent a complete response.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The response body.
        body: BodyBytes,
    },
    /// The attempt was refused or aborted.
    Refused {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
        /// The reason.
        reason: RefusalReason,
        /// One sentence for the caller.
        detail: String,
    },
    /// The dispatcher preempted the attempt in favour of online requests or never
    /// started it.
    Yielded {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
}

/// Reports the end of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: ItemRef,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Requests a lease on items of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The entry host of the dispatcher.
    pub host: HostName,
    /// The maximum number of items to lease.
    pub limit: u32,
    /// Jobs for which the dispatcher has no idle slot.
    pub excluded: Vec<JobId>,
    /// The time of the request.
    pub now: UnixMillis,
    /// The duration of the lease.
    pub duration: Duration,
}

/// One entry of the replicated log of a job group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Submits a whole job in one entry.
    Submit {
        /// The job.
        header: JobHeader,
        /// Its items.
        items: Vec<ItemDraft>,
    },
    /// Begins the upload of a job that spans several log entries.
    BeginUpload {
        /// The id proposed for the job.
        job: JobId,
        /// The team that owns the upload.
        team: TeamName,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Appends items to an upload.
    AppendItems {
        /// The upload.
        job: JobId,
        /// The index of the first of the items.
        first_item: u32,
        /// The items.
        items: Vec<ItemDraft>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Completes an upload and makes the job visible.
    CommitUpload {
        /// The job.
        header: JobHeader,
        /// The total number of uploaded items.
        item_count: u32,
    },
    /// Leases items to a dispatcher.
    LeaseItems(LeaseRequest),
    /// Requests permission to start leased items; required only for
    /// non-idempotent items.
    StartItems {
        /// The lease.
        lease: LeaseId,
        /// The attempts to start.
        attempts: Vec<ItemRef>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Extends leases of a dispatcher.
    RenewLeases {
        /// The entry host of the dispatcher.
        host: HostName,
        /// The leases to extend.
        leases: Vec<LeaseId>,
        /// The time of the command.
        now: UnixMillis,
        /// The new duration of the leases.
        duration: Duration,
    },
    /// Reports how attempts ended.
    CompleteItems {
        /// The reports.
        reports: Vec<AttemptReport>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Cancels a job.
    CancelJob {
        /// The team that requests the cancellation.
        team: TeamName,
        /// The job.
        job: JobId,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Ends expired leases, uploads and jobs, and removes jobs past their retention
    /// period.
    Sweep {
        /// The time of the command.
        now: UnixMillis,
    },
}

//! The commands of the replicated log.

use crate::{BodyBytes, BodyDigest, LeaseId, UnixMillis};
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest accepted idempotency key of a submission, in bytes.
const SUBMISSION_KEY_MAX_BYTES: usize = 255;

/// Why a text is not a valid idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key has 1 to {SUBMISSION_KEY_MAX_BYTES} printable ASCII characters")]
pub struct SubmissionKeyError;

/// The idempotency key that a caller gives to a submission.
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

/// The share of a team in batch work, relative to the shares of other teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobShare(pub u32);

impl Default for JobShare {
    fn default() -> Self {
        Self(1)
    }
}

/// What is known of a job besides its items.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// The id proposed for the job; a resend gets the id of the first.
    pub job: JobId,
    /// The team that owns the job.
    pub team: TeamName,
    /// The class of work.
    pub class: ClassName,
    /// The idempotency key of the caller.
    pub key: Option<SubmissionKey>,
    /// The digest of the submitted body.
    pub digest: BodyDigest,
    /// The share of the team.
    pub share: JobShare,
    /// The time of the submission.
    pub submitted_at: UnixMillis,
    /// The time by which the job must finish.
    pub deadline_at: Option<UnixMillis>,
    /// The time at which items that have not run are given up on.
    pub expires_at: UnixMillis,
}

/// The request of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRequest {
    /// The caller's name of the item, unique in the job.
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

/// Names one attempt at one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemRef {
    /// The job of the item.
    pub job: JobId,
    /// The position of the item in its job, from 0.
    pub item: u32,
    /// The attempt, from 1.
    pub attempt: u16,
}

/// How an attempt ended at its dispatcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// A backend server gave a whole answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body of the answer.
        body: BodyBytes,
    },
    /// The attempt was given up on.
    Refused {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
        /// The reason.
        reason: RefusalReason,
        /// One sentence for the caller.
        detail: String,
    },
    /// The dispatcher stopped the attempt in favour of online requests, or
    /// never began it.
    Yielded {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: ItemRef,
    /// How it ended.
    pub end: AttemptEnd,
}

/// Asks for a lease of items of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The entry host of the dispatcher.
    pub host: HostName,
    /// The most items to lease.
    pub limit: u32,
    /// Jobs that the dispatcher has no idle slot for.
    pub excluded: Vec<JobId>,
    /// The time of the request.
    pub now: UnixMillis,
    /// The time for which the items are leased.
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
    /// Begins the upload of a job that spans several entries.
    BeginUpload {
        /// The id proposed for the job.
        job: JobId,
        /// The team that uploads.
        team: TeamName,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Appends items to an upload.
    AppendItems {
        /// The upload.
        job: JobId,
        /// The position of the first of the items.
        first_item: u32,
        /// The items.
        items: Vec<ItemDraft>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Ends an upload and makes the job visible.
    CommitUpload {
        /// The job.
        header: JobHeader,
        /// The number of its items.
        item_count: u32,
    },
    /// Leases items to a dispatcher.
    LeaseItems(LeaseRequest),
    /// Grants the start of leased items; needed for non-idempotent items only.
    StartItems {
        /// The lease.
        lease: LeaseId,
        /// The attempts to start.
        attempts: Vec<ItemRef>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Extends every lease of a dispatcher.
    RenewLeases {
        /// The entry host of the dispatcher.
        host: HostName,
        /// The leases to extend.
        leases: Vec<LeaseId>,
        /// The time of the command.
        now: UnixMillis,
        /// The time for which the items are leased.
        duration: Duration,
    },
    /// Reports how attempts ended.
    CompleteItems {
        /// The attempts.
        reports: Vec<AttemptReport>,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Cancels a job.
    CancelJob {
        /// The team that asks.
        team: TeamName,
        /// The job.
        job: JobId,
        /// The time of the command.
        now: UnixMillis,
    },
    /// Ends expired leases, uploads and jobs, and drops jobs past retention.
    Sweep {
        /// The time of the command.
        now: UnixMillis,
    },
}

//! The outcomes of the commands of a job group.

use crate::{ItemRef, LeaseId, UnixMillis};
use chicoryladder_types::{JobId, RefusalReason};
use serde::{Deserialize, Serialize};

/// One leased item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemGrant {
    /// The job, the item and the number of the attempt.
    pub attempt: ItemRef,
    /// Whether the item may run more than once; if not, the attempt must first be
    /// started with [`crate::JobCommand::StartItems`].
    pub idempotent: bool,
}

/// Counts of reported attempts by the effect of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCounts {
    /// Items that reached a terminal state.
    pub ended: u32,
    /// Items that went back to pending.
    pub returned: u32,
    /// Reports dropped because the item had already ended.
    pub late: u32,
    /// Reports dropped because the reported attempt does not hold the item.
    pub fenced: u32,
    /// Reports for unknown jobs or items.
    pub unknown: u32,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job was accepted.
    Submitted {
        /// The id of the job; for a resend, the id of the first submission.
        job: JobId,
        /// Whether the same submission had already been accepted.
        resent: bool,
    },
    /// The upload is open.
    UploadOpen {
        /// The index of the next item to append.
        next_item: u32,
    },
    /// The leased items; none if there is no work.
    Leased {
        /// The id of the lease.
        lease: LeaseId,
        /// The expiry time of the lease.
        expires_at: UnixMillis,
        /// The leased items and their attempts.
        grants: Vec<ItemGrant>,
    },
    /// The attempts that may start; all others must not.
    Started {
        /// The permitted attempts.
        attempts: Vec<ItemRef>,
    },
    /// The extended leases; the dispatcher must release all others.
    Renewed {
        /// The extended leases.
        leases: Vec<LeaseId>,
        /// The new expiry time of the leases.
        expires_at: UnixMillis,
    },
    /// The reports were processed.
    Reported(ReportCounts),
    /// The job was cancelled.
    Cancelled {
        /// The number of items that dispatchers still hold. The cancellation may be
        /// acknowledged to the caller only once none is held.
        held: u32,
    },
    /// The sweep completed.
    Swept {
        /// The number of expired leases.
        leases: u32,
        /// The number of removed jobs and uploads.
        dropped: u32,
    },
    /// The command was refused and changed nothing.
    Refused(RefusalReason),
}

//! The answers to commands.

use crate::{ItemRef, LeaseId, UnixMillis};
use chicoryladder_types::{JobId, RefusalReason};
use serde::{Deserialize, Serialize};

/// One leased item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemGrant {
    /// The attempt.
    pub attempt: ItemRef,
    /// Whether the item may run more than once; if not, the attempt must be
    /// started by [`crate::JobCommand::StartItems`] first.
    pub idempotent: bool,
}

/// What became of a set of reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCounts {
    /// Items that reached a terminal state.
    pub ended: u32,
    /// Items that went back to pending.
    pub returned: u32,
    /// Reports dropped because the item was terminal already.
    pub late: u32,
    /// Reports dropped because a newer attempt holds the item.
    pub fenced: u32,
    /// Reports for unknown jobs or items.
    pub unknown: u32,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// The job is accepted.
    Submitted {
        /// The id of the job; that of the first submission for a resend.
        job: JobId,
        /// Whether an earlier submission is answered again.
        resent: bool,
    },
    /// The upload is open.
    UploadOpen {
        /// The position of the next item.
        next_item: u32,
    },
    /// Items are leased; none if there is no work.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// The end of the lease.
        expires_at: UnixMillis,
        /// The items.
        grants: Vec<ItemGrant>,
    },
    /// These of the attempts may start; all others must not.
    Started {
        /// The attempts granted.
        attempts: Vec<ItemRef>,
    },
    /// These leases are extended; the dispatcher must let go of all others.
    Renewed {
        /// The leases extended.
        leases: Vec<LeaseId>,
        /// Their new end.
        expires_at: UnixMillis,
    },
    /// The reports are taken in.
    Reported(ReportCounts),
    /// The job is cancelled.
    Cancelled {
        /// Items still in the hands of dispatchers. The cancellation may be
        /// acknowledged to the caller only when none is left.
        held: u32,
    },
    /// The sweep is done.
    Swept {
        /// Leases that had expired.
        leases: u32,
        /// Jobs and uploads dropped.
        dropped: u32,
    },
    /// The command changed nothing.
    Refused(RefusalReason),
}

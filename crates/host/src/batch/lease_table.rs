//! The leases and items that a dispatcher holds.

use chicoryladder_jobs::{AttemptEnd, AttemptReport, ItemGrant, ItemRef, JobOutcome, LeaseId};
use chicoryladder_types::RunVerdict;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The maximum size of the response bodies in one command; a single larger body is
/// still sent.
const REPORTS_MAX_BYTES: usize = 2 * 1024 * 1024;

/// The longest time that a leased item waits for an idle slot.
const QUEUE_WAIT_MAX: Duration = Duration::from_millis(300);

/// Whether the items of a lease may start, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseValidity {
    pub(super) start_until: Instant,
    pub(super) revoked: bool,
}

impl LeaseValidity {
    /// Whether an item may start now.
    pub(super) fn allows_start(&self, now: Instant) -> bool {
        !self.revoked && now < self.start_until
    }
}

struct HeldLease {
    validity: watch::Sender<LeaseValidity>,
    /// Items that are queued, running or without a committed report.
    unreported: usize,
}

/// An item that waits for an idle slot.
pub(super) struct QueuedItem {
    pub(super) lease: LeaseId,
    pub(super) grant: ItemGrant,
    pub(super) validity: watch::Receiver<LeaseValidity>,
    queued_at: Instant,
}

/// The leases of one dispatcher.
#[derive(Default)]
pub(super) struct LeaseTable {
    leases: BTreeMap<LeaseId, HeldLease>,
    lease_by_item: BTreeMap<ItemRef, LeaseId>,
    queue: VecDeque<QueuedItem>,
    reports: Vec<AttemptReport>,
}

impl LeaseTable {
    /// Adds the lease and the items that a lease request was granted.
    pub(super) fn add(&mut self, outcome: &JobOutcome, start_until: Instant, now: Instant) {
        let JobOutcome::Leased { lease, grants, .. } = outcome else {
            return;
        };
        if grants.is_empty() {
            return;
        }
        let revoked = false;
        let (validity, receiver) = watch::channel(LeaseValidity {
            start_until,
            revoked,
        });
        for grant in grants {
            self.lease_by_item.insert(grant.attempt, *lease);
            self.queue.push_back(QueuedItem {
                lease: *lease,
                grant: *grant,
                validity: receiver.clone(),
                queued_at: now,
            });
        }
        let unreported = grants.len();
        self.leases.insert(
            *lease,
            HeldLease {
                validity,
                unreported,
            },
        );
    }

    pub(super) fn is_empty(&self) -> bool {
        self.leases.is_empty() && self.reports.is_empty()
    }

    /// The next item that may still start.
    pub(super) fn next(&mut self, now: Instant) -> Option<QueuedItem> {
        while let Some(item) = self.queue.pop_front() {
            let validity = *item.validity.borrow();
            if validity.allows_start(now) {
                return Some(item);
            }
            self.yield_item(item.grant.attempt);
        }
        None
    }

    /// Returns items that have waited too long for an idle slot, so that other
    /// hosts can run them.
    pub(super) fn yield_waiting(&mut self, now: Instant) {
        while let Some(oldest) = self.queue.front() {
            if now.saturating_duration_since(oldest.queued_at) < QUEUE_WAIT_MAX {
                return;
            }
            let attempt = oldest.grant.attempt;
            self.queue.pop_front();
            self.yield_item(attempt);
        }
    }

    /// Returns every item that has not started.
    pub(super) fn yield_queued(&mut self) {
        for item in std::mem::take(&mut self.queue) {
            self.yield_item(item.grant.attempt);
        }
    }

    /// Revokes the leases of cancelled jobs.
    pub(super) fn revoke(&mut self, revoked: &[LeaseId]) {
        for lease in revoked {
            if let Some(held) = self.leases.get(lease) {
                held.validity.send_if_modified(|validity| {
                    let changed = !validity.revoked;
                    validity.revoked = true;
                    changed
                });
            }
        }
        let is_revoked = |item: &QueuedItem| revoked.contains(&item.lease);
        let queue = std::mem::take(&mut self.queue);
        let (stopped, kept): (VecDeque<_>, VecDeque<_>) = queue.into_iter().partition(is_revoked);
        self.queue = kept;
        for item in stopped {
            self.yield_item(item.grant.attempt);
        }
    }

    /// The leases to renew.
    pub(super) fn leases(&self) -> Vec<LeaseId> {
        self.leases.keys().copied().collect()
    }

    /// Extends the renewed leases.
    pub(super) fn extend(&mut self, renewed: &[LeaseId], start_until: Instant) {
        for lease in renewed {
            if let Some(held) = self.leases.get(lease) {
                held.validity
                    .send_modify(|validity| validity.start_until = start_until);
            }
        }
    }

    /// Queues the report of an ended attempt.
    pub(super) fn add_report(&mut self, report: AttemptReport) {
        self.reports.push(report);
    }

    /// Removes an attempt from its lease, and the lease with its last attempt.
    pub(super) fn remove_attempt(&mut self, attempt: ItemRef) {
        let Some(lease) = self.lease_by_item.remove(&attempt) else {
            return;
        };
        let Some(held) = self.leases.get_mut(&lease) else {
            return;
        };
        held.unreported -= 1;
        if held.unreported == 0 {
            self.leases.remove(&lease);
        }
    }

    /// The oldest reports: at most `limit` and [`REPORTS_MAX_BYTES`] of response
    /// bodies, but at least one. They are retained until they are committed.
    pub(super) fn reports(&self, limit: usize) -> Vec<AttemptReport> {
        let mut bytes = 0;
        let mut reports = Vec::new();
        for report in self.reports.iter().take(limit) {
            bytes += answer_bytes(report);
            if bytes > REPORTS_MAX_BYTES && !reports.is_empty() {
                break;
            }
            reports.push(report.clone());
        }
        reports
    }

    /// Removes the `count` oldest reports after they are committed.
    pub(super) fn remove_committed(&mut self, count: usize) {
        let committed: Vec<AttemptReport> = self.reports.drain(..count).collect();
        for report in committed {
            self.remove_attempt(report.attempt);
        }
    }

    fn yield_item(&mut self, attempt: ItemRef) {
        let verdict = RunVerdict::NotRun;
        let end = AttemptEnd::Yielded { verdict };
        self.reports.push(AttemptReport { attempt, end });
    }
}

fn answer_bytes(report: &AttemptReport) -> usize {
    match &report.end {
        AttemptEnd::Answered { body, .. } => body.as_slice().len(),
        AttemptEnd::Refused { .. } | AttemptEnd::Yielded { .. } => 0,
    }
}

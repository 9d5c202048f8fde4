//! A job and its items.
//!
//! The job keeps its items, their counts and the order in which they ended
//! consistent. It ends when its last item ends. A cancelled job grants no further
//! items, and items that dispatchers return end as cancelled.

use crate::schedule::ThroughputMeter;
use crate::{
    AttemptEnd, FailureCause, ItemEnd, ItemRecord, ItemRef, ItemResult, JobHeader, JobSlack,
    LeaseId, ReportEffect, UnixMillis,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The lifecycle phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Items are pending or leased.
    Running,
    /// The job is cancelled but dispatchers still hold items.
    Cancelling,
    /// Every item has ended.
    Completed,
    /// The job was cancelled and every item has ended.
    Cancelled,
}

impl JobPhase {
    /// Whether every item has ended.
    #[must_use]
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Cancelled)
    }

    /// The code in API responses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "in_progress",
            Self::Cancelling => "cancelling",
            Self::Completed => "completed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The number of items in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCounts {
    /// Items waiting for a dispatcher.
    pub pending: u32,
    /// Items that a dispatcher holds.
    pub leased: u32,
    /// Items with a successful response.
    pub succeeded: u32,
    /// Items that failed permanently.
    pub failed: u32,
    /// Items that may have run and must not run again.
    pub outcome_unknown: u32,
    /// Items ended by the cancellation of the job.
    pub cancelled: u32,
}

impl JobCounts {
    /// Items in a terminal state.
    #[must_use]
    pub const fn ended(&self) -> u32 {
        self.succeeded + self.failed + self.outcome_unknown + self.cancelled
    }

    /// All items.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.pending + self.leased + self.ended()
    }

    fn count_end(&mut self, end: ItemEnd) {
        match end {
            ItemEnd::Succeeded => self.succeeded += 1,
            ItemEnd::Failed(_) => self.failed += 1,
            ItemEnd::OutcomeUnknown => self.outcome_unknown += 1,
            ItemEnd::Cancelled => self.cancelled += 1,
        }
    }
}

/// The effects of a change to one item that concern the state outside the job.
#[derive(Clone, Debug)]
pub(crate) struct ItemChange {
    /// The effect on the item.
    pub(crate) effect: ReportEffect,
    /// The lease that no longer holds the item.
    pub(crate) released: Option<LeaseId>,
}

/// An accepted job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BatchJob {
    header: JobHeader,
    order: u64,
    phase: JobPhase,
    counts: JobCounts,
    items: Vec<ItemRecord>,
    /// The index of the first item that was never leased.
    next_unleased: u32,
    /// Pending items before `next_unleased`, without suspects.
    returned: BTreeSet<u32>,
    /// Pending suspects.
    suspects: BTreeSet<u32>,
    /// The time until which a pending suspect pauses. Snapshots hold it as separate
    /// records, which earlier versions of the format lack.
    #[serde(skip)]
    paused_until: BTreeMap<u32, UnixMillis>,
    /// The leased suspect; while it is leased, no other item of the job is granted.
    leased_suspect: Option<u32>,
    ended: Vec<u32>,
    ended_at: Option<UnixMillis>,
    meter: ThroughputMeter,
}

impl BatchJob {
    pub(crate) fn new(header: JobHeader, items: Vec<ItemRecord>, order: u64) -> Self {
        let pending = u32::try_from(items.len()).unwrap_or(u32::MAX);
        Self {
            header,
            order,
            phase: JobPhase::Running,
            counts: JobCounts {
                pending,
                ..JobCounts::default()
            },
            items,
            next_unleased: 0,
            returned: BTreeSet::new(),
            suspects: BTreeSet::new(),
            paused_until: BTreeMap::new(),
            leased_suspect: None,
            ended: Vec::new(),
            ended_at: None,
            meter: ThroughputMeter::default(),
        }
    }

    pub(crate) const fn header(&self) -> &JobHeader {
        &self.header
    }

    pub(crate) const fn order(&self) -> u64 {
        self.order
    }

    pub(crate) const fn phase(&self) -> JobPhase {
        self.phase
    }

    pub(crate) const fn counts(&self) -> &JobCounts {
        &self.counts
    }

    pub(crate) const fn ended_at(&self) -> Option<UnixMillis> {
        self.ended_at
    }

    /// The indexes of ended items, in the order in which they ended.
    pub(crate) fn ended(&self) -> &[u32] {
        &self.ended
    }

    pub(crate) fn item(&self, item: u32) -> Option<&ItemRecord> {
        self.items.get(item as usize)
    }

    /// Whether items can be leased.
    pub(crate) fn has_work(&self, now: UnixMillis) -> bool {
        let is_open = self.phase == JobPhase::Running && self.leased_suspect.is_none();
        let has_pending = self.counts.pending as usize > self.suspects.len();
        is_open && (has_pending || self.next_suspect(now).is_some())
    }

    /// The pending items that pause after crashes, and until when.
    pub(crate) fn pauses(&self) -> impl Iterator<Item = (u32, UnixMillis)> {
        self.paused_until
            .iter()
            .map(|(item, until)| (*item, *until))
    }

    /// Restores a pause from a snapshot.
    pub(crate) fn restore_pause(&mut self, item: u32, until: UnixMillis) {
        self.paused_until.insert(item, until);
    }

    /// The estimated time for the remaining items, by the throughput of the job or,
    /// if that is not measured yet, of the whole group.
    pub(crate) fn work_left(&self, group: &ThroughputMeter) -> Duration {
        let remaining = u64::from(self.counts.pending + self.counts.leased);
        let own = self.meter.time_for(remaining);
        own.or_else(|| group.time_for(remaining))
            .unwrap_or_default()
    }

    pub(crate) fn slack(&self, group: &ThroughputMeter, now: UnixMillis) -> JobSlack {
        JobSlack::measure(now, self.header.deadline_at, self.work_left(group))
    }

    /// Grants up to `limit` items, or a single suspect while there are any.
    pub(crate) fn grant(&mut self, lease: LeaseId, limit: u32, now: UnixMillis) -> Vec<ItemRef> {
        let mut granted = Vec::new();
        while granted.len() < limit as usize && self.has_work(now) {
            let Some(item) = self.take_next(granted.is_empty(), now) else {
                break;
            };
            let Some(attempt) = self.items[item as usize].grant(lease) else {
                continue;
            };
            self.counts.pending -= 1;
            self.counts.leased += 1;
            let job = self.header.job;
            granted.push(ItemRef { job, item, attempt });
        }
        self.meter.begin(now);
        granted
    }

    /// Permits a leased attempt to run.
    pub(crate) fn start(&mut self, lease: LeaseId, item: u32, attempt: u16) -> bool {
        if self.phase != JobPhase::Running {
            return false;
        }
        let record = self.items.get_mut(item as usize);
        record.is_some_and(|record| record.start(lease, attempt))
    }

    /// Records the end of an attempt; `None` if the item does not exist.
    pub(crate) fn report(
        &mut self,
        item: u32,
        attempt: u16,
        end: &AttemptEnd,
        now: UnixMillis,
    ) -> Option<ItemChange> {
        self.change(item, now, |record| record.report(attempt, end))
    }

    /// Reclaims an item from an expired lease.
    pub(crate) fn expire_lease(
        &mut self,
        item: u32,
        lease: LeaseId,
        now: UnixMillis,
    ) -> Option<ItemChange> {
        self.change(item, now, |record| record.expire(lease))
    }

    /// Cancels the job and returns the results of its pending items.
    pub(crate) fn cancel(&mut self, now: UnixMillis) -> Vec<(u32, ItemResult)> {
        if self.phase != JobPhase::Running {
            return Vec::new();
        }
        self.phase = JobPhase::Cancelling;
        let results = self.abandon_pending(ItemEnd::Cancelled, "the job was cancelled");
        self.end_if_done(now);
        results
    }

    /// Whether the job is past its expiry and has pending items.
    pub(crate) fn is_expired(&self, now: UnixMillis) -> bool {
        let has_pending = self.phase == JobPhase::Running && self.counts.pending > 0;
        has_pending && now >= self.header.expires_at
    }

    /// Abandons the pending items of an expired job and returns their results.
    pub(crate) fn expire(&mut self, now: UnixMillis) -> Vec<(u32, ItemResult)> {
        if !self.is_expired(now) {
            return Vec::new();
        }
        let end = ItemEnd::Failed(FailureCause::JobExpired);
        let results = self.abandon_pending(end, "the job expired before the item completed");
        self.end_if_done(now);
        results
    }

    fn change(
        &mut self,
        item: u32,
        now: UnixMillis,
        change: impl FnOnce(&mut ItemRecord) -> ReportEffect,
    ) -> Option<ItemChange> {
        let record = self.items.get_mut(item as usize)?;
        let previous = record.lease();
        let crashes = record.crashes();
        let mut effect = change(record);
        let has_crashed = record.crashes() > crashes;
        let released = previous.filter(|_| record.lease().is_none());
        if effect == ReportEffect::Returned && self.phase == JobPhase::Cancelling {
            let result = record.abandon(ItemEnd::Cancelled, "the job was cancelled");
            effect = result.map_or(effect, ReportEffect::Ended);
        }
        match &effect {
            ReportEffect::Ended(result) => self.count_end(item, result.end, released, now),
            ReportEffect::Returned => {
                self.count_return(item);
                if has_crashed {
                    self.pause(item, now);
                }
            }
            ReportEffect::Late | ReportEffect::Fenced => {}
        }
        Some(ItemChange { effect, released })
    }

    fn count_end(&mut self, item: u32, end: ItemEnd, released: Option<LeaseId>, now: UnixMillis) {
        if released.is_some() {
            self.release_leased(item);
        } else {
            // A late response ended an item that had returned to pending.
            self.returned.remove(&item);
            self.suspects.remove(&item);
            self.paused_until.remove(&item);
            self.counts.pending -= 1;
        }
        self.counts.count_end(end);
        self.ended.push(item);
        self.meter.record(1, now);
        self.end_if_done(now);
    }

    fn count_return(&mut self, item: u32) {
        self.release_leased(item);
        self.counts.pending += 1;
        let is_suspect = self.items[item as usize].is_suspect();
        if is_suspect {
            self.suspects.insert(item);
        } else {
            self.returned.insert(item);
        }
        if self.counts.leased == 0 {
            self.meter.pause();
        }
    }

    /// Pauses an item after a crash.
    fn pause(&mut self, item: u32, now: UnixMillis) {
        let pause = self.items[item as usize].crash_pause();
        if !pause.is_zero() {
            self.paused_until.insert(item, now.after(pause));
        }
    }

    fn release_leased(&mut self, item: u32) {
        self.counts.leased -= 1;
        if self.leased_suspect == Some(item) {
            self.leased_suspect = None;
        }
    }

    /// Takes the next item to lease; a suspect only as the first item of a lease. Other
    /// items are leased while all suspects pause.
    fn take_next(&mut self, is_first: bool, now: UnixMillis) -> Option<u32> {
        let Some(suspect) = self.next_suspect(now) else {
            return self.take_unsuspected();
        };
        if !is_first {
            return None;
        }
        self.suspects.remove(&suspect);
        self.paused_until.remove(&suspect);
        self.leased_suspect = Some(suspect);
        self.leased_suspect
    }

    /// The first pending suspect that does not pause.
    fn next_suspect(&self, now: UnixMillis) -> Option<u32> {
        let pauses = |item: &u32| {
            self.paused_until
                .get(item)
                .is_some_and(|until| now < *until)
        };
        self.suspects.iter().copied().find(|item| !pauses(item))
    }

    fn take_pending(&mut self) -> Option<u32> {
        if let Some(item) = self.suspects.pop_first() {
            self.paused_until.remove(&item);
            return Some(item);
        }
        self.take_unsuspected()
    }

    fn take_unsuspected(&mut self) -> Option<u32> {
        if let Some(item) = self.returned.pop_first() {
            return Some(item);
        }
        let item = self.next_unleased;
        if item as usize >= self.items.len() {
            return None;
        }
        self.next_unleased += 1;
        Some(item)
    }

    fn abandon_pending(&mut self, end: ItemEnd, detail: &str) -> Vec<(u32, ItemResult)> {
        let mut results = Vec::new();
        while let Some(item) = self.take_pending() {
            let record = &mut self.items[item as usize];
            let Some(result) = record.abandon(end, detail) else {
                continue;
            };
            self.counts.pending -= 1;
            self.counts.count_end(result.end);
            self.ended.push(item);
            results.push((item, result));
        }
        results
    }

    fn end_if_done(&mut self, now: UnixMillis) {
        if self.counts.pending + self.counts.leased > 0 || self.phase.is_ended() {
            return;
        }
        self.phase = match self.phase {
            JobPhase::Cancelling => JobPhase::Cancelled,
            _ => JobPhase::Completed,
        };
        self.ended_at = Some(now);
    }
}

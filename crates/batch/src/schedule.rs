//! The order in which items run.
//!
//! Items whose target can still be met go first, the most urgent of them before
//! the others; items that are late anyway follow. What a stopped run has made is
//! kept, so that the next run only continues it.

use crate::machine::{OpenItem, ProgressDelta, RunProgress};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::time::{Duration, Instant};

new_key_type! {
    /// Finds an item of a schedule.
    pub struct ItemKey;
}

/// The weight of a new measurement in the average run time.
const AVERAGE_WEIGHT: f64 = 0.05;

/// What is assumed of a whole run before any has ended.
const RUN_GUESS_SECONDS: f64 = 3.0;

/// The pause after a run failed; it doubles with each failure in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// The longest such pause.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// What an item is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemPhase {
    Waiting,
    Running,
    /// Its result is being committed.
    Committing,
}

/// One item that has no result yet.
#[derive(Clone, Debug)]
pub struct ScheduledItem {
    /// The item with its job.
    pub open: OpenItem,
    /// What its runs have made so far.
    pub progress: RunProgress,
    /// When its result is due.
    pub due_at: Instant,
    /// When it may be given up.
    pub give_up_at: Instant,
    /// The last event and the bytes of text that are recorded in the log.
    recorded: (Option<u64>, usize),
    phase: ItemPhase,
    not_before: Instant,
    failures_in_row: u32,
}

/// The items of the leader that have no result yet.
#[derive(Debug)]
pub struct ItemSchedule {
    items: SlotMap<ItemKey, ScheduledItem>,
    by_job: HashMap<String, Vec<ItemKey>>,
    run_seconds: f64,
}

impl Default for ItemSchedule {
    fn default() -> Self {
        Self {
            items: SlotMap::with_key(),
            by_job: HashMap::new(),
            run_seconds: RUN_GUESS_SECONDS,
        }
    }
}

impl ItemSchedule {
    /// Adds an item of a job that was submitted at the given instant.
    pub fn add(&mut self, open: OpenItem, submitted_at: Instant) {
        let job = open.job_spec.id.clone();
        let key = self.items.insert(ScheduledItem {
            due_at: submitted_at + open.job_spec.due_in,
            give_up_at: submitted_at + open.job_spec.give_up_in,
            recorded: (open.progress.last_event, open.progress.text.len()),
            progress: open.progress.clone(),
            phase: ItemPhase::Waiting,
            not_before: submitted_at,
            failures_in_row: 0,
            open,
        });
        self.by_job.entry(job).or_default().push(key);
    }

    /// Whether any item of the job is known.
    #[must_use]
    pub fn contains_job(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// An item.
    #[must_use]
    pub fn get(&self, key: ItemKey) -> Option<&ScheduledItem> {
        self.items.get(key)
    }

    /// The number of items that could start now.
    #[must_use]
    pub fn ready_count(&self, now: Instant) -> usize {
        let may_start = |item: &&ScheduledItem| item.may_start(now);
        self.items.values().filter(may_start).count()
    }

    /// When an item that paused after a failure may start again.
    #[must_use]
    pub fn next_retry_at(&self, now: Instant) -> Option<Instant> {
        let waiting = self
            .items
            .values()
            .filter(|item| item.phase == ItemPhase::Waiting);
        waiting
            .map(|item| item.not_before)
            .filter(|at| *at > now)
            .min()
    }

    fn next_key(&self, now: Instant) -> Option<ItemKey> {
        let run = Duration::from_secs_f64(self.run_seconds);
        let order = |item: &ScheduledItem| {
            let is_late = now + run > item.due_at;
            (item.open.job_spec.rank, is_late, item.due_at)
        };
        let waiting = self.items.iter().filter(|(_, item)| item.may_start(now));
        waiting
            .min_by_key(|(_, item)| order(item))
            .map(|(key, _)| key)
    }

    /// The item that should run next.
    #[must_use]
    pub fn peek_next(&self, now: Instant) -> Option<&ScheduledItem> {
        self.items.get(self.next_key(now)?)
    }

    /// Takes the item that should run next.
    pub fn start_next(&mut self, now: Instant) -> Option<ItemKey> {
        let key = self.next_key(now)?;
        let item = self.items.get_mut(key)?;
        item.phase = ItemPhase::Running;
        Some(key)
    }

    /// Notes that a run was stopped, with what it made.
    pub fn mark_stopped(&mut self, key: ItemKey, progress: RunProgress) {
        if let Some(item) = self.items.get_mut(key) {
            item.progress = progress;
            item.phase = ItemPhase::Waiting;
        }
    }

    /// Notes that a run failed; what it made counts if it is whole.
    pub fn mark_failed(&mut self, key: ItemKey, progress: RunProgress, now: Instant) {
        if let Some(item) = self.items.get_mut(key) {
            let advanced = progress.last_event > item.progress.last_event;
            item.failures_in_row = if advanced {
                0
            } else {
                item.failures_in_row + 1
            };
            let pause = FAILURE_PAUSE * 2u32.pow(item.failures_in_row.min(8));
            item.not_before = now + pause.min(FAILURE_PAUSE_MAX);
            item.progress = progress;
            item.phase = ItemPhase::Waiting;
        }
    }

    /// Counts a failed run that the server itself reported; returns how many there
    /// have been.
    pub fn count_failure(&mut self, key: ItemKey) -> u32 {
        let Some(item) = self.items.get_mut(key) else {
            return 0;
        };
        item.open.failures += 1;
        item.open.failures
    }

    /// What an item has made since it was recorded last, given what its present run
    /// has made; the caller records it at once.
    pub fn advance(&mut self, key: ItemKey, live: &RunProgress) -> Option<ProgressDelta> {
        let item = self.items.get_mut(key)?;
        let (after, bytes) = item.recorded;
        let text = live.text.get(bytes..)?.to_owned();
        item.recorded = (live.last_event, live.text.len());
        Some(ProgressDelta {
            job: item.open.job_spec.id.clone(),
            item: item.open.item,
            after,
            text,
            last_event: live.last_event,
        })
    }

    /// The items that have made something which is not recorded, and do not run.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<ItemKey> {
        let is_ahead = |item: &ScheduledItem| {
            item.phase == ItemPhase::Waiting && item.progress.last_event != item.recorded.0
        };
        let ahead = self.items.iter().filter(|(_, item)| is_ahead(item));
        ahead.map(|(key, _)| key).collect()
    }

    /// Notes that the result of an item is being committed.
    pub fn mark_committing(&mut self, key: ItemKey) {
        if let Some(item) = self.items.get_mut(key) {
            item.phase = ItemPhase::Committing;
        }
    }

    /// Drops an item whose result is listed.
    pub fn remove(&mut self, key: ItemKey, run: Option<Duration>) {
        if let Some(run) = run {
            self.run_seconds += (run.as_secs_f64() - self.run_seconds) * AVERAGE_WEIGHT;
        }
        if let Some(item) = self.items.remove(key) {
            let job = &item.open.job_spec.id;
            if let Some(keys) = self.by_job.get_mut(job) {
                keys.retain(|known| *known != key);
                if keys.is_empty() {
                    self.by_job.remove(job);
                }
            }
        }
    }

    /// Drops every item of a job; returns those that were there.
    pub fn remove_job(&mut self, job: &str) -> Vec<ItemKey> {
        let keys = self.by_job.remove(job).unwrap_or_default();
        for key in &keys {
            self.items.remove(*key);
        }
        keys
    }

    /// The waiting items that may be given up by now.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<ItemKey> {
        let is_expired =
            |item: &ScheduledItem| item.phase == ItemPhase::Waiting && now >= item.give_up_at;
        let expired = self.items.iter().filter(|(_, item)| is_expired(item));
        expired.map(|(key, _)| key).collect()
    }
}

impl ScheduledItem {
    fn may_start(&self, now: Instant) -> bool {
        self.phase == ItemPhase::Waiting && now >= self.not_before && now < self.give_up_at
    }
}

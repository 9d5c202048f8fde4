//! The scheduling of batch items on the leader of the job group.
//!
//! Items of a lower priority rank run first. Within a rank, items whose result can still
//! be completed by its due time run first, by earliest due time; items that will be late
//! follow. The partial output of a stopped run is retained, and the next run continues
//! from it.

use crate::machine::{OpenItem, OutputStart, ProgressDelta, RunProgress};
use crate::spec::JobSpec;
use chicoryladder_types::{AreaName, ServiceName, SoftwareVersion};
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

new_key_type! {
    /// The key of an item in a schedule.
    pub struct ItemKey;
}

/// The longest time from now to a deadline that is computed. Jobs of earlier builds may have
/// longer ones.
const SPAN_MAX: Duration = Duration::from_secs(10 * 365 * 24 * 60 * 60);

/// The weight of a new sample in the moving average of run times.
const AVERAGE_WEIGHT: f64 = 0.05;

/// The assumed average duration of a run before any run has ended.
const INITIAL_RUN_SECONDS: f64 = 3.0;

/// The backoff after a failed run; it doubles with each consecutive failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// The number of runs without an event, one after the other, after which the output of an item
/// is discarded: the servers of the version that wrote it may all be faulty.
const FRUITLESS_RUNS_MAX: u32 = 8;

/// Which servers may run an item. Items with other needs do not compete for the same servers, so
/// slots are requested for each of the needs on its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotNeeds {
    /// The service whose servers may run the item.
    pub service: ServiceName,
    /// The only version that may go on with its output.
    pub version: Option<SoftwareVersion>,
    /// The areas of the servers that may run it, if its job has homes.
    pub homes: Option<BTreeSet<AreaName>>,
}

/// What decides for which items slots are requested next.
pub struct RequestTerms<'a> {
    /// The items that slots are requested for.
    pub requested: &'a HashMap<ItemKey, SlotNeeds>,
    /// The maximum number of requested slots for the same needs.
    pub requested_max: usize,
    /// The homes of a job.
    pub homes: &'a dyn Fn(&JobSpec) -> Option<BTreeSet<AreaName>>,
    /// The memory of the servers of a service, in tokens; `None` if they have no limit.
    pub memory: &'a dyn Fn(&ServiceName) -> Option<u64>,
    /// Whether no slots are requested for some needs at present.
    pub is_paused: &'a dyn Fn(&SlotNeeds) -> bool,
}

/// The order in which slots are requested: whether the last request got none, the rank, whether
/// the item will be late, and its due time.
type RequestOrder = (bool, u32, bool, Instant);

/// The most urgent items with the same needs.
#[derive(Debug)]
struct UrgentItems {
    needs: SlotNeeds,
    memory: Option<u64>,
    /// The number of slots that may still be requested.
    room: usize,
    /// The number of slots that are requested.
    requested: usize,
    /// The number of ready items, as far as it matters for how many slots may be requested.
    ready: usize,
    urgent: BinaryHeap<(RequestOrder, ItemKey)>,
}

/// The state of an item in the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ItemPhase {
    Waiting,
    Running,
    /// Its result is being committed to the replicated log.
    Committing,
}

/// An item without a result.
#[derive(Clone, Debug)]
pub struct ScheduledItem {
    /// The item and its job.
    pub open: OpenItem,
    /// The service whose servers run it: the one that accepted the job, as long as it has servers.
    pub service: ServiceName,
    /// The output that its runs have produced so far.
    pub progress: RunProgress,
    /// The time at which its result is due.
    pub due_at: Instant,
    /// The time from which it may be given up.
    pub give_up_at: Instant,
    /// The last event and the length of the text, in bytes, that were handed out by
    /// [`ItemSchedule::take_delta`] or were recorded in the replicated log before.
    recorded: (Option<u64>, usize),
    /// The version of the software that writes the output.
    version: Option<SoftwareVersion>,
    /// The version that is recorded in the replicated log for the recorded output.
    recorded_version: Option<SoftwareVersion>,
    phase: ItemPhase,
    /// The end of the backoff.
    not_before: Instant,
    /// The time up to which slots are requested for other items first.
    deferred_until: Instant,
    consecutive_failures: u32,
}

/// The schedule of the items without a result.
#[derive(Debug)]
pub struct ItemSchedule {
    items: SlotMap<ItemKey, ScheduledItem>,
    by_job: HashMap<String, Vec<ItemKey>>,
    average_run_seconds: f64,
}

impl Default for ItemSchedule {
    fn default() -> Self {
        Self {
            items: SlotMap::with_key(),
            by_job: HashMap::new(),
            average_run_seconds: INITIAL_RUN_SECONDS,
        }
    }
}

impl ItemSchedule {
    /// Removes all items. Their keys name no item that is added later, so that what a task of an
    /// ended leadership still does has no effect.
    pub fn clear(&mut self) {
        self.items.clear();
        self.by_job.clear();
        self.average_run_seconds = INITIAL_RUN_SECONDS;
    }

    /// Adds an item of a job that was submitted at `submitted_at`.
    pub fn add(&mut self, open: OpenItem, submitted_at: Instant) {
        let job = open.job_spec.id.clone();
        let key = self.items.insert(ScheduledItem {
            due_at: submitted_at + open.job_spec.due_in.min(SPAN_MAX),
            give_up_at: submitted_at + open.job_spec.give_up_in.min(SPAN_MAX),
            service: open.job_spec.service.clone(),
            recorded: (open.progress.last_event, open.progress.text.len()),
            progress: open.progress.clone(),
            version: open.version.clone(),
            recorded_version: open.version.clone(),
            phase: ItemPhase::Waiting,
            not_before: submitted_at,
            deferred_until: submitted_at,
            consecutive_failures: 0,
            open,
        });
        self.by_job.entry(job).or_default().push(key);
    }

    /// Adds the items that a new leader has read from the replicated log. Meanwhile, jobs may have
    /// been added, which it may have read as well, and others have `ended`.
    pub fn load(&mut self, items: Vec<OpenItem>, ended: &HashSet<String>, now: Instant) {
        let is_added = |item: &OpenItem| {
            let job = &item.job_spec.id;
            !self.contains_job(job) && !ended.contains(job)
        };
        let items: Vec<OpenItem> = items.into_iter().filter(is_added).collect();
        for item in items {
            self.add(item, now);
        }
    }

    /// Whether the schedule has any item of the job.
    #[must_use]
    pub fn contains_job(&self, job: &str) -> bool {
        self.by_job.contains_key(job)
    }

    /// Returns an item.
    #[must_use]
    pub fn get(&self, key: ItemKey) -> Option<&ScheduledItem> {
        self.items.get(key)
    }

    /// Returns the item of a job by its id.
    #[must_use]
    pub fn find(&self, job: &str, id: &str) -> Option<&ScheduledItem> {
        let keys = self.by_job.get(job)?.iter();
        let mut items = keys.filter_map(|key| self.items.get(*key));
        items.find(|item| item.open.spec.id == id)
    }

    /// The number of items that are ready to start.
    #[must_use]
    pub fn ready_count(&self, now: Instant) -> usize {
        let may_start = |item: &&ScheduledItem| item.may_start(now);
        self.items.values().filter(may_start).count()
    }

    /// The earliest time, after `now`, at which the backoff of a waiting item ends.
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

    /// Returns the key of the item to run next.
    #[must_use]
    pub fn next_key(&self, now: Instant) -> Option<ItemKey> {
        self.next_matching(now, |_, _| true)
    }

    /// Returns the items to request slots for next, the most urgent ones for each of the needs.
    /// Items that the memory of no server holds are not among them.
    #[must_use]
    pub fn next_requests(
        &self,
        now: Instant,
        terms: &RequestTerms<'_>,
    ) -> Vec<(ItemKey, SlotNeeds)> {
        let order = self.order_at(now);
        let request_order = |item: &ScheduledItem| {
            let (rank, is_late, due_at) = order(item);
            (now < item.deferred_until, rank, is_late, due_at)
        };
        let mut groups: Vec<UrgentItems> = Vec::new();
        let mut places: HashMap<SlotNeeds, usize> = HashMap::new();
        for keys in self.by_job.values() {
            let mut items = keys
                .iter()
                .filter_map(|key| Some((*key, self.items.get(*key)?)));
            let Some((_, first)) = items.clone().next() else {
                continue;
            };
            let homes = (terms.homes)(&first.open.job_spec);
            // Most items of a job have the same needs.
            let mut last: Option<usize> = None;
            let startable = items.by_ref().filter(|(_, item)| item.may_start(now));
            for (key, item) in startable {
                let is_same = last.is_some_and(|place| groups[place].is_for(item));
                let place = last.filter(|_| is_same).unwrap_or_else(|| {
                    let needs = item.slot_needs(homes.clone());
                    *places.entry(needs).or_insert_with_key(|needs| {
                        groups.push(UrgentItems::new(needs.clone(), terms));
                        groups.len() - 1
                    })
                });
                last = Some(place);
                groups[place].offer(key, item, request_order(item), terms);
            }
        }
        groups
            .into_iter()
            .flat_map(UrgentItems::into_requests)
            .collect()
    }

    /// Has slots requested for other items with the same needs first until `until`, after a
    /// request for the item got none. It still takes a slot that is granted for another one.
    pub fn defer_request(&mut self, key: ItemKey, until: Instant) {
        if let Some(item) = self.items.get_mut(key) {
            item.deferred_until = until;
        }
    }

    /// Returns the key of the item to run next on a server of the given service and version.
    #[must_use]
    pub fn next_for_server(
        &self,
        now: Instant,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> Option<ItemKey> {
        self.next_allowed(now, service, version, |_| true)
    }

    /// Like [`Self::next_for_server`], among the items that may run on the server.
    #[must_use]
    pub fn next_allowed(
        &self,
        now: Instant,
        service: &ServiceName,
        version: &SoftwareVersion,
        is_allowed: impl Fn(&OpenItem) -> bool,
    ) -> Option<ItemKey> {
        self.next_matching(now, |_, item| {
            let fits_version = item.required_version().is_none_or(|v| v == version);
            item.service == *service && fits_version && is_allowed(&item.open)
        })
    }

    /// The order in which items run that start now.
    fn order_at(&self, now: Instant) -> impl Fn(&ScheduledItem) -> (u32, bool, Instant) {
        let ends_at = now + Duration::from_secs_f64(self.average_run_seconds);
        move |item| {
            let is_late = ends_at > item.due_at;
            (item.open.job_spec.rank, is_late, item.due_at)
        }
    }

    fn next_matching(
        &self,
        now: Instant,
        matches: impl Fn(ItemKey, &ScheduledItem) -> bool,
    ) -> Option<ItemKey> {
        let order = self.order_at(now);
        let startable = self.items.iter();
        let startable = startable.filter(|(key, item)| item.may_start(now) && matches(*key, item));
        startable
            .min_by_key(|(_, item)| order(item))
            .map(|(key, _)| key)
    }

    /// Marks the item to run next on a server of the given service and version as running, and
    /// returns it.
    pub fn start_next(
        &mut self,
        now: Instant,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> Option<ItemKey> {
        let key = self.next_for_server(now, service, version)?;
        self.start(key, version);
        Some(key)
    }

    /// Marks an item as running on a server of the given version, which writes its output
    /// from here on.
    pub fn start(&mut self, key: ItemKey, version: &SoftwareVersion) {
        if let Some(item) = self.items.get_mut(key) {
            item.phase = ItemPhase::Running;
            item.version = Some(version.clone());
        }
    }

    /// Discards the output of the items whose routes lead to another service than the one of
    /// their job: a new leader does not know which of the two wrote it.
    pub fn discard_unattributed(&mut self, target: impl Fn(&JobSpec) -> Option<ServiceName>) {
        let is_moved = |item: &ScheduledItem| {
            target(&item.open.job_spec).is_some_and(|service| service != item.service)
        };
        let with_output = self.items.iter();
        let with_output = with_output.filter(|(_, item)| item.progress.last_event.is_some());
        let moved = with_output.filter(|(_, item)| is_moved(item));
        let moved: Vec<ItemKey> = moved.map(|(key, _)| key).collect();
        for key in moved {
            self.discard_output(key);
        }
    }

    /// Moves a waiting item to another service and discards its output, as the service that
    /// wrote it has no servers any more.
    pub fn move_to(&mut self, key: ItemKey, service: &ServiceName) {
        self.discard_output(key);
        let item = self.items.get_mut(key);
        if let Some(item) = item.filter(|item| item.phase == ItemPhase::Waiting) {
            item.service = service.clone();
        }
    }

    /// Discards the output of a waiting item, as no server has the version that wrote it.
    pub fn discard_output(&mut self, key: ItemKey) {
        let item = self.items.get_mut(key);
        if let Some(item) = item.filter(|item| item.phase == ItemPhase::Waiting) {
            item.progress = RunProgress::default();
            item.version = None;
            // What is recorded has to be discarded, too, whichever version writes next.
            item.recorded_version = None;
        }
    }

    /// Returns the beginning of the output of an item that runs, if the replicated log holds
    /// another one or none. The caller has to record it before the next delta, since it is not
    /// returned again.
    pub fn take_output_start(&mut self, key: ItemKey) -> Option<OutputStart> {
        let item = self.items.get_mut(key)?;
        let version = item.version.clone()?;
        let is_recorded = item.recorded_version.as_ref() == Some(&version);
        // The result of an item needs no version beside it.
        let is_result = item.phase == ItemPhase::Committing && item.recorded.0.is_none();
        if is_recorded || is_result {
            return None;
        }
        item.recorded_version = Some(version.clone());
        item.recorded = (None, 0);
        Some(OutputStart {
            job: item.open.job_spec.id.clone(),
            item: item.open.item,
            version,
        })
    }

    /// Keeps an item that does not run from starting until `until`.
    pub fn postpone(&mut self, key: ItemKey, until: Instant) {
        let item = self.items.get_mut(key);
        if let Some(item) = item.filter(|item| item.phase == ItemPhase::Waiting) {
            item.not_before = item.not_before.max(until);
        }
    }

    /// Records that a run was stopped, with its output.
    pub fn mark_stopped(&mut self, key: ItemKey, progress: RunProgress) {
        if let Some(item) = self.items.get_mut(key) {
            item.progress = progress;
            item.phase = ItemPhase::Waiting;
        }
    }

    /// Records that a run failed, with its output. A run that produced new events resets
    /// the backoff.
    pub fn mark_failed(&mut self, key: ItemKey, progress: RunProgress, now: Instant) {
        if let Some(item) = self.items.get_mut(key) {
            let has_advanced = progress.last_event > item.progress.last_event;
            item.consecutive_failures = if has_advanced {
                0
            } else {
                item.consecutive_failures + 1
            };
            let backoff = FAILURE_BACKOFF * 2u32.pow(item.consecutive_failures.min(8));
            item.not_before = now + backoff.min(FAILURE_BACKOFF_MAX);
            item.progress = progress;
            item.phase = ItemPhase::Waiting;
            if item.consecutive_failures >= FRUITLESS_RUNS_MAX {
                self.discard_output(key);
            }
        }
    }

    /// Counts a failed run that the server reported, and returns the number of such
    /// failures.
    pub fn count_failure(&mut self, key: ItemKey) -> u32 {
        let Some(item) = self.items.get_mut(key) else {
            return 0;
        };
        item.open.failures += 1;
        item.open.failures
    }

    /// Returns the output of an item since the last recorded progress, given its `current`
    /// output. The caller has to record the delta in the replicated log immediately, since
    /// it is not returned again.
    pub fn take_delta(&mut self, key: ItemKey, current: &RunProgress) -> Option<ProgressDelta> {
        let item = self.items.get_mut(key)?;
        let (after, recorded_bytes) = item.recorded;
        let text = current.text.get(recorded_bytes..)?.to_owned();
        item.recorded = (current.last_event, current.text.len());
        Some(ProgressDelta {
            job: item.open.job_spec.id.clone(),
            item: item.open.item,
            after,
            text,
            last_event: current.last_event,
        })
    }

    /// The items that are not running and have unrecorded output.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<ItemKey> {
        let has_unrecorded = |item: &ScheduledItem| {
            item.phase == ItemPhase::Waiting && item.progress.last_event != item.recorded.0
        };
        let unrecorded = self.items.iter().filter(|(_, item)| has_unrecorded(item));
        unrecorded.map(|(key, _)| key).collect()
    }

    /// Records that the result of an item is being committed.
    pub fn mark_committing(&mut self, key: ItemKey) {
        if let Some(item) = self.items.get_mut(key) {
            item.phase = ItemPhase::Committing;
        }
    }

    /// Removes an item whose result is committed. The duration of its run, if known, enters
    /// the average.
    pub fn remove(&mut self, key: ItemKey, run: Option<Duration>) {
        if let Some(run) = run {
            self.average_run_seconds +=
                (run.as_secs_f64() - self.average_run_seconds) * AVERAGE_WEIGHT;
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

    /// Removes all items of a job and returns their keys.
    pub fn remove_job(&mut self, job: &str) -> Vec<ItemKey> {
        let keys = self.by_job.remove(job).unwrap_or_default();
        for key in &keys {
            self.items.remove(*key);
        }
        keys
    }

    /// The waiting items that may be given up now.
    #[must_use]
    pub fn expired(&self, now: Instant) -> Vec<ItemKey> {
        let is_expired =
            |item: &ScheduledItem| item.phase == ItemPhase::Waiting && now >= item.give_up_at;
        let expired = self.items.iter().filter(|(_, item)| is_expired(item));
        expired.map(|(key, _)| key).collect()
    }
}

impl UrgentItems {
    fn new(needs: SlotNeeds, terms: &RequestTerms<'_>) -> Self {
        let requested = terms.requested.values();
        let requested = requested.filter(|requested| **requested == needs).count();
        let is_paused = (terms.is_paused)(&needs);
        let room = terms.requested_max.saturating_sub(requested);
        Self {
            memory: (terms.memory)(&needs.service),
            room: if is_paused { 0 } else { room },
            requested,
            ready: 0,
            urgent: BinaryHeap::new(),
            needs,
        }
    }

    /// Whether an item of the same job has these needs.
    fn is_for(&self, item: &ScheduledItem) -> bool {
        item.service == self.needs.service && item.required_version() == self.needs.version.as_ref()
    }

    fn offer(
        &mut self,
        key: ItemKey,
        item: &ScheduledItem,
        order: RequestOrder,
        terms: &RequestTerms<'_>,
    ) {
        let is_full = self.urgent.len() >= self.room;
        let is_urgent = !is_full || self.urgent.peek().is_some_and(|last| (order, key) < *last);
        // Most of many items end here, before their specification is read.
        let is_counted = self.ready >= self.requested + self.room;
        if !is_urgent && is_counted {
            return;
        }
        let exceeds = |memory| item.open.spec.tokens > memory;
        if self.memory.is_some_and(exceeds) {
            return;
        }
        self.ready += 1;
        if !is_urgent || terms.requested.contains_key(&key) {
            return;
        }
        self.urgent.push((order, key));
        if self.urgent.len() > self.room {
            self.urgent.pop();
        }
    }

    /// The items to request slots for. No more slots are requested than items are ready.
    fn into_requests(self) -> impl Iterator<Item = (ItemKey, SlotNeeds)> {
        let wanted = self.ready.saturating_sub(self.requested);
        let needs = self.needs;
        let urgent = self.urgent.into_sorted_vec().into_iter().take(wanted);
        urgent.map(move |(_, key)| (key, needs.clone()))
    }
}

impl ScheduledItem {
    fn slot_needs(&self, homes: Option<BTreeSet<AreaName>>) -> SlotNeeds {
        SlotNeeds {
            service: self.service.clone(),
            version: self.required_version().cloned(),
            homes,
        }
    }

    /// The name of the state of the item, for operators.
    #[must_use]
    pub fn state_name(&self) -> &'static str {
        match self.phase {
            ItemPhase::Waiting => "waiting",
            ItemPhase::Running => "running",
            ItemPhase::Committing => "committing",
        }
    }

    /// The only version that may go on with the output of the item, if it has any.
    #[must_use]
    pub fn required_version(&self) -> Option<&SoftwareVersion> {
        let has_output = self.progress.last_event.is_some();
        self.version.as_ref().filter(|_| has_output)
    }

    fn may_start(&self, now: Instant) -> bool {
        self.phase == ItemPhase::Waiting && now >= self.not_before && now < self.give_up_at
    }
}

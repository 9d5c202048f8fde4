//! What the leader of the job group does: it has the items run.

use super::host::StoreShared;
use super::run::{ItemEnd, ItemRun, LiveProgress, run_item};
use crate::message::{BatchCall, BatchReply, GroupReply};
use crate::slot_client::SlotLease;
use chicoryladder_batch::{
    BatchAnswer, BatchCommand, BatchMachine, ItemKey, ItemSchedule, OpenItem, ProgressDelta,
    RunProgress, ScheduledItem, SubmitAnswer,
};
use chicoryladder_broker::{SlotRequest, WorkKind};
use chicoryladder_group::{GroupStatus, ProposeFailure};
use chicoryladder_types::TermNumber;
use chicoryladder_types::prelude::*;
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Questions for slots that are open at the same time. More would only wait in the
/// broker's queue, where their order is fixed.
const ASKS_MAX: usize = 12;

/// How long a question for a slot waits; an item that became more urgent meanwhile
/// takes the slot.
const ASK_WAIT: Duration = Duration::from_secs(2);

/// The pause after a question was refused.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// The most bytes of results in one page, besides the first one.
const PAGE_MAX_BYTES: usize = 700 * 1024;

/// The time between two looks for jobs that nobody needs any more.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// The time between two records of what runs have made; what a new leader has to
/// have made again is at most this much of each item.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// A run under way.
struct RunningItem {
    task: AbortHandle,
    live: LiveProgress,
}

/// What the leader of the job group has in memory.
pub(super) struct JobLeader {
    /// The term of this leadership; `None` while another host leads.
    pub(super) term: Option<TermNumber>,
    pub(super) schedule: ItemSchedule,
    asks: usize,
    ask_again_at: Option<Instant>,
    runs: HashMap<ItemKey, RunningItem>,
    record_at: Option<Instant>,
    /// When each job that is known was first seen by this leader.
    seen_at: HashMap<String, Instant>,
    forget_at: Option<Instant>,
}

impl JobLeader {
    pub(super) fn new() -> Self {
        Self {
            term: None,
            schedule: ItemSchedule::default(),
            asks: 0,
            ask_again_at: None,
            runs: HashMap::new(),
            record_at: None,
            seen_at: HashMap::new(),
            forget_at: None,
        }
    }

    /// Begins a leadership with the items that have no result yet.
    fn begin(&mut self, term: TermNumber, items: Vec<OpenItem>, now: Instant) {
        self.end();
        self.term = Some(term);
        for item in items {
            self.schedule.add(item, now);
        }
    }

    /// Ends a leadership; its runs stop.
    pub(super) fn end(&mut self) {
        for (_, run) in self.runs.drain() {
            run.task.abort();
        }
        self.term = None;
        self.schedule = ItemSchedule::default();
        self.seen_at.clear();
    }

    /// The items that could start now, for metrics.
    pub(super) fn items_waiting(&self, now: Instant) -> f64 {
        let count = u32::try_from(self.schedule.ready_count(now)).unwrap_or(u32::MAX);
        f64::from(count)
    }

    /// What all items have made since they were recorded last.
    fn take_advances(&mut self) -> Vec<ProgressDelta> {
        let mut advances = Vec::new();
        for (key, run) in &self.runs {
            let live = run.live.lock().unwrap_or_else(PoisonError::into_inner);
            advances.extend(self.schedule.take_delta(*key, &live));
        }
        for key in self.schedule.unrecorded() {
            let made = self.schedule.get(key).map(|item| item.progress.clone());
            advances.extend(made.and_then(|made| self.schedule.take_delta(key, &made)));
        }
        advances.retain(|advance| advance.last_event != advance.after);
        advances
    }

    fn stop_job(&mut self, job: &str) {
        for key in self.schedule.remove_job(job) {
            if let Some(run) = self.runs.remove(&key) {
                run.task.abort();
            }
        }
    }
}

impl StoreShared {
    /// Answers a call to the job group.
    pub(super) async fn answer(self: Arc<Self>, call: BatchCall) -> GroupReply<BatchReply> {
        if !self.leads() {
            return self.not_leader();
        }
        match call {
            BatchCall::Change(command) => self.change(command).await,
            BatchCall::Page { team, job, after } => {
                let query = move |machine: &BatchMachine| {
                    machine.page(team.as_ref(), &job, after, PAGE_MAX_BYTES)
                };
                self.read(query).await.map_or_else(
                    || self.not_leader(),
                    |page| GroupReply::Answer(BatchReply::Page(page)),
                )
            }
            BatchCall::Body { team, job, item } => {
                let query = move |machine: &BatchMachine| {
                    let spec = machine.body(team.as_ref(), &job, &item);
                    spec.map(|spec| spec.body.clone())
                };
                self.read(query).await.map_or_else(
                    || self.not_leader(),
                    |body| GroupReply::Answer(BatchReply::Body(body)),
                )
            }
            BatchCall::Join(request) => {
                let status = self.status();
                let now = self.now();
                let answer = self.care().answer_join(&status, &request, now);
                GroupReply::Answer(BatchReply::Seat(answer))
            }
        }
    }

    async fn change(self: &Arc<Self>, command: BatchCommand) -> GroupReply<BatchReply> {
        let now = self.now();
        let answer = match self.propose(&command).await {
            Ok(answer) => answer,
            Err(ProposeFailure::NotLeader) => return self.not_leader(),
            Err(_) => return GroupReply::OutcomeUnknown,
        };
        match (&command, answer) {
            (BatchCommand::Submit { job, .. }, BatchAnswer::Submitted(SubmitAnswer::Accepted)) => {
                let mut job_spec = (**job).clone();
                let items = std::mem::take(&mut job_spec.items);
                let job_spec = Arc::new(job_spec);
                let mut leader = self.leader();
                if leader.term.is_some() && !leader.schedule.contains_job(&job_spec.id) {
                    for (spec, item) in items.into_iter().zip(0..) {
                        let open = OpenItem {
                            job_spec: job_spec.clone(),
                            item,
                            spec: Arc::new(spec),
                            failures: 0,
                            progress: RunProgress::default(),
                        };
                        leader.schedule.add(open, now);
                    }
                }
                drop(leader);
                self.work_due.notify_one();
            }
            (BatchCommand::End { job, .. }, BatchAnswer::Done) => self.leader().stop_job(job),
            _ => {}
        }
        GroupReply::Answer(BatchReply::Changed(answer))
    }
}

/// Acts as the leader while this host is it.
pub(super) async fn lead(shared: Arc<StoreShared>) {
    loop {
        // Either ends the pause.
        let _ = tokio::time::timeout(LEADER_TICK, shared.work_due.notified()).await;
        let status = shared.status();
        let begun = shared.leader().term;
        if !status.leads {
            if begun.is_some() {
                shared.leader().end();
                shared
                    .log
                    .note("leadership_lost", &json!({ "term": status.term.0 }));
            }
            continue;
        }
        if !status.holds_lease(shared.now()) {
            continue;
        }
        if begun != Some(status.term) {
            take_over(&shared, &status).await;
        }
        shared.repair(&status);
        give_up_overdue(&shared);
        forget_old_jobs(&shared).await;
        record_progress(&shared);
        ask_for_slots(&shared);
    }
}

/// The time between two looks at timers of the leader.
const LEADER_TICK: Duration = Duration::from_millis(50);

async fn take_over(shared: &StoreShared, status: &GroupStatus) {
    let Some(items) = shared.read(BatchMachine::open_items).await else {
        return;
    };
    let count = items.len();
    let now = shared.now();
    shared.care().restart();
    shared.leader().begin(status.term, items, now);
    let fields = json!({ "term": status.term.0, "open_items": count });
    shared.log.note("leadership_begins", &fields);
}

/// Asks for as many slots as there are items to run, within bounds.
fn ask_for_slots(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let mut leader = shared.leader();
    if leader.ask_again_at.is_some_and(|at| now < at) {
        return;
    }
    leader.ask_again_at = None;
    let wanted = leader.schedule.ready_count(now).min(ASKS_MAX);
    let asks = wanted.saturating_sub(leader.asks);
    let Some(term) = leader.term else {
        return;
    };
    leader.asks += asks;
    drop(leader);
    for _ in 0..asks {
        tokio::spawn(ask_and_run(shared.clone(), term));
    }
}

/// Gets a slot and gives it to the item that should run next.
async fn ask_and_run(shared: Arc<StoreShared>, term: TermNumber) {
    let question = {
        let leader = shared.leader();
        let next = leader.schedule.peek_next(shared.now());
        next.map(|item| slot_question(&shared, item))
    };
    let lease = match question {
        Some(question) => {
            let plan = shared.view.plan().version();
            Some(shared.slots.request_slot(plan, question, None).await)
        }
        None => None,
    };
    let now = shared.now();
    let mut leader = shared.leader();
    leader.asks = leader.asks.saturating_sub(1);
    match lease {
        Some(Ok(lease)) => {
            if leader.term != Some(term) {
                return;
            }
            let Some(key) = leader.schedule.start_next(now) else {
                return;
            };
            let Some(item) = leader.schedule.get(key).cloned() else {
                return;
            };
            let live: LiveProgress = Arc::new(Mutex::new(item.progress.clone()));
            let run = run_and_settle(shared.clone(), key, item, lease, live.clone());
            let task = tokio::spawn(run).abort_handle();
            leader.runs.insert(key, RunningItem { task, live });
            drop(leader);
            shared.work_due.notify_one();
        }
        Some(Err(_)) => leader.ask_again_at = Some(now + ASK_PAUSE),
        None => {}
    }
}

fn slot_question(shared: &StoreShared, item: &ScheduledItem) -> SlotRequest {
    let shape = shared.runner.dialect.item_shape(&item.open.spec);
    SlotRequest {
        ticket: 0,
        service: item.open.job_spec.service.clone(),
        kind: WorkKind::Batch,
        rank: item.open.job_spec.rank,
        zone: shared.base.settings.host.zone.clone(),
        charged_team: None,
        prompt: shape.parts,
        tokens: shape.tokens,
        avoid: Vec::new(),
        first_answer_within: ASK_WAIT,
        wait_max: ASK_WAIT,
    }
}

async fn run_and_settle(
    shared: Arc<StoreShared>,
    key: ItemKey,
    item: ScheduledItem,
    lease: SlotLease,
    live: LiveProgress,
) {
    let server = lease.server.clone();
    let started_at = shared.now();
    let run = run_item(&shared.runner, &item, lease, live, &*shared.base.clock).await;
    let now = shared.now();
    shared.leader().runs.remove(&key);
    note_run(
        &shared,
        &item,
        &server,
        &run,
        now.saturating_duration_since(started_at),
    );
    match run.end {
        ItemEnd::Complete => {
            let whole = item.progress.last_event.is_none();
            let took = whole.then(|| now.saturating_duration_since(started_at));
            complete(&shared, key, &run.progress, took).await;
        }
        ItemEnd::Impossible => give_up(&shared, key, &item).await,
        ItemEnd::Stopped => shared.leader().schedule.mark_stopped(key, run.progress),
        ItemEnd::Broken => shared.leader().schedule.mark_failed(key, run.progress, now),
        ItemEnd::Failed => {
            let failures = shared.leader().schedule.count_failure(key);
            if failures >= item.open.job_spec.max_attempts {
                give_up(&shared, key, &item).await;
            } else {
                let command = BatchCommand::CountFailure {
                    job: item.open.job_spec.id.clone(),
                    item: item.open.item,
                };
                if let Err(failure) = shared.propose(&command).await {
                    log::warn!("store: a failed run was not recorded: {failure}.");
                }
                // The failed run made nothing that counts.
                shared
                    .leader()
                    .schedule
                    .mark_failed(key, item.progress, now);
            }
        }
    }
    shared.work_due.notify_one();
}

fn note_run(
    shared: &StoreShared,
    item: &ScheduledItem,
    server: &ServerName,
    run: &ItemRun,
    took: Duration,
) {
    let fields = json!({
        "job": item.open.job_spec.id,
        "item": item.open.spec.id,
        "server": server,
        "end": format!("{:?}", run.end),
        "cause": run.cause,
        "from_event": item.progress.last_event,
        "last_event": run.progress.last_event,
        "took_ms": took.as_millis(),
    });
    match run.end {
        ItemEnd::Complete | ItemEnd::Stopped => shared.log.routine("item_run", &fields),
        ItemEnd::Broken | ItemEnd::Failed | ItemEnd::Impossible => {
            shared.log.note("item_run", &fields);
        }
    }
}

/// Records what runs have made, so that a later leader goes on from there.
fn record_progress(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let mut leader = shared.leader();
    if leader.record_at.is_some_and(|at| now < at) {
        return;
    }
    leader.record_at = Some(now + RECORD_INTERVAL);
    let advances = leader.take_advances();
    drop(leader);
    if advances.is_empty() {
        return;
    }
    // Proposed in order with the results that follow; the answer tells nothing.
    if let Err(failure) = shared.propose_now(&BatchCommand::AppendProgress(advances)) {
        log::warn!("store: progress was not recorded: {failure}.");
    }
}

/// Lists the result of a complete item.
async fn complete(
    shared: &Arc<StoreShared>,
    key: ItemKey,
    made: &RunProgress,
    took: Option<Duration>,
) {
    let advance = {
        let mut leader = shared.leader();
        leader.schedule.mark_committing(key);
        leader.schedule.take_delta(key, made)
    };
    if let Some(advance) = advance {
        let command = BatchCommand::Complete(advance);
        list_result(shared, key, &command, took).await;
    }
}

/// Lists an item as given up.
async fn give_up(shared: &Arc<StoreShared>, key: ItemKey, item: &ScheduledItem) {
    shared.leader().schedule.mark_committing(key);
    let command = BatchCommand::GiveUp {
        job: item.open.job_spec.id.clone(),
        item: item.open.item,
    };
    list_result(shared, key, &command, None).await;
}

async fn list_result(
    shared: &Arc<StoreShared>,
    key: ItemKey,
    command: &BatchCommand,
    took: Option<Duration>,
) {
    match shared.propose(command).await {
        Ok(BatchAnswer::NoEffect) => {
            let mut leader = shared.leader();
            if leader.schedule.get(key).is_some() {
                // What is in memory does not fit the log; begin again from the log.
                log::warn!("store: a result did not fit what is recorded of its item.");
                leader.end();
            }
        }
        Ok(_) => shared.leader().schedule.remove(key, took),
        Err(failure) => {
            // The next leader runs the item again.
            log::warn!("store: a result was not recorded: {failure}.");
        }
    }
}

fn give_up_overdue(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let mut leader = shared.leader();
    let expired = leader.schedule.expired(now);
    let items: Vec<(ItemKey, ScheduledItem)> = expired
        .into_iter()
        .filter_map(|key| Some((key, leader.schedule.get(key)?.clone())))
        .collect();
    for (key, _) in &items {
        leader.schedule.mark_committing(*key);
    }
    drop(leader);
    for (key, item) in items {
        let shared = shared.clone();
        tokio::spawn(async move {
            give_up(&shared, key, &item).await;
        });
    }
}

/// Drops jobs that have ended and that nobody may read any more.
async fn forget_old_jobs(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let is_due = {
        let mut leader = shared.leader();
        let is_due = leader.forget_at.is_none_or(|at| now >= at);
        if is_due {
            leader.forget_at = Some(now + FORGET_INTERVAL);
        }
        is_due
    };
    if !is_due {
        return;
    }
    let Some(jobs) = shared.read(BatchMachine::jobs).await else {
        return;
    };
    let retention = shared.base.settings.bounds.job_retention;
    let old: Vec<String> = {
        let mut leader = shared.leader();
        let known: HashSet<&String> = jobs.iter().map(|(id, _)| id).collect();
        leader.seen_at.retain(|job, _| known.contains(job));
        let mut old = Vec::new();
        for (job, is_open) in jobs {
            let seen_at = *leader.seen_at.entry(job.clone()).or_insert(now);
            if !is_open && now.saturating_duration_since(seen_at) > retention + FORGET_INTERVAL {
                old.push(job);
            }
        }
        old
    };
    for job in old {
        if let Err(failure) = shared.propose(&BatchCommand::Remove { job }).await {
            log::warn!("store: an old job was not dropped: {failure}.");
        }
    }
}

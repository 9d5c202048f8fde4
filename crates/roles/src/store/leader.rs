//! The leader of the job group: serves job calls, requests slots and runs items.

use super::host::StoreShared;
use super::run::{ItemEnd, ItemRun, LiveProgress, run_item};
use crate::message::{BatchCall, BatchReply, GroupReply, ItemSlot};
use crate::slot_client::{SlotError, SlotLease, expected_fields};
use chicoryladder_batch::{
    BatchAnswer, BatchCommand, BatchMachine, ItemKey, ItemSchedule, JobOwner, JobSpec, OpenItem,
    OutputStart, ProgressDelta, RequestTerms, RunProgress, ScheduledItem, SlotNeeds, SubmitAnswer,
};
use chicoryladder_broker::{SlotRefusalReason, SlotRequest, StreamPart, WorkKind, shared_segments};
use chicoryladder_group::{GroupStatus, ProposeFailure};
use chicoryladder_plan::{PlanVersion, RouteKind, ServicePlan};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, TermNumber};
use serde_json::json;
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// The maximum number of pending slot requests for items with the same needs. More would only
/// wait in the broker's queue, where their order is fixed.
const PENDING_REQUESTS_MAX: usize = 12;

/// The maximum wait of a slot request. The slot goes to the item that is most urgent
/// when it is granted.
const SLOT_WAIT: Duration = Duration::from_secs(2);

/// The pause after a refused slot request.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// The part of the time within which plans apply, for which the plan of a view is taken for the
/// one in force: one in this number.
const PLAN_AGE_DIVISOR: u32 = 2;

/// The maximum size of the results in one page, in bytes, not counting the first one.
const PAGE_MAX_BYTES: usize = 700 * 1024;

/// The interval between checks for expired jobs.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// The interval between records of the progress of runs. After a change of the leader,
/// at most this much of each run is repeated.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// An active run of an item.
struct RunningItem {
    task: AbortHandle,
    live: LiveProgress,
}

/// The in-memory state of the job group's leader.
pub(super) struct JobLeader {
    /// The term of this leadership; `None` while another host leads.
    pub(super) term: Option<TermNumber>,
    /// When this leadership began.
    pub(super) began_at: Option<Instant>,
    /// The jobs that have ended since a new leadership began to read; `None` at other times.
    ended_meanwhile: Option<HashSet<String>>,
    pub(super) schedule: ItemSchedule,
    /// The items that slots are requested for; each slot goes to the item that is most urgent
    /// when it is granted.
    requested: HashMap<ItemKey, SlotNeeds>,
    /// The needs for which slots were refused, and until when none are requested for them.
    paused: HashMap<SlotNeeds, Instant>,
    runs: HashMap<ItemKey, RunningItem>,
    next_record_at: Option<Instant>,
    /// When this leader first saw each job.
    first_seen_at: HashMap<String, Instant>,
    next_cleanup_at: Option<Instant>,
}

impl JobLeader {
    pub(super) fn new() -> Self {
        Self {
            term: None,
            began_at: None,
            ended_meanwhile: None,
            schedule: ItemSchedule::default(),
            requested: HashMap::new(),
            paused: HashMap::new(),
            runs: HashMap::new(),
            next_record_at: None,
            first_seen_at: HashMap::new(),
            next_cleanup_at: None,
        }
    }

    /// Prepares a leadership, before the items that have no result yet are read.
    fn prepare(&mut self) {
        self.end();
        self.ended_meanwhile = Some(HashSet::new());
    }

    /// Begins a leadership with the items that have no result yet.
    fn begin(&mut self, term: TermNumber, items: Vec<OpenItem>, plan: &ServicePlan, now: Instant) {
        let ended = self.ended_meanwhile.take().unwrap_or_default();
        self.term = Some(term);
        self.began_at = Some(now);
        self.schedule.load(items, &ended, now);
        self.schedule
            .discard_unattributed(|job| service_of_route(plan, job));
    }

    /// Whether jobs that are accepted now have to be added to the schedule.
    fn takes_jobs(&self) -> bool {
        self.term.is_some() || self.ended_meanwhile.is_some()
    }

    /// Ends a leadership and aborts its runs.
    pub(super) fn end(&mut self) {
        for (_, run) in self.runs.drain() {
            run.task.abort();
        }
        self.term = None;
        self.ended_meanwhile = None;
        self.schedule.clear();
        self.requested.clear();
        self.paused.clear();
        self.first_seen_at.clear();
    }

    /// The number of items that are ready to start, for metrics.
    pub(super) fn items_waiting(&self, now: Instant) -> f64 {
        let count = u32::try_from(self.schedule.ready_count(now)).unwrap_or(u32::MAX);
        f64::from(count)
    }

    /// The number of slots that are requested, and of the needs for which none are requested at
    /// present, for metrics.
    pub(super) fn slot_requests(&self, now: Instant) -> (f64, f64) {
        let count = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        let paused = self.paused.values().filter(|until| now < **until).count();
        (count(self.requested.len()), count(paused))
    }

    /// The output of all items since it was recorded last, and the items whose output begins
    /// anew before that.
    fn take_deltas(&mut self) -> (Vec<OutputStart>, Vec<ProgressDelta>) {
        let mut starts = Vec::new();
        let mut deltas = Vec::new();
        for (key, run) in &self.runs {
            let live = run.live.lock().unwrap_or_else(PoisonError::into_inner);
            if live.last_event.is_some() {
                starts.extend(self.schedule.take_output_start(*key));
            }
            deltas.extend(self.schedule.take_delta(*key, &live));
        }
        for key in self.schedule.unrecorded() {
            starts.extend(self.schedule.take_output_start(key));
            let progress = self.schedule.get(key).map(|item| item.progress.clone());
            deltas.extend(progress.and_then(|progress| self.schedule.take_delta(key, &progress)));
        }
        deltas.retain(|delta| delta.last_event != delta.after);
        (starts, deltas)
    }

    fn stop_job(&mut self, job: &str) {
        if let Some(ended) = &mut self.ended_meanwhile {
            ended.insert(job.to_owned());
        }
        for key in self.schedule.remove_job(job) {
            if let Some(run) = self.runs.remove(&key) {
                run.task.abort();
            }
        }
    }
}

impl StoreShared {
    /// Handles a call to the job group.
    pub(super) async fn handle_call(self: Arc<Self>, call: BatchCall) -> GroupReply<BatchReply> {
        if !self.leads() {
            return self.not_leader();
        }
        match call {
            BatchCall::Change(BatchCommand::End { job, team }, _) => self.end_job(job, team).await,
            BatchCall::Change(command, plan) => match self.stale_plan(&command, plan.0).await {
                Some(in_force) => GroupReply::Answer(BatchReply::StalePlan(in_force)),
                None => self.change(command).await,
            },
            BatchCall::Owner { job } => {
                let query = move |machine: &BatchMachine| machine.owner(&job);
                self.read(query).await.map_or_else(
                    || self.not_leader(),
                    |owner| GroupReply::Answer(BatchReply::Owner(owner)),
                )
            }
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
                    let spec = machine.item_spec(team.as_ref(), &job, &item);
                    spec.map(|spec| spec.body.clone())
                };
                self.read(query).await.map_or_else(
                    || self.not_leader(),
                    |body| GroupReply::Answer(BatchReply::Body(body)),
                )
            }
            BatchCall::ItemSlot { job, item } => {
                let leader = self.leader();
                let found = leader.schedule.find(&job, &item);
                let slot = found.map(|item| Box::new(item_slot(&self, item)));
                GroupReply::Answer(BatchReply::ItemSlot(slot))
            }
            BatchCall::Join(request) => {
                let status = self.status();
                let now = self.now();
                let answer = self.repair().handle_join(&status, &request, now);
                GroupReply::Answer(BatchReply::Seat(answer))
            }
            BatchCall::LeaveSeat(request) => {
                GroupReply::Answer(BatchReply::Seat(self.leave_seat(&request)))
            }
        }
    }

    /// The plan in force, if it is newer than the one by which a new job was decided on. The host
    /// that accepts the job may have stood still meanwhile, or the call may have been held up.
    async fn stale_plan(
        &self,
        command: &BatchCommand,
        decided_by: Option<PlanVersion>,
    ) -> Option<PlanVersion> {
        let (BatchCommand::Submit { job, .. }, Some(plan)) = (command, decided_by) else {
            return None;
        };
        let max_age = self.base.settings.bounds.plan_applies / PLAN_AGE_DIVISOR;
        if self.view.age(self.now()).is_none_or(|age| age > max_age) {
            self.view.refresh_in_time().await;
        }
        let in_force = self.view.plan().version();
        if plan >= in_force {
            return None;
        }
        let id = job.id.clone();
        let is_known = self.read(move |machine| machine.owner(&id).is_some()).await;
        if is_known == Some(true) {
            // An earlier attempt was accepted by its plan.
            return None;
        }
        let fields = json!({ "job": job.id, "plan": plan.0, "in_force": in_force.0 });
        self.log.note("stale_submission", &fields);
        Some(in_force)
    }

    /// Ends a job that the team may access. The command names the owner, as all builds apply
    /// it by that.
    async fn end_job(
        self: &Arc<Self>,
        job: String,
        team: Option<TeamName>,
    ) -> GroupReply<BatchReply> {
        let queried = job.clone();
        let owner = self.read(move |machine| machine.owner(&queried)).await;
        let team = match owner {
            Some(Some(JobOwner::Anyone)) => None,
            Some(_) => team,
            None => return self.not_leader(),
        };
        self.change(BatchCommand::End { job, team }).await
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
                if leader.takes_jobs() && !leader.schedule.contains_job(&job_spec.id) {
                    for (spec, item) in items.into_iter().zip(0..) {
                        let open = OpenItem {
                            job_spec: job_spec.clone(),
                            item,
                            spec: Arc::new(spec),
                            failures: 0,
                            progress: RunProgress::default(),
                            version: None,
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

/// Runs the duties of the leader while this host leads.
pub(super) async fn lead(shared: Arc<StoreShared>) {
    loop {
        // The pause ends early when there is new work.
        let _ = tokio::time::timeout(LEADER_TICK, shared.work_due.notified()).await;
        let status = shared.status();
        let active_term = shared.leader().term;
        if !status.leads {
            if active_term.is_some() {
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
        if active_term != Some(status.term) {
            begin_leadership(&shared, &status).await;
        }
        shared.start_repair(&status);
        give_up_expired(&shared);
        remove_old_jobs(&shared).await;
        record_progress(&shared);
        request_slots(&shared);
    }
}

/// The longest pause before the quarantine of a waiting item is checked again.
const QUARANTINE_RECHECK: Duration = Duration::from_secs(2);

/// The interval at which the leader checks its timers.
const LEADER_TICK: Duration = Duration::from_millis(50);

async fn begin_leadership(shared: &StoreShared, status: &GroupStatus) {
    if shared.view.fresh_at().is_none() {
        // The plan tells which output may be gone on with.
        return;
    }
    shared.leader().prepare();
    let Some(items) = shared.read(BatchMachine::open_items).await else {
        shared.leader().end();
        return;
    };
    let count = items.len();
    let now = shared.now();
    let plan = shared.view.plan();
    let own = shared.base.rpc.identity();
    let mut repair = shared.repair();
    repair.restart(now);
    repair.record_zone(own.address, &own.zone);
    drop(repair);
    shared.leader().begin(status.term, items, &plan, now);
    let fields = json!({ "term": status.term.0, "open_items": count });
    shared.log.note("leadership_begins", &fields);
}

/// Requests slots for the items that are ready, within [`PENDING_REQUESTS_MAX`] for each of their
/// needs. Items that can't run now keep no others from the slots of idle servers so.
fn request_slots(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let mut leader = shared.leader();
    let Some(term) = leader.term else {
        return;
    };
    leader.paused.retain(|_, until| now < *until);
    let plan = shared.view.plan();
    let terms = RequestTerms {
        requested: &leader.requested,
        requested_max: PENDING_REQUESTS_MAX,
        homes: &|job| plan.homes(&job.route, job.team.as_ref()),
        memory: &|service| memory_of(&plan, service),
        is_paused: &|needs| leader.paused.contains_key(needs),
    };
    let requests = leader.schedule.next_requests(now, &terms);
    for (key, needs) in requests {
        leader.requested.insert(key, needs);
        tokio::spawn(request_and_run(shared.clone(), term, key));
    }
}

/// The memory of a service's servers, in tokens; `None` if they are no engines.
fn memory_of(plan: &ServicePlan, service: &ServiceName) -> Option<u64> {
    let services = &plan.raw().services;
    let service = services.iter().find(|known| known.name == *service)?;
    service.engine.map(|engine| engine.memory_tokens)
}

/// Requests a slot and runs the item that is next when the slot is granted.
async fn request_and_run(shared: Arc<StoreShared>, term: TermNumber, requested: ItemKey) {
    let slot_request = {
        let leader = shared.leader();
        let item = leader.schedule.get(requested);
        item.map(|item| build_slot_request(&shared, item))
    };
    let lease = match slot_request {
        Some(slot_request) => {
            let plan = shared.view.plan().version();
            Some(shared.slots.request_slot(plan, slot_request, None).await)
        }
        None => None,
    };
    let now = shared.now();
    let mut leader = shared.leader();
    if leader.term != Some(term) {
        return;
    }
    let needs = leader.requested.remove(&requested);
    match lease {
        Some(Ok(mut lease)) => {
            let next = start_next(&shared, &mut leader, requested, &lease, now);
            let Some((key, item)) = next else {
                return;
            };
            if requested != key {
                lease.run_instead(build_slot_request(&shared, &item).traits());
            }
            let live: LiveProgress = Arc::new(Mutex::new(item.progress.clone()));
            let run = run_and_record(shared.clone(), key, item, lease, live.clone());
            let task = tokio::spawn(run).abort_handle();
            leader.runs.insert(key, RunningItem { task, live });
            drop(leader);
            shared.work_due.notify_one();
        }
        Some(Err(error)) => {
            apply_refusal(&shared, &mut leader, requested, &error, now);
            if let Some(needs) = needs.filter(|_| concerns_all(&error)) {
                leader.paused.insert(needs, now + REFUSED_PAUSE);
            }
        }
        None => {}
    }
}

/// Whether a refusal holds for all items with the same needs.
fn concerns_all(error: &SlotError) -> bool {
    match error {
        SlotError::StalePlan => true,
        SlotError::Refused { reason, .. } => !matches!(
            reason,
            SlotRefusalReason::Quarantined(_) | SlotRefusalReason::VersionGone
        ),
    }
}

/// Applies a refused slot request to the item that it was made for.
fn apply_refusal(
    shared: &StoreShared,
    leader: &mut JobLeader,
    requested: ItemKey,
    error: &SlotError,
    now: Instant,
) {
    let SlotError::Refused {
        reason,
        retry_after,
    } = error
    else {
        return;
    };
    match reason {
        SlotRefusalReason::Quarantined(_) => {
            let pause = (*retry_after).min(QUARANTINE_RECHECK);
            leader.schedule.postpone(requested, now + pause);
        }
        SlotRefusalReason::VersionGone => {
            log_discarded(shared, leader.schedule.get(requested));
            leader.schedule.discard_output(requested);
            shared.work_due.notify_one();
        }
        SlotRefusalReason::NoServer => move_from_empty_service(shared, leader, requested),
        // The item may need more than others with the same needs, such as memory.
        _ => leader.schedule.defer_request(requested, now + SLOT_WAIT),
    }
}

/// The service that the route of a job leads to; `None` if the plan has no such route for jobs.
fn service_of_route(plan: &ServicePlan, job: &JobSpec) -> Option<ServiceName> {
    let route = plan.route_named(&job.route);
    let route = route.filter(|route| route.kind == RouteKind::Batch)?;
    route.job_service().cloned()
}

/// Moves an item whose service has no servers to the one that its route leads to.
fn move_from_empty_service(shared: &StoreShared, leader: &mut JobLeader, key: ItemKey) {
    let Some(item) = leader.schedule.get(key) else {
        return;
    };
    let plan = shared.view.plan();
    let service = service_of_route(&plan, &item.open.job_spec);
    let Some(service) = service.filter(|service| *service != item.service) else {
        return;
    };
    let fields = json!({
        "job": item.open.job_spec.id,
        "item": item.open.spec.id,
        "service_before": item.service,
        "service": service,
        "last_event": item.progress.last_event,
        "plan": plan.version().0,
    });
    shared.log.note("item_moved", &fields);
    leader.schedule.move_to(key, &service);
}

/// Starts the item that is next for the server of a slot. The broker has decided only on the requested one, so any
/// other one is postponed if a segment of its prompt is in quarantine.
fn start_next(
    shared: &StoreShared,
    leader: &mut JobLeader,
    requested: ItemKey,
    lease: &SlotLease,
    now: Instant,
) -> Option<(ItemKey, ScheduledItem)> {
    let (service, version) = (&lease.service, &lease.version);
    let plan = shared.view.plan();
    // The slot has memory for the requested item.
    let granted = leader.schedule.get(requested);
    let granted = granted.map(|item| item.open.spec.tokens);
    let memory = memory_of(&plan, service).map(|memory| granted.unwrap_or(memory).min(memory));
    loop {
        let is_allowed = |open: &OpenItem| {
            lease.allows_job(&plan, &open.job_spec)
                && memory.is_none_or(|memory| open.spec.tokens <= memory)
        };
        let schedule = &leader.schedule;
        let key = schedule.next_allowed(now, service, version, is_allowed)?;
        let item = leader.schedule.get(key)?.clone();
        let quarantine = if requested == key {
            None
        } else {
            let service = &item.service;
            let shape = shared.runner.dialect.item_shape(&item.open.spec);
            let segments = shared_segments(&shape.segments);
            shared.view.quarantine_of(service, &segments, now)
        };
        let Some(quarantine) = quarantine else {
            leader.schedule.start(key, version);
            return Some((key, item));
        };
        let pause = quarantine.left.min(QUARANTINE_RECHECK);
        leader.schedule.postpone(key, now + pause);
    }
}

fn build_slot_request(shared: &StoreShared, item: &ScheduledItem) -> SlotRequest {
    let shape = shared.runner.dialect.item_shape(&item.open.spec);
    SlotRequest {
        ticket: 0,
        service: item.service.clone(),
        kind: WorkKind::Batch,
        rank: item.open.job_spec.rank,
        zone: shared.base.settings.host.zone.clone(),
        charged_team: None,
        prompt: shape.segments,
        fingerprint: item_fingerprint(item),
        tokens: shape.tokens.max(item.open.spec.tokens),
        stream: item.required_version().map(|version| StreamPart::Rest {
            stream: None,
            version: Some(version.clone()),
        }),
        avoid: Vec::new(),
        first_answer_within: SLOT_WAIT,
        wait_max: SLOT_WAIT,
        homes: shared.slots.job_homes(&item.open.job_spec),
    }
}

/// What the broker would be asked for an item.
fn item_slot(shared: &StoreShared, item: &ScheduledItem) -> ItemSlot {
    let slot_request = build_slot_request(shared, item);
    let job_spec = &item.open.job_spec;
    ItemSlot {
        state: item.state_name().to_owned(),
        route: job_spec.route.clone(),
        team: job_spec.team.clone(),
        homes: slot_request.homes.clone(),
        slot_request,
    }
}

/// Logs that the output of an item is discarded, as no server has the version that wrote it.
fn log_discarded(shared: &StoreShared, item: Option<&ScheduledItem>) {
    let Some(item) = item else {
        return;
    };
    let fields = json!({
        "job": item.open.job_spec.id,
        "item": item.open.spec.id,
        "version": item.required_version(),
        "last_event": item.progress.last_event,
    });
    shared.log.note("item_output_discarded", &fields);
}

/// Identifies an item across its runs.
fn item_fingerprint(item: &ScheduledItem) -> RequestFingerprint {
    let job = &item.open.job_spec;
    let item = &item.open.spec.id;
    RequestFingerprint::new(job.team.as_ref(), &job.route, item, job.id.as_bytes())
}

async fn run_and_record(
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
    log_run(
        &shared,
        &item,
        &server,
        &run,
        now.saturating_duration_since(started_at),
    );
    match run.end {
        ItemEnd::Complete => {
            let from_start = item.progress.last_event.is_none();
            let elapsed = from_start.then(|| now.saturating_duration_since(started_at));
            complete(&shared, key, &run.progress, elapsed).await;
        }
        ItemEnd::Impossible => give_up(&shared, key, &item).await,
        ItemEnd::Stopped => shared.leader().schedule.mark_stopped(key, run.progress),
        ItemEnd::Broken => shared.leader().schedule.mark_failed(key, run.progress, now),
        ItemEnd::Empty | ItemEnd::Overlong => {
            let mut leader = shared.leader();
            leader.schedule.mark_failed(key, run.progress, now);
            // Only a run from the start tells where the output ends, or whether it does.
            leader.schedule.discard_output(key);
        }
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
                    log::warn!("store: failed to record a failed run: {failure}.");
                }
                // The progress of the failed run is discarded.
                shared
                    .leader()
                    .schedule
                    .mark_failed(key, item.progress, now);
            }
        }
    }
    shared.work_due.notify_one();
}

fn log_run(
    shared: &StoreShared,
    item: &ScheduledItem,
    server: &ServerName,
    run: &ItemRun,
    elapsed: Duration,
) {
    let mut fields = json!({
        "job": item.open.job_spec.id,
        "item": item.open.spec.id,
        "server": server,
        "end": format!("{:?}", run.end),
        "cause": run.cause,
        "from_event": item.progress.last_event,
        "last_event": run.progress.last_event,
        "took_ms": elapsed.as_millis(),
    });
    if let Some(expected) = &run.expected {
        fields["expected"] = expected_fields(expected);
    }
    match run.end {
        ItemEnd::Complete | ItemEnd::Stopped => shared.log.routine("item_run", &fields),
        ItemEnd::Broken
        | ItemEnd::Empty
        | ItemEnd::Overlong
        | ItemEnd::Failed
        | ItemEnd::Impossible => {
            shared.log.note("item_run", &fields);
        }
    }
}

/// Records the progress of runs, so that a later leader resumes from there.
fn record_progress(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let mut leader = shared.leader();
    if leader.next_record_at.is_some_and(|at| now < at) {
        return;
    }
    leader.next_record_at = Some(now + RECORD_INTERVAL);
    let (starts, deltas) = leader.take_deltas();
    drop(leader);
    record_output_starts(shared, starts);
    if deltas.is_empty() {
        return;
    }
    // Proposed without waiting, but in order with the results that follow; the result
    // of the proposal carries no information.
    if let Err(failure) = shared.propose_detached(&BatchCommand::AppendProgress(deltas)) {
        log::warn!("store: failed to record progress: {failure}.");
    }
}

fn record_output_starts(shared: &Arc<StoreShared>, starts: Vec<OutputStart>) {
    if starts.is_empty() {
        return;
    }
    if let Err(failure) = shared.propose_detached(&BatchCommand::BeginOutput(starts)) {
        log::warn!("store: failed to record which items begin anew: {failure}.");
    }
}

/// Commits the result of a completed item.
async fn complete(
    shared: &Arc<StoreShared>,
    key: ItemKey,
    progress: &RunProgress,
    elapsed: Option<Duration>,
) {
    let (start, delta) = {
        let mut leader = shared.leader();
        leader.schedule.mark_committing(key);
        let start = leader.schedule.take_output_start(key);
        (start, leader.schedule.take_delta(key, progress))
    };
    record_output_starts(shared, start.into_iter().collect());
    if let Some(delta) = delta {
        let command = BatchCommand::Complete(delta);
        commit_result(shared, key, &command, elapsed).await;
    }
}

/// Commits that an item is given up.
async fn give_up(shared: &Arc<StoreShared>, key: ItemKey, item: &ScheduledItem) {
    shared.leader().schedule.mark_committing(key);
    let command = BatchCommand::GiveUp {
        job: item.open.job_spec.id.clone(),
        item: item.open.item,
    };
    commit_result(shared, key, &command, None).await;
}

async fn commit_result(
    shared: &Arc<StoreShared>,
    key: ItemKey,
    command: &BatchCommand,
    elapsed: Option<Duration>,
) {
    match shared.propose(command).await {
        Ok(BatchAnswer::NoEffect) => {
            let mut leader = shared.leader();
            if leader.schedule.get(key).is_some() {
                // The state in memory diverges from the replicated state, so the
                // leadership begins again from the latter.
                log::warn!("store: a result does not match the recorded state of its item.");
                leader.end();
            }
        }
        Ok(_) => shared.leader().schedule.remove(key, elapsed),
        Err(failure) => {
            // The next leader runs the item again.
            log::warn!("store: failed to record a result: {failure}.");
        }
    }
}

fn give_up_expired(shared: &Arc<StoreShared>) {
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

/// Removes ended jobs after their retention time. The time counts from when this leader
/// first saw the job.
async fn remove_old_jobs(shared: &Arc<StoreShared>) {
    let now = shared.now();
    let is_due = {
        let mut leader = shared.leader();
        let is_due = leader.next_cleanup_at.is_none_or(|at| now >= at);
        if is_due {
            leader.next_cleanup_at = Some(now + CLEANUP_INTERVAL);
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
        leader.first_seen_at.retain(|job, _| known.contains(job));
        let mut old = Vec::new();
        for (job, is_open) in jobs {
            let first_seen_at = *leader.first_seen_at.entry(job.clone()).or_insert(now);
            if !is_open
                && now.saturating_duration_since(first_seen_at) > retention + CLEANUP_INTERVAL
            {
                old.push(job);
            }
        }
        old
    };
    for job in old {
        if let Err(failure) = shared.propose(&BatchCommand::Remove { job }).await {
            log::warn!("store: failed to remove an expired job: {failure}.");
        }
    }
}

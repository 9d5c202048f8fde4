//! Tests of the batch state machine and the item schedule.

use chicoryladder_batch::{
    BatchAnswer, BatchCommand, BatchMachine, ItemOutcome, ItemSchedule, ItemSpec, JobOwner,
    JobSpec, OpenItem, ProgressDelta, RequestTerms, RunProgress, SlotNeeds, SubmitAnswer,
};
use chicoryladder_consensus::{StateMachine, snapshot_bytes};
use chicoryladder_types::{LogIndex, RouteName, ServiceName, SoftwareVersion, TeamName};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn item(id: &str, tokens: u64) -> ItemSpec {
    ItemSpec {
        id: id.to_owned(),
        path: "/digest/1".to_owned(),
        headers: Vec::new(),
        body: id.as_bytes().to_vec(),
        tokens,
    }
}

fn job(id: &str, items: &[&str]) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: Some(TeamName::try_from("curepipe").expect("it is valid")),
        route: RouteName::try_from("digest").expect("it is valid"),
        host: "walks.example".to_owned(),
        service: ServiceName::try_from("engine").expect("it is valid"),
        rank: 0,
        due_in: Duration::from_secs(18),
        give_up_in: Duration::from_secs(60),
        max_attempts: 3,
        items: items.iter().map(|id| item(id, 100)).collect(),
    }
}

#[derive(Default)]
struct TestGroup {
    machine: BatchMachine,
    index: u64,
}

impl TestGroup {
    fn run(&mut self, command: &BatchCommand) -> BatchAnswer {
        self.index += 1;
        let command = postcard::to_stdvec(command).expect("it is valid");
        let answer = self.machine.apply(LogIndex(self.index), &command);
        postcard::from_bytes(&answer).expect("it is valid")
    }

    fn submit(&mut self, job: JobSpec, waiting_tokens_max: u64) -> SubmitAnswer {
        let job = Box::new(job);
        match self.run(&BatchCommand::Submit {
            job,
            waiting_tokens_max,
        }) {
            BatchAnswer::Submitted(answer) => answer,
            other => panic!("unexpected answer {other:?}"),
        }
    }

    fn finish(&mut self, job: &str, item: u32, text: &str) -> BatchAnswer {
        self.run(&BatchCommand::Complete(delta(job, item, None, text, 1)))
    }

    fn end(&mut self, job: &str) -> BatchAnswer {
        self.run(&BatchCommand::End {
            job: job.to_owned(),
            team: Some(team()),
        })
    }

    fn texts(&self, job: &str, after: u64) -> Vec<String> {
        let page = self
            .machine
            .page(Some(&team()), job, after, usize::MAX)
            .expect("it is valid");
        let text = |outcome: &ItemOutcome| match outcome {
            ItemOutcome::Completed(text) => text.to_string(),
            ItemOutcome::GivenUp => "given up".to_owned(),
        };
        page.results
            .iter()
            .map(|result| text(&result.outcome))
            .collect()
    }
}

fn delta(job: &str, item: u32, after: Option<u64>, text: &str, last: u64) -> ProgressDelta {
    ProgressDelta {
        job: job.to_owned(),
        item,
        after,
        text: text.to_owned(),
        last_event: Some(last),
    }
}

fn team() -> TeamName {
    TeamName::try_from("curepipe").expect("it is valid")
}

#[test]
fn a_job_is_accepted_once_however_often_it_is_submitted() {
    let mut group = TestGroup::default();
    assert_eq!(
        group.submit(job("a", &["1", "2"]), 0),
        SubmitAnswer::Accepted
    );
    assert_eq!(
        group.submit(job("a", &["1", "2"]), 0),
        SubmitAnswer::Repeated
    );
    assert_eq!(group.machine.open_items().len(), 2);
}

#[test]
fn the_first_result_of_an_item_keeps_its_position() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2", "3"]), 0);
    assert_eq!(group.finish("a", 2, "third"), BatchAnswer::Done);
    assert_eq!(group.finish("a", 0, "first"), BatchAnswer::Done);
    assert_eq!(group.finish("a", 2, "other"), BatchAnswer::NoEffect);
    assert_eq!(group.texts("a", 0), ["third", "first"]);
    assert_eq!(group.texts("a", 1), ["first"]);
    assert_eq!(group.texts("a", 9), Vec::<String>::new());
}

#[test]
fn a_page_holds_at_least_one_result() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2"]), 0);
    group.finish("a", 0, "a long text");
    group.finish("a", 1, "another");
    let page = group
        .machine
        .page(Some(&team()), "a", 0, 1)
        .expect("it is valid");
    assert_eq!((page.total, page.next, page.results.len()), (2, 1, 1));
}

#[test]
fn waiting_tokens_are_limited_per_team_and_route() {
    let mut group = TestGroup::default();
    assert_eq!(
        group.submit(job("a", &["1", "2"]), 300),
        SubmitAnswer::Accepted
    );
    assert_eq!(
        group.submit(job("b", &["1", "2"]), 300),
        SubmitAnswer::NoRoom
    );
    // A refused job is evaluated again when it is resubmitted.
    group.finish("a", 0, "done");
    assert_eq!(
        group.submit(job("b", &["1", "2"]), 300),
        SubmitAnswer::Accepted
    );
    // The remaining items of an ended job no longer count as waiting.
    group.end("b");
    assert_eq!(
        group.submit(job("c", &["1", "2"]), 300),
        SubmitAnswer::Accepted
    );
}

#[test]
fn a_job_is_not_visible_to_other_teams() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1"]), 0);
    let other = Some(TeamName::try_from("flic").expect("it is valid"));
    assert!(group.machine.page(other.as_ref(), "a", 0, 1000).is_none());
    assert!(group.machine.item_spec(other.as_ref(), "a", "1").is_none());
    let end = BatchCommand::End {
        job: "a".to_owned(),
        team: other,
    };
    assert_eq!(group.run(&end), BatchAnswer::NoEffect);
    assert_eq!(group.machine.open_items().len(), 1);
}

#[test]
fn an_item_specification_is_retained_until_its_result_is_committed() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2"]), 0);
    let body = |group: &TestGroup, id| {
        group
            .machine
            .item_spec(Some(&team()), "a", id)
            .map(|s| s.body.clone())
    };
    assert_eq!(body(&group, "1"), Some(b"1".to_vec()));
    group.finish("a", 0, "done");
    assert_eq!(body(&group, "1"), None);
    assert_eq!(body(&group, "2"), Some(b"2".to_vec()));
}

/// A new leader resumes from the recorded output of runs under the previous leader.
#[test]
fn recorded_progress_is_continued_and_never_duplicated() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2"]), 0);
    let first = vec![
        delta("a", 0, None, "one\ntwo", 1),
        delta("a", 1, None, "x", 0),
    ];
    group.run(&BatchCommand::AppendProgress(first));
    // A repeated delta, or one after a gap, has no effect.
    group.run(&BatchCommand::AppendProgress(vec![delta(
        "a", 0, None, "one\ntwo", 1,
    )]));
    group.run(&BatchCommand::AppendProgress(vec![delta(
        "a",
        0,
        Some(2),
        "\nfour",
        3,
    )]));
    let open = group.machine.open_items();
    assert_eq!(open[0].progress.text, "one\ntwo");
    assert_eq!(open[0].progress.last_event, Some(1));
    let gap = BatchCommand::Complete(delta("a", 0, Some(4), "\nsix", 5));
    assert_eq!(group.run(&gap), BatchAnswer::NoEffect);
    let rest = BatchCommand::Complete(delta("a", 0, Some(1), "\nthree", 2));
    assert_eq!(group.run(&rest), BatchAnswer::Done);
    assert_eq!(group.texts("a", 0), ["one\ntwo\nthree"]);
}

#[test]
fn a_schedule_records_each_event_once() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("a", 30), now);
    let key = schedule
        .start_next(now, &engine(), &version())
        .expect("it is valid");
    let output = |text: &str, last| RunProgress {
        text: text.to_owned(),
        last_event: Some(last),
    };
    let first = schedule
        .take_delta(key, &output("one", 0))
        .expect("it is valid");
    assert_eq!((first.after, first.text.as_str()), (None, "one"));
    let second = schedule
        .take_delta(key, &output("one\ntwo", 1))
        .expect("it is valid");
    assert_eq!((second.after, second.text.as_str()), (Some(0), "\ntwo"));
    schedule.mark_stopped(key, output("one\ntwo\nthree", 2));
    assert_eq!(schedule.unrecorded(), [key]);
}

#[test]
fn an_ended_job_keeps_its_results_and_accepts_no_more() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2"]), 0);
    group.finish("a", 0, "done");
    assert_eq!(group.end("a"), BatchAnswer::Done);
    assert_eq!(group.end("a"), BatchAnswer::Done);
    assert_eq!(group.finish("a", 1, "late"), BatchAnswer::NoEffect);
    assert_eq!(group.texts("a", 0), ["done"]);
    assert!(group.machine.open_items().is_empty());
}

#[test]
fn a_snapshot_holds_the_complete_state() {
    let mut group = TestGroup::default();
    group.submit(job("a", &["1", "2"]), 0);
    group.finish("a", 1, "done");
    group.run(&BatchCommand::CountFailure {
        job: "a".to_owned(),
        item: 0,
    });
    let snapshot = snapshot_bytes(&group.machine).expect("it is valid");
    let mut restored = BatchMachine::default();
    restored
        .restore(&mut snapshot.as_slice())
        .expect("it is valid");
    assert_eq!(restored, group.machine);
    assert_eq!(restored.open_items()[0].failures, 1);
}

fn engine() -> ServiceName {
    ServiceName::try_from("engine").expect("it is valid")
}

fn version() -> SoftwareVersion {
    SoftwareVersion::from("v1")
}

fn open(job_id: &str, due_in_s: u64) -> OpenItem {
    let mut job_spec = job(job_id, &[]);
    job_spec.due_in = Duration::from_secs(due_in_s);
    OpenItem {
        job_spec: Arc::new(job_spec),
        item: 0,
        spec: Arc::new(item("1", 100)),
        failures: 0,
        progress: RunProgress::default(),
        version: None,
    }
}

fn start_next_job(schedule: &mut ItemSchedule, now: Instant) -> String {
    let key = schedule
        .start_next(now, &engine(), &version())
        .expect("it is valid");
    schedule
        .get(key)
        .expect("it is valid")
        .open
        .job_spec
        .id
        .clone()
}

/// Guards against a slot that goes to the most urgent item although its job may not run on the
/// server, and against one that is given to no item for that reason.
#[test]
fn a_slot_goes_to_the_most_urgent_item_that_is_allowed_on_its_server() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("elsewhere", 10), now);
    schedule.add(open("allowed", 30), now);
    let next = |forbidden: &[&str]| {
        let is_allowed = |open: &OpenItem| !forbidden.contains(&open.job_spec.id.as_str());
        let key = schedule.next_allowed(now, &engine(), &version(), is_allowed)?;
        Some(schedule.get(key)?.open.job_spec.id.clone())
    };
    assert_eq!(next(&[]).as_deref(), Some("elsewhere"));
    assert_eq!(next(&["elsewhere"]).as_deref(), Some("allowed"));
    assert_eq!(next(&["elsewhere", "allowed"]), None);
}

/// More items are waiting than can be completed in time.
#[test]
fn items_that_can_meet_their_target_run_before_those_that_cannot() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("late", 1), now);
    schedule.add(open("relaxed", 30), now);
    schedule.add(open("urgent", 10), now);
    assert_eq!(start_next_job(&mut schedule, now), "urgent");
    assert_eq!(start_next_job(&mut schedule, now), "relaxed");
    assert_eq!(start_next_job(&mut schedule, now), "late");
    assert!(schedule.start_next(now, &engine(), &version()).is_none());
}

#[test]
fn a_stopped_item_resumes_from_its_output() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("a", 30), now);
    let key = schedule
        .start_next(now, &engine(), &version())
        .expect("it is valid");
    let progress = RunProgress {
        text: "one\ntwo".to_owned(),
        last_event: Some(1),
    };
    schedule.mark_stopped(key, progress.clone());
    let again = schedule
        .start_next(now, &engine(), &version())
        .expect("it is valid");
    assert_eq!(schedule.get(again).expect("it is valid").progress, progress);
}

#[test]
fn the_backoff_of_an_item_grows_with_consecutive_failures() {
    let mut now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("a", 30), now);
    let mut backoffs = Vec::new();
    for _ in 0..3 {
        let key = schedule
            .start_next(now, &engine(), &version())
            .expect("it is valid");
        schedule.mark_failed(key, RunProgress::default(), now);
        let retry_at = schedule.next_retry_at(now).expect("it is valid");
        backoffs.push(retry_at - now);
        assert!(schedule.start_next(now, &engine(), &version()).is_none());
        now = retry_at;
    }
    assert!(
        backoffs.is_sorted() && backoffs[0] < backoffs[2],
        "{backoffs:?}"
    );
}

#[test]
fn an_item_is_given_up_only_after_its_time_limit() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    schedule.add(open("a", 30), now);
    assert!(schedule.expired(now + Duration::from_secs(59)).is_empty());
    assert_eq!(schedule.expired(now + Duration::from_secs(60)).len(), 1);
}

/// Guards against an item that is never started again after servers crashed under it.
#[test]
fn an_item_under_which_servers_crashed_is_started_until_its_time_limit() {
    let submitted_at = Instant::now();
    let mut now = submitted_at;
    let mut schedule = ItemSchedule::default();
    schedule.add(open("a", 30), now);
    let mut starts = 0;
    while schedule.expired(now).is_empty() {
        let key = schedule
            .start_next(now, &engine(), &version())
            .expect("a startable item");
        starts += 1;
        schedule.mark_failed(key, RunProgress::default(), now);
        let retry_at = schedule.next_retry_at(now).expect("a backoff");
        assert!(retry_at - now <= Duration::from_secs(2));
        now = retry_at;
    }
    assert!(now - submitted_at >= Duration::from_secs(60), "{starts}");
}

/// Appends an event to the output of an item.
fn with_event(progress: &RunProgress, number: u64) -> RunProgress {
    RunProgress {
        text: format!("{}{number};", progress.text),
        last_event: Some(number),
    }
}

/// Guards against an item whose recorded output was begun by another version than the one
/// that completes it.
#[test]
fn an_item_that_begins_anew_replaces_its_recorded_output() {
    let (now, v2) = (Instant::now(), SoftwareVersion::from("v2"));
    let mut group = TestGroup::default();
    let mut schedule = ItemSchedule::default();
    group.submit(job("j1", &["1"]), 0);
    let item = group.machine.open_items().remove(0);
    schedule.add(item, now);
    let key = schedule
        .start_next(now, &engine(), &version())
        .expect("an item");
    let written = with_event(&RunProgress::default(), 0);
    let starts = schedule.take_output_start(key).into_iter().collect();
    group.run(&BatchCommand::BeginOutput(starts));
    let delta = schedule.take_delta(key, &written).expect("a delta");
    group.run(&BatchCommand::AppendProgress(vec![delta]));
    assert_eq!(group.machine.open_items()[0].version, Some(version()));
    schedule.mark_stopped(key, written);
    // The item waits for its version until that is gone.
    assert!(schedule.start_next(now, &engine(), &v2).is_none());
    schedule.discard_output(key);
    assert_eq!(schedule.start_next(now, &engine(), &v2), Some(key));
    schedule.mark_committing(key);
    let whole = with_event(&RunProgress::default(), 0);
    let start = schedule.take_output_start(key).expect("a start");
    group.run(&BatchCommand::BeginOutput(vec![start]));
    let delta = schedule.take_delta(key, &whole).expect("a delta");
    assert_eq!(delta.after, None);
    let answer = group.run(&BatchCommand::Complete(delta));
    assert_eq!(answer, BatchAnswer::Done);
    let page = group
        .machine
        .page(Some(&team()), "j1", 0, 1_000)
        .expect("a page");
    assert_eq!(page.results[0].outcome, ItemOutcome::Completed("0;".into()));
}

/// Guards against an item that no other version may go on with although all servers of its
/// version fail.
#[test]
fn an_item_that_fails_again_and_again_begins_anew() {
    let (mut now, v2) = (Instant::now(), SoftwareVersion::from("v2"));
    let mut schedule = ItemSchedule::default();
    schedule.add(open("j1", 60), now);
    let mut output = with_event(&RunProgress::default(), 0);
    let key = schedule
        .start_next(now, &engine(), &version())
        .expect("an item");
    schedule.mark_stopped(key, output.clone());
    for _ in 0..8 {
        assert!(schedule.start_next(now, &engine(), &v2).is_none());
        now += Duration::from_secs(3);
        assert_eq!(schedule.start_next(now, &engine(), &version()), Some(key));
        output = schedule.get(key).expect("an item").progress.clone();
        schedule.mark_failed(key, output.clone(), now);
    }
    now += Duration::from_secs(3);
    assert_eq!(schedule.start_next(now, &engine(), &v2), Some(key));
}

/// Guards against a host that cannot read the snapshots of an earlier build.
#[test]
fn snapshots_without_versions_are_read() {
    let mut group = TestGroup::default();
    group.submit(job("j1", &["1"]), 0);
    let snapshot = snapshot_bytes(&group.machine).expect("a snapshot");
    // An empty map of versions is one byte.
    let mut earlier = &snapshot[..snapshot.len() - 1];
    let mut restored = BatchMachine::default();
    restored.restore(&mut earlier).expect("a snapshot");
    assert_eq!(restored, group.machine);
}

/// Guards against an item that runs on a server of another service, since the slot was
/// requested for another item.
#[test]
fn a_slot_goes_to_an_item_of_its_service() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    let mut other = open("other", 10);
    Arc::make_mut(&mut other.job_spec).service = ServiceName::try_from("app").expect("valid");
    schedule.add(other, now);
    schedule.add(open("engine", 60), now);
    let key = schedule.start_next(now, &engine(), &version());
    let item = schedule.get(key.expect("an item")).expect("an item");
    assert_eq!(item.open.job_spec.id, "engine");
    assert!(schedule.start_next(now, &engine(), &version()).is_none());
}

/// A job of a public route is stored without an owner. It was accepted, but every key of a
/// team was answered that there is no such job.
#[test]
fn a_job_without_an_owner_is_visible_to_every_team() {
    let mut group = TestGroup::default();
    let unowned = JobSpec {
        team: None,
        ..job("j", &["a"])
    };
    group.submit(unowned, 0);
    group.submit(job("owned", &["a"]), 0);
    let machine = &group.machine;
    for caller in [None, Some(&team())] {
        assert!(machine.page(caller, "j", 0, usize::MAX).is_some());
        assert!(machine.item_spec(caller, "j", "a").is_some());
    }
    assert_eq!(machine.owner("j"), Some(JobOwner::Anyone));
    assert_eq!(machine.owner("owned"), Some(JobOwner::Team(team())));
    assert_eq!(machine.owner("other"), None);
    assert!(machine.page(None, "owned", 0, usize::MAX).is_none());
}

/// A job that an earlier build has accepted may name any time. Its deadline could not be
/// computed, so that every leader of the job group failed as it began.
#[test]
fn a_job_without_a_computable_deadline_is_scheduled() {
    let mut schedule = ItemSchedule::default();
    let now = Instant::now();
    let mut item = open("endless", 18);
    item.job_spec = Arc::new(JobSpec {
        due_in: Duration::MAX,
        give_up_in: Duration::MAX,
        ..job("endless", &[])
    });
    schedule.add(item, now);
    assert_eq!(schedule.ready_count(now), 1);
}

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("it is valid")
}

/// A schedule with two items of one job, the first of which has output.
fn schedule_with_output(now: Instant) -> (ItemSchedule, JobSpec) {
    let job_spec = job("moved", &["a", "b"]);
    let mut schedule = ItemSchedule::default();
    let outputs = [Some(4), None];
    for ((spec, number), last_event) in job_spec.items.iter().zip(0..).zip(outputs) {
        let text = last_event.map_or_else(String::new, |_| "some text".to_owned());
        let open = OpenItem {
            job_spec: Arc::new(job_spec.clone()),
            item: number,
            spec: Arc::new(spec.clone()),
            failures: 0,
            progress: RunProgress { text, last_event },
            version: Some(version()),
        };
        schedule.add(open, now);
    }
    (schedule, job_spec)
}

fn next_item(schedule: &ItemSchedule, now: Instant, name: &str) -> Option<String> {
    let key = schedule.next_for_server(now, &service(name), &version())?;
    Some(schedule.get(key)?.open.spec.id.clone())
}

/// Guards against items that wait for ever for a service whose servers have left.
#[test]
fn items_without_output_move_from_an_empty_service() {
    let now = Instant::now();
    let (mut schedule, _) = schedule_with_output(now);
    for _ in 0..2 {
        let key = schedule.next_for_server(now, &service("engine"), &version());
        schedule.move_to(key.expect("an item"), &service("other"));
    }
    assert_eq!(next_item(&schedule, now, "engine"), None);
    assert!(next_item(&schedule, now, "other").is_some());
    assert_eq!(schedule.ready_count(now), 2);
}

/// Guards against texts of which two services wrote a part each.
#[test]
fn an_item_that_leaves_an_empty_service_begins_anew() {
    let now = Instant::now();
    let (mut schedule, _) = schedule_with_output(now);
    let key = schedule.next_for_server(now, &service("engine"), &version());
    let key = key.expect("an item");
    schedule.move_to(key, &service("other"));
    let moved = schedule.get(key).expect("the item");
    assert_eq!(moved.progress, RunProgress::default());
    assert_eq!(moved.service, service("other"));
    schedule.start(key, &version());
    let start = schedule.take_output_start(key);
    assert!(start.is_some(), "the recorded output is discarded, too");
}

/// Guards against new leaders that go on with a text at a service that did not write it.
#[test]
fn a_new_leader_begins_output_of_moved_routes_anew() {
    let now = Instant::now();
    let (mut schedule, _) = schedule_with_output(now);
    schedule.discard_unattributed(|job| Some(job.service.clone()));
    let key = schedule.next_key(now).expect("an item");
    assert_eq!(schedule.get(key).expect("it").progress.last_event, Some(4));
    schedule.discard_unattributed(|_| Some(service("other")));
    assert_eq!(schedule.get(key).expect("it").progress.last_event, None);
}

/// Guards against a run of an earlier leadership that ends late, and whose output becomes that of
/// another item under the next leadership of the same process.
#[test]
fn output_of_an_earlier_schedule_reaches_no_item_of_the_next() {
    let now = Instant::now();
    let mut group = TestGroup::default();
    group.submit(job("j1", &["1"]), 0);
    let mut schedule = ItemSchedule::default();
    schedule.add(open("j0", 60), now);
    let late = schedule.start_next(now, &engine(), &version());
    let late = late.expect("an item");
    schedule.clear();
    let mut next = schedule;
    next.add(group.machine.open_items().remove(0), now);
    next.mark_failed(late, with_event(&RunProgress::default(), 0), now);
    let later = now + Duration::from_secs(3);
    let key = next.start_next(later, &engine(), &version());
    let key = key.expect("an item");
    let item = next.get(key).expect("an item");
    assert_eq!(item.open.job_spec.id, "j1");
    assert_eq!(item.progress, RunProgress::default());
}

/// Guards against jobs that are accepted or ended while a leadership begins: the former were never
/// run, the latter run all the same.
#[test]
fn jobs_that_change_while_a_leadership_begins_are_scheduled_as_they_are() {
    let now = Instant::now();
    let mut group = TestGroup::default();
    for id in ["read", "both", "ended"] {
        group.submit(job(id, &["1", "2"]), 0);
    }
    let items = group.machine.open_items();
    let mut schedule = ItemSchedule::default();
    let added = items.iter().filter(|item| item.job_spec.id == "both");
    for item in added {
        schedule.add(item.clone(), now);
    }
    schedule.add(open("added", 60), now);
    let ended = HashSet::from(["ended".to_owned()]);
    schedule.load(items, &ended, now);
    assert_eq!(schedule.ready_count(now), 2 + 2 + 1);
    for id in ["read", "both", "added"] {
        assert!(schedule.contains_job(id), "{id}");
    }
    assert!(!schedule.contains_job("ended"));
}

/// The maximum number of requested slots in the tests of what is requested.
const REQUESTED_MAX: usize = 12;

/// Requests slots once more; `paused` is a service without servers. Returns the jobs of the items.
fn request_slots(
    schedule: &ItemSchedule,
    requested: &mut HashMap<chicoryladder_batch::ItemKey, SlotNeeds>,
    paused: Option<&str>,
    now: Instant,
) -> Vec<String> {
    let terms = RequestTerms {
        requested,
        requested_max: REQUESTED_MAX,
        homes: &|_| None,
        memory: &|_| Some(1_000),
        is_paused: &|needs| Some(needs.service.to_string().as_str()) == paused,
    };
    let requests = schedule.next_requests(now, &terms);
    let job_of = |key| schedule.get(key).expect("an item").open.job_spec.id.clone();
    let jobs = requests.iter().map(|(key, _)| job_of(*key)).collect();
    requested.extend(requests);
    jobs
}

fn open_at(job_id: &str, service_name: &str, rank: u32, tokens: u64) -> OpenItem {
    let mut job_spec = job(job_id, &[]);
    job_spec.service = service(service_name);
    job_spec.rank = rank;
    OpenItem {
        job_spec: Arc::new(job_spec),
        spec: Arc::new(item("1", tokens)),
        ..open(job_id, 18)
    }
}

/// Items of a service without servers, which are refused again and again, kept items of lower
/// rank from the idle servers of another service.
#[test]
fn slots_are_requested_for_each_service_on_its_own() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    for _ in 0..14 {
        schedule.add(open_at("stuck", "gone", 0, 100), now);
    }
    for _ in 0..14 {
        schedule.add(open_at("sound", "engine", 1, 100), now);
    }
    let mut requested = HashMap::new();
    let jobs = request_slots(&schedule, &mut requested, None, now);
    let count = |jobs: &[String], name: &str| jobs.iter().filter(|job| *job == name).count();
    assert_eq!(count(&jobs, "stuck"), REQUESTED_MAX);
    assert_eq!(count(&jobs, "sound"), REQUESTED_MAX);
    assert!(request_slots(&schedule, &mut requested, None, now).is_empty());
    // All are refused, and none is requested for the service for a while.
    requested.clear();
    let jobs = request_slots(&schedule, &mut requested, Some("gone"), now);
    assert_eq!(
        (count(&jobs, "stuck"), count(&jobs, "sound")),
        (0, REQUESTED_MAX)
    );
}

/// Items whose output only servers of a full version may go on with kept others from the slots of
/// the servers of another version.
#[test]
fn slots_are_requested_for_each_required_version_on_its_own() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    for _ in 0..14 {
        let begun = OpenItem {
            progress: RunProgress {
                text: "one".to_owned(),
                last_event: Some(0),
            },
            version: Some(SoftwareVersion::from("v2")),
            ..open_at("begun", "engine", 0, 100)
        };
        schedule.add(begun, now);
        schedule.add(open_at("new", "engine", 1, 100), now);
    }
    let jobs = request_slots(&schedule, &mut HashMap::new(), None, now);
    assert_eq!(
        jobs.iter().filter(|job| *job == "new").count(),
        REQUESTED_MAX
    );
}

/// Items that the memory of no server holds kept all others from idle servers.
#[test]
fn no_slots_are_requested_for_items_that_no_memory_holds() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    for _ in 0..14 {
        schedule.add(open_at("large", "engine", 0, 1_001), now);
    }
    schedule.add(open_at("usual", "engine", 1, 1_000), now);
    let jobs = request_slots(&schedule, &mut HashMap::new(), None, now);
    assert_eq!(jobs, ["usual"]);
}

/// Items that wait for more than others, such as memory, had their slots requested again before
/// any others.
#[test]
fn slots_are_requested_for_others_after_a_refusal() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    for _ in 0..14 {
        schedule.add(open_at("first", "engine", 0, 100), now);
        schedule.add(open_at("second", "engine", 1, 100), now);
    }
    let mut requested = HashMap::new();
    request_slots(&schedule, &mut requested, None, now);
    let until = now + Duration::from_secs(2);
    for key in requested.keys() {
        schedule.defer_request(*key, until);
    }
    requested.clear();
    let jobs = request_slots(&schedule, &mut requested, None, now);
    let count = |name: &str| jobs.iter().filter(|job| *job == name).count();
    assert_eq!((count("first"), count("second")), (2, REQUESTED_MAX - 2));
    assert_eq!(
        request_slots(&schedule, &mut HashMap::new(), None, until)[0],
        "first"
    );
}

/// Guards against more requests than there are items to run.
#[test]
fn no_more_slots_are_requested_than_items_are_ready() {
    let now = Instant::now();
    let mut schedule = ItemSchedule::default();
    for _ in 0..3 {
        schedule.add(open_at("few", "engine", 0, 100), now);
    }
    let mut requested = HashMap::new();
    assert_eq!(request_slots(&schedule, &mut requested, None, now).len(), 3);
    schedule
        .start_next(now, &engine(), &version())
        .expect("an item");
    schedule.add(open_at("late", "engine", 0, 100), now);
    // The slot of the item that runs by now goes to the new one.
    assert!(request_slots(&schedule, &mut requested, None, now).is_empty());
}

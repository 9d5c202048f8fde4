//! One run of a batch item on a backend server.

use crate::connection_pool::ConnectionEnd;
use crate::event_stream::{EventParser, announces_events};
use crate::ports::RunContext;
use crate::server_run::{ServerRequest, ServerRunner};
use crate::slot_client::SlotLease;
use chicoryladder_batch::{RunProgress, ScheduledItem};
use chicoryladder_broker::{ExpectedAnswer, RunOutcome};
use chicoryladder_gateway::{BodyFraming, is_malformed, may_end_by_time_limit};
use chicoryladder_types::prelude::*;
use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The maximum silence of an active run; an engine emits an event at every step.
const SILENCE_MAX: Duration = Duration::from_secs(3);

/// The time limit that a server is given for one run, after which the run is ended here, too. A
/// longer answer goes on in the next run: the end of a stream after its limit would not tell whether
/// the answer is whole, as servers may cut answers off at the limit.
const RUN_MAX: Duration = Duration::from_secs(60);

/// The maximum size of the output of an item, in bytes. Each store host keeps it in memory.
const OUTPUT_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The cause that is logged of a run that its time limit ended.
const LIMIT_CAUSE: &str = "the run reached its time limit";

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ItemEnd {
    /// The item is complete.
    Complete,
    /// The run was stopped, since its slot was needed for other work, or not started, since
    /// its server is leaving.
    Stopped,
    /// The run was interrupted; this does not count as a failure of the item.
    Broken,
    /// No event followed those of earlier runs, of which the last may be missing.
    Empty,
    /// The output exceeds the maximum size, so that a server which wrote it is faulty.
    Overlong,
    /// The server responded that the run failed.
    Failed,
    /// The server responded that the item can never succeed.
    Impossible,
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub(super) struct ItemRun {
    pub(super) end: ItemEnd,
    pub(super) progress: RunProgress,
    pub(super) cause: &'static str,
    /// What the decision on its slot expected, if it weighed the servers.
    pub(super) expected: Option<ExpectedAnswer>,
}

/// The progress of an active run, shared with the leader, which records it.
pub(super) type LiveProgress = Arc<Mutex<RunProgress>>;

/// Runs an item on the server of its slot, resuming after the recorded progress.
pub(super) async fn run_item(
    runner: &ServerRunner,
    item: &ScheduledItem,
    mut lease: SlotLease,
    live: LiveProgress,
    clock: &dyn ClockSource,
) -> ItemRun {
    let stop = lease.stop_signal();
    let started_at = clock.now();
    let mut reader = ItemReader {
        progress: live,
        parser: EventParser::default(),
    };
    let running = run(runner, item, &mut lease, &mut reader, started_at, clock);
    let (end, outcome, cause) = tokio::select! {
        ended = running => ended,
        () = stop.notified() => (ItemEnd::Stopped, RunOutcome::Stopped, "its slot was needed"),
        () = tokio::time::sleep(RUN_MAX) => {
            // Not the failure of the server.
            (ItemEnd::Broken, RunOutcome::Stopped, LIMIT_CAUSE)
        }
    };
    let expected = lease.expected;
    lease.end(outcome);
    ItemRun {
        end,
        progress: reader.progress().clone(),
        cause,
        expected,
    }
}

type RunEnd = (ItemEnd, RunOutcome, &'static str);

async fn run(
    runner: &ServerRunner,
    item: &ScheduledItem,
    lease: &mut SlotLease,
    reader: &mut ItemReader,
    started_at: Instant,
    clock: &dyn ClockSource,
) -> RunEnd {
    let request = server_request(runner, item, lease);
    let response = match runner.send(&request).await {
        Ok(response) => response,
        Err(failure) => {
            lease.record_load(failure.load);
            if failure.connection_lost {
                lease.record_crash();
            }
            let end = match failure.outcome {
                RunOutcome::Leaving => ItemEnd::Stopped,
                _ => ItemEnd::Broken,
            };
            return (end, failure.outcome, failure.cause);
        }
    };
    lease.record_first_answer(clock.now().saturating_duration_since(started_at));
    lease.record_load(response.head.load);
    lease.record_work(response.head.work, response.parts.status.is_success());
    let status = response.parts.status;
    if !status.is_success() {
        let (end, outcome) = match status {
            StatusCode::UNPROCESSABLE_ENTITY => (ItemEnd::Impossible, RunOutcome::Served),
            StatusCode::INTERNAL_SERVER_ERROR => (ItemEnd::Failed, RunOutcome::Errored),
            _ => (ItemEnd::Broken, RunOutcome::Errored),
        };
        return (end, outcome, "the server answered that it failed");
    }
    if !announces_events(&response.parts) {
        return run_broken("the answer is no stream of events");
    }
    let last_event_before = reader.progress().last_event;
    let mut body = response.body;
    loop {
        let frame = match tokio::time::timeout(SILENCE_MAX, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) if is_malformed(&error) => {
                return run_broken("the server broke off");
            }
            Ok(Some(Err(_))) => {
                if response.connection.close_broken(ConnectionEnd::Lost).await {
                    return path_lost();
                }
                lease.record_crash();
                return run_broken("the server broke off");
            }
            Ok(None) => break,
            Err(_) => {
                if response
                    .connection
                    .close_broken(ConnectionEnd::Silent)
                    .await
                {
                    return path_lost();
                }
                return run_broken("the server fell silent");
            }
        };
        lease.record_data(true, clock.now());
        if let Ok(chunk) = frame.into_data()
            && let Err(ended) = reader.read_chunk(&chunk)
        {
            return ended;
        }
    }
    if reader.parser.has_partial_event() || reader.progress().last_event.is_none() {
        if response.framing == BodyFraming::UntilClose {
            lease.record_crash();
        }
        return run_broken("the server ended within an event");
    }
    let elapsed = clock.now().saturating_duration_since(started_at);
    if may_end_by_time_limit(response.framing, RUN_MAX.saturating_sub(elapsed)) {
        return run_broken(LIMIT_CAUSE);
    }
    if reader.progress().last_event == last_event_before {
        let outcome = match response.framing {
            BodyFraming::Chunks => RunOutcome::Served,
            BodyFraming::Length | BodyFraming::UntilClose => RunOutcome::Failed,
        };
        return (ItemEnd::Empty, outcome, "the server ended without events");
    }
    response.connection.return_to_pool();
    lease.record_completion();
    (ItemEnd::Complete, RunOutcome::Served, "complete")
}

fn path_lost() -> RunEnd {
    let cause = "the path to the server was lost";
    (ItemEnd::Broken, RunOutcome::PathLost, cause)
}

fn run_broken(cause: &'static str) -> RunEnd {
    (ItemEnd::Broken, RunOutcome::Failed, cause)
}

fn server_request(runner: &ServerRunner, item: &ScheduledItem, lease: &SlotLease) -> ServerRequest {
    let spec = &item.open.spec;
    let context = RunContext {
        id: &spec.id,
        server: &lease.server,
        team: item.open.job_spec.team.as_ref(),
        time_left: RUN_MAX,
        last_event: item.progress.last_event,
    };
    let host = &item.open.job_spec.host;
    ServerRequest {
        server: lease.identity(),
        address: lease.address,
        id: spec.id.clone(),
        method: Method::POST,
        path: spec.path.clone(),
        headers: runner.dialect.item_headers(spec, host, &context),
        body: spec.body.clone().into(),
        at_most_once: false,
        continues_run: item.progress.last_event.is_some(),
        head_timeout: SILENCE_MAX,
        cold_limit: lease.cold_limit(),
        tunnel_filter: lease.tunnel_filter(&item.open.job_spec),
    }
}

/// Appends the events of a run to the progress of earlier runs.
struct ItemReader {
    progress: LiveProgress,
    parser: EventParser,
}

impl ItemReader {
    fn progress(&self) -> MutexGuard<'_, RunProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_chunk(&mut self, chunk: &[u8]) -> Result<(), RunEnd> {
        self.parser.push(chunk);
        while let Some(event) = self.parser.next_event() {
            let Some(id) = event.id else {
                return Err(run_broken("an event has no id"));
            };
            let mut progress = self.progress();
            let follows = |last: u64| last.checked_add(1) == Some(id);
            if !progress.last_event.is_none_or(follows) {
                return Err(run_broken("an event is missing or came twice"));
            }
            if progress.text.len() + event.data.len() >= OUTPUT_MAX_BYTES {
                let cause = "the output of the item is too long";
                return Err((ItemEnd::Overlong, RunOutcome::Failed, cause));
            }
            if progress.last_event.is_some() {
                progress.text.push('\n');
            }
            progress.text.push_str(&event.data);
            progress.last_event = Some(id);
        }
        if self.parser.exceeds_max_size() {
            return Err(run_broken("an event is too long"));
        }
        Ok(())
    }
}

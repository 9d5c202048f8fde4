//! Execution of one batch item on a backend server.

use super::lease_table::{LeaseValidity, QueuedItem};
use crate::ids::RandomIds;
use crate::online_attempt::{failed_outcome, reported_load};
use crate::prompt::named_model;
use crate::replica::ReplicaHandle;
use crate::routing::{
    DepartureReporter, RoutingHandle, ServerGrant, SlotRequest, WorkKind, WorkTarget,
};
use chicoryladder_gateway::{
    BodyFraming, ServerClient, ServerFailure, ServerRequest, check_whole_body, ends_with_marker,
    is_event_stream,
};
use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, BodyBytes, ItemRef, ItemRequest, JobCommand, JobOutcome,
};
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_settings::{RouteMatch, RouteTarget};
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServerLoad, headers};
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The longest time to wait for a slot before the item is returned to the queue.
const SLOT_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time for an attempt on a backend server.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);

/// The maximum size of a stored response body, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The result of an item that the dispatcher ran.
pub(super) struct FinishedRun {
    pub(super) attempt: ItemRef,
    /// How the attempt ended; `None` if the job state did not let it start.
    pub(super) report: Option<AttemptReport>,
    /// Whether no server had a free slot for the item.
    pub(super) found_no_slot: bool,
}

/// An item and the slot granted to it.
struct PlacedItem {
    request: ItemRequest,
    target: WorkTarget,
    grant: ServerGrant,
}

/// The end of an attempt, with its effect on the server's health and the load that the
/// server reported.
struct ItemExchange {
    end: AttemptEnd,
    outcome: ServerOutcome,
    load: Option<ServerLoad>,
}

impl ItemExchange {
    fn failed(end: AttemptEnd, outcome: ServerOutcome) -> Self {
        let load = None;
        Self { end, outcome, load }
    }
}

/// Why an item was not started.
enum StartRefusal {
    /// The item is no longer leased to this dispatcher.
    NotHeld,
    /// The attempt ends without having run.
    Ended(AttemptEnd),
}

/// Runs batch items; clones share all state.
#[derive(Clone)]
pub(crate) struct AttemptRunner {
    pub(crate) replica: ReplicaHandle,
    pub(crate) routing: RoutingHandle,
    pub(crate) client: ServerClient,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) ids: Arc<RandomIds>,
}

impl AttemptRunner {
    pub(super) async fn run(self, item: QueuedItem) -> FinishedRun {
        let attempt = item.grant.attempt;
        let mut validity = item.validity.clone();
        let placed = tokio::select! {
            placed = self.place(&item) => placed,
            () = revocation(&mut validity) => Err(yielded(RunVerdict::NotRun)),
        };
        let placed = match placed {
            Ok(placed) => placed,
            Err(end) => return finished(attempt, end),
        };
        match self.start(&item, &placed.grant.name).await {
            Ok(()) => finished(attempt, self.send(&item, placed).await),
            Err(StartRefusal::Ended(end)) => finished(attempt, end),
            Err(StartRefusal::NotHeld) => FinishedRun {
                attempt,
                report: None,
                found_no_slot: false,
            },
        }
    }

    /// Reads the item's request and waits for a slot.
    async fn place(&self, item: &QueuedItem) -> Result<PlacedItem, AttemptEnd> {
        let attempt = item.grant.attempt;
        let read = self.replica.item_request(attempt.job, attempt.item).await;
        // Another replica may still be able to read its records.
        let request = read
            .and_then(Result::ok)
            .ok_or(yielded(RunVerdict::NotRun))?;
        let target = self.target(&request).map_err(refused)?;
        let wanted = SlotRequest {
            target: target.clone(),
            kind: WorkKind::Batch {
                preemptible: item.grant.idempotent,
            },
            excluded: Vec::new(),
        };
        let deadline = self.clock.now() + SLOT_TIMEOUT;
        let grant = self.routing.acquire(wanted, deadline).await;
        Ok(PlacedItem {
            request,
            target,
            grant: grant.map_err(refused)?,
        })
    }

    /// Checks that the item may start: its lease must be valid, and the start of a
    /// non-idempotent item must be committed as well. That may take so long that the zone of
    /// the server is drained meanwhile.
    async fn start(&self, item: &QueuedItem, server: &ServerName) -> Result<(), StartRefusal> {
        let not_run = StartRefusal::Ended(yielded(RunVerdict::NotRun));
        if item.grant.idempotent {
            return if self.may_start(item) {
                Ok(())
            } else {
                Err(not_run)
            };
        }
        let command = JobCommand::StartItems {
            lease: item.lease,
            attempts: vec![item.grant.attempt],
            now: self.replica.wall(),
        };
        match self.replica.propose_jobs(command).await {
            Ok(JobOutcome::Started { attempts }) if attempts.is_empty() => {
                Err(StartRefusal::NotHeld)
            }
            Ok(JobOutcome::Started { .. })
                if !self.routing.is_drained(server.clone()).await && self.may_start(item) =>
            {
                Ok(())
            }
            // The start may be committed, but this host will not run the item.
            _ => Err(not_run),
        }
    }

    fn may_start(&self, item: &QueuedItem) -> bool {
        item.validity.borrow().allows_start(self.clock.now())
    }

    /// Sends the item and waits for the response, unless the item has to stop.
    async fn send(&self, item: &QueuedItem, placed: PlacedItem) -> AttemptEnd {
        let PlacedItem {
            request,
            target,
            mut grant,
        } = placed;
        let message = self.message(item.grant.attempt, &request, &target, &grant);
        let departure_reporter = grant.departure_reporter();
        let mut validity = item.validity.clone();
        let stopping = async {
            if !item.grant.idempotent {
                // Aborting a non-idempotent item would only hide its outcome.
                std::future::pending::<()>().await;
            }
            tokio::select! {
                () = grant.preempted() => {}
                () = revocation(&mut validity) => {}
            }
        };
        let exchanged = tokio::select! {
            exchanged = self.exchange(&message, &departure_reporter) => exchanged,
            () = stopping => return yielded(RunVerdict::MayHaveRun),
        };
        grant.load = exchanged.load;
        grant.outcome = exchanged.outcome;
        exchanged.end
    }

    async fn exchange(
        &self,
        message: &ServerRequest,
        departure_reporter: &DepartureReporter,
    ) -> ItemExchange {
        let answered = async {
            let sent = self.client.send(message).await;
            departure_reporter.read(message.id, &sent);
            match sent {
                Ok(response) => read_answer(response).await,
                Err(failure) => {
                    let outcome = failed_outcome(failure.reason);
                    ItemExchange::failed(failed(failure), outcome)
                }
            }
        };
        let result = tokio::time::timeout(ATTEMPT_TIMEOUT, answered).await;
        result.unwrap_or_else(|_| ItemExchange::failed(response_timeout(), ServerOutcome::Silent))
    }

    fn message(
        &self,
        attempt: ItemRef,
        request: &ItemRequest,
        target: &WorkTarget,
        grant: &ServerGrant,
    ) -> ServerRequest {
        ServerRequest {
            address: grant.address,
            id: self.ids.request(),
            requires_id: matches!(target, WorkTarget::Model(_)),
            method: Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::POST),
            path_and_query: request.url.clone(),
            headers: item_headers(attempt),
            body: request.body.0.clone().into(),
            first_byte_timeout: ATTEMPT_TIMEOUT,
        }
    }

    fn target(&self, item: &ItemRequest) -> Result<WorkTarget, RequestRefusal> {
        let view = self.replica.view();
        let RouteMatch::Found { route, .. } = view.document.match_route(&item.method, &item.url)
        else {
            let detail = format!("no route covers {} {}", item.method, item.url);
            return Err(RequestRefusal::not_run(RefusalReason::UnknownRoute, detail));
        };
        match &route.target {
            RouteTarget::Model(model) => Ok(WorkTarget::Model(model.clone())),
            RouteTarget::AnyModel => named_model(item.body.as_slice()).map(WorkTarget::Model),
            RouteTarget::Service(service) => Ok(WorkTarget::Service(service.clone())),
        }
    }
}

/// Completes once the lease is revoked.
async fn revocation(validity: &mut watch::Receiver<LeaseValidity>) {
    if validity
        .wait_for(|validity| validity.revoked)
        .await
        .is_err()
    {
        // The dispatcher has dropped the lease without revoking it.
        std::future::pending::<()>().await;
    }
}

fn finished(attempt: ItemRef, end: AttemptEnd) -> FinishedRun {
    let found_no_slot = matches!(
        end,
        AttemptEnd::Refused {
            verdict: RunVerdict::NotRun,
            reason: RefusalReason::NoServer | RefusalReason::DeadlineUnmet,
            ..
        }
    );
    FinishedRun {
        attempt,
        report: Some(AttemptReport { attempt, end }),
        found_no_slot,
    }
}

fn yielded(verdict: RunVerdict) -> AttemptEnd {
    AttemptEnd::Yielded { verdict }
}

fn refused(refusal: RequestRefusal) -> AttemptEnd {
    AttemptEnd::Refused {
        verdict: refusal.verdict,
        reason: refusal.reason,
        detail: refusal.detail,
    }
}

fn failed(failure: ServerFailure) -> AttemptEnd {
    let reason = match failure.reason {
        RetryReason::ResponseMismatched => RefusalReason::ResponseMismatched,
        RetryReason::ServerSilent => RefusalReason::ServerSilent,
        RetryReason::ConnectFailed
        | RetryReason::ConnectionLost
        | RetryReason::ServerRefused
        | RetryReason::ServerCrashed => RefusalReason::ServerFailed,
    };
    AttemptEnd::Refused {
        verdict: failure.verdict,
        reason,
        detail: failure.detail,
    }
}

fn response_timeout() -> AttemptEnd {
    refused(RequestRefusal::new(
        RefusalReason::ServerSilent,
        RunVerdict::MayHaveRun,
        "the backend server sent no whole answer in time",
    ))
}

/// The header fields of an item's request. The idempotency key is the same for all
/// attempts of an item, so that a backend server can recognise a retry.
fn item_headers(attempt: ItemRef) -> HeaderMap {
    let mut fields = HeaderMap::new();
    let kind = HeaderValue::from_static("application/json");
    fields.insert(CONTENT_TYPE, kind);
    let key = format!("{}-{}", attempt.job, attempt.item);
    if let Ok(key) = HeaderValue::from_str(&key) {
        fields.insert(headers::IDEMPOTENCY_KEY, key);
    }
    fields
}

/// Checks a body that was read to its end without an error. A server may end a stream in
/// order before it is complete, at a time limit of its own for example.
fn check_answer(framing: BodyFraming, parts: &Parts, body: &[u8]) -> Result<(), &'static str> {
    check_whole_body(framing, &parts.headers, body)?;
    let needs_marker = parts.status.is_success() && is_event_stream(&parts.headers);
    if needs_marker && !ends_with_marker(body) {
        return Err("the stream has no end marker");
    }
    Ok(())
}

async fn read_answer(response: Response<hyper::body::Incoming>) -> ItemExchange {
    let status = response.status().as_u16();
    let load = reported_load(response.headers());
    let framing = BodyFraming::of(&response);
    let (parts, body) = response.into_parts();
    let collected = match Limited::new(body, ANSWER_MAX_BYTES).collect().await {
        Ok(collected) => {
            let bytes = collected.to_bytes();
            check_answer(framing, &parts, &bytes)
                .map(|()| bytes)
                .map_err(str::to_owned)
        }
        Err(error) => Err(error.to_string()),
    };
    match collected {
        Ok(bytes) => ItemExchange {
            end: AttemptEnd::Answered {
                status,
                body: BodyBytes(bytes.to_vec()),
            },
            outcome: ServerOutcome::Answered,
            load,
        },
        Err(cause) => {
            let detail = format!("the answer ended early: {cause}");
            let refusal =
                RequestRefusal::new(RefusalReason::ServerFailed, RunVerdict::MayHaveRun, detail);
            ItemExchange::failed(refused(refusal), ServerOutcome::Failed)
        }
    }
}

//! The dispatcher: runs leased items in idle slots of this host's view.

use crate::prompt::named_model;
use crate::replica::ReplicaHandle;
use crate::routing::{RoutingHandle, SlotRequest, WorkKind, WorkTarget};
use chicoryladder_gateway::{ServerClient, ServerRequest};
use chicoryladder_jobs::{
    AttemptEnd, AttemptReport, BodyBytes, ItemGrant, ItemRef, ItemRequest, JobCommand, JobOutcome,
    LeaseId, LeaseRequest,
};
use chicoryladder_settings::{RouteMatch, RouteTarget};
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Items leased at a time.
const CHUNK_ITEMS: u32 = 8;

/// The time for which items are leased.
const LEASE_DURATION: Duration = Duration::from_secs(30);

/// The time between two looks for work.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time of one attempt, from the wish for a slot to the answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(20);

/// Dispatches items of batch jobs.
#[derive(Clone)]
pub(crate) struct BatchDispatcher {
    pub(crate) host: HostName,
    pub(crate) replica: ReplicaHandle,
    pub(crate) routing: RoutingHandle,
    pub(crate) client: ServerClient,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) ids: Arc<crate::ids::RandomIds>,
}

impl BatchDispatcher {
    pub(crate) async fn run(self) {
        loop {
            if !self.replica.has_work().await || !self.run_chunk().await {
                tokio::time::sleep(IDLE_INTERVAL).await;
            }
        }
    }

    /// Leases and runs some items; false if there were none.
    async fn run_chunk(&self) -> bool {
        let request = LeaseRequest {
            host: self.host.clone(),
            limit: CHUNK_ITEMS,
            excluded: Vec::new(),
            now: self.replica.wall(),
            duration: LEASE_DURATION,
        };
        let command = JobCommand::LeaseItems(request);
        let Ok(JobOutcome::Leased { lease, grants, .. }) = self.replica.propose_jobs(command).await
        else {
            return false;
        };
        if grants.is_empty() {
            return false;
        }
        let attempts = self.startable(lease, &grants).await;
        let mut running = JoinSet::new();
        for attempt in attempts {
            let dispatcher = self.clone();
            running.spawn(async move { dispatcher.run_item(attempt).await });
        }
        while let Some(result) = running.join_next().await {
            if let Ok(report) = result {
                self.report(report).await;
            }
        }
        true
    }

    /// The attempts that may start; non-idempotent ones are started by the log,
    /// so that a lost dispatcher cannot have run one unseen.
    async fn startable(&self, lease: LeaseId, grants: &[ItemGrant]) -> Vec<ItemRef> {
        let (repeatable, single): (Vec<&ItemGrant>, Vec<&ItemGrant>) =
            grants.iter().partition(|grant| grant.idempotent);
        let mut attempts: Vec<ItemRef> = repeatable.iter().map(|grant| grant.attempt).collect();
        if single.is_empty() {
            return attempts;
        }
        let command = JobCommand::StartItems {
            lease,
            attempts: single.iter().map(|grant| grant.attempt).collect(),
            now: self.replica.wall(),
        };
        if let Ok(JobOutcome::Started { attempts: started }) =
            self.replica.propose_jobs(command).await
        {
            attempts.extend(started);
        }
        attempts
    }

    async fn report(&self, report: AttemptReport) {
        let command = JobCommand::CompleteItems {
            reports: vec![report],
            now: self.replica.wall(),
        };
        if let Err(error) = self.replica.propose_jobs(command).await {
            log::warn!("batch: cannot report an item: {error}.");
        }
    }

    async fn run_item(&self, attempt: ItemRef) -> AttemptReport {
        let end = self.run_attempt(attempt).await;
        let end = end.unwrap_or_else(|refusal| AttemptEnd::Refused {
            verdict: refusal.verdict,
            reason: refusal.reason,
            detail: refusal.detail,
        });
        AttemptReport { attempt, end }
    }

    async fn run_attempt(&self, attempt: ItemRef) -> Result<AttemptEnd, RequestRefusal> {
        let item = self.replica.item_request(attempt.job, attempt.item).await;
        let item = item.and_then(Result::ok).ok_or_else(|| {
            let detail = "the item cannot be read";
            RequestRefusal::not_run(RefusalReason::StorageFailed, detail)
        })?;
        let deadline = self.clock.now() + ATTEMPT_TIMEOUT;
        let wanted = SlotRequest {
            target: self.target(&item)?,
            kind: WorkKind::Batch,
            excluded: Vec::new(),
        };
        let requires_id = matches!(wanted.target, WorkTarget::Model(_));
        let grant = self.routing.acquire(wanted, deadline).await?;
        let message = ServerRequest {
            address: grant.address,
            id: self.ids.request(),
            requires_id,
            method: Method::from_bytes(item.method.as_bytes()).unwrap_or(Method::POST),
            path_and_query: item.url.clone(),
            headers: item_fields(attempt),
            body: item.body.0.clone().into(),
            first_byte_timeout: ATTEMPT_TIMEOUT,
        };
        let response = self.client.send(&message).await.map_err(|failure| {
            RequestRefusal::new(RefusalReason::ServerFailed, failure.verdict, failure.detail)
        })?;
        read_answer(response).await
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

fn item_fields(attempt: ItemRef) -> HeaderMap {
    let mut fields = HeaderMap::new();
    let kind = HeaderValue::from_static("application/json");
    fields.insert(CONTENT_TYPE, kind);
    let key = format!("{}-{}", attempt.job, attempt.item);
    if let Ok(key) = HeaderValue::from_str(&key) {
        fields.insert(headers::IDEMPOTENCY_KEY, key);
    }
    fields
}

async fn read_answer(
    response: Response<hyper::body::Incoming>,
) -> Result<AttemptEnd, RequestRefusal> {
    let status = response.status().as_u16();
    let collecting = response.into_body().collect();
    let collected = tokio::time::timeout(ATTEMPT_TIMEOUT, collecting).await;
    match collected {
        Ok(Ok(collected)) => Ok(AttemptEnd::Answered {
            status,
            body: BodyBytes(collected.to_bytes().to_vec()),
        }),
        Ok(Err(error)) => Err(RequestRefusal::new(
            RefusalReason::AnswerTruncated,
            RunVerdict::MayHaveRun,
            format!("the answer ended early: {error}"),
        )),
        Err(_) => Err(RequestRefusal::new(
            RefusalReason::ServerSilent,
            RunVerdict::MayHaveRun,
            "the backend server stopped sending",
        )),
    }
}

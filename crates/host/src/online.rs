//! The processing of online requests, from admission to the end of the response.

use crate::admission::{KeyChecker, KeyHolder, ResolvedRoute};
use crate::at_most_once::{AtMostOnceClaims, RunPermit};
use crate::board::BoardHandle;
use crate::limits::LimitHandle;
use crate::metrics::HostMetrics;
use crate::online_attempt::{AttemptPlan, OnlineAttempts, path_and_query};
use crate::prompt::{named_model, prompt_prefixes, shared_segments};
use crate::quarantine::{QuarantineHandle, SuspectWatch, WatchedRequest};
use crate::replica::ReplicaHandle;
use crate::retries::RetryRules;
use crate::routing::{QueueParameters, RoutingHandle, WorkTarget};
use chicoryladder_gateway::{AnswerBody, MachineBounds, OnlinePort, OnlineRequest, ServerClient};
use chicoryladder_policy::quarantine::{RequestFingerprint, RequestTraits};
use chicoryladder_settings::{ClassTarget, RouteTarget};
use chicoryladder_state::FleetView;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a request, as a multiple of the response target of its class.
const REQUEST_TIMEOUT_TARGETS: u32 = 4;

/// Serves online requests.
pub(crate) struct OnlineService {
    pub(crate) keys: KeyChecker,
    pub(crate) replica: ReplicaHandle,
    pub(crate) limits: LimitHandle,
    pub(crate) boards: BoardHandle,
    pub(crate) quarantine: QuarantineHandle,
    pub(crate) routing: RoutingHandle,
    pub(crate) retries: RetryRules,
    pub(crate) at_most_once: AtMostOnceClaims,
    pub(crate) client: ServerClient,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) bounds: MachineBounds,
}

impl OnlinePort for OnlineService {
    fn serve(
        &self,
        request: OnlineRequest,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.serve_with_metrics(request).boxed()
    }
}

impl OnlineService {
    async fn serve_with_metrics(
        &self,
        request: OnlineRequest,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let id = request.id;
        let result = self.resolve_and_serve(request).await;
        if let Err(refusal) = &result {
            self.metrics.count_refusal(refusal.reason);
            log::debug!("online: refused request {id}: {refusal}.");
        }
        result
    }

    async fn resolve_and_serve(
        &self,
        request: OnlineRequest,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let view = self.replica.view();
        let class = request.class.as_ref();
        let resolved =
            ResolvedRoute::resolve(&view, request.method.as_str(), &request.path, class)?;
        let class = resolved.class.clone();
        let result = self.serve_route(request, resolved, &view).await;
        if let Err(refusal) = &result {
            self.boards.record_refused(class, refusal.reason);
        }
        result
    }

    async fn serve_route(
        &self,
        request: OnlineRequest,
        resolved: ResolvedRoute,
        view: &FleetView,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let holder = self.holder(&request, &resolved)?;
        let target = work_target(&resolved.route.target, &request)?;
        let watch = self.watch(&request, &resolved, holder.as_ref(), &target);
        watch.check().await?;
        if let Some(holder) = &holder {
            let deadline = request.received + token_timeout(resolved.target);
            tokio::select! {
                admitted = self.limits.admit(&holder.team, holder.terms, deadline) => admitted?,
                refusal = self.keys.revoked(holder) => return Err(refusal),
            }
        }
        let class = view.document.classes.get(&resolved.class);
        let queue = QueueParameters {
            team: holder.as_ref().map(|holder| holder.team.clone()),
            share: holder.as_ref().map_or(1, |holder| holder.terms.share),
            class: resolved.class.clone(),
            class_max: class.and_then(|class| class.queue_max),
            prefixes: prompt_prefixes(&target, &request.body),
        };
        let plan = AttemptPlan {
            target,
            queue,
            idempotent: resolved.route.idempotent,
            timeout: request_timeout(resolved.target),
            class: resolved.class,
            holder,
        };
        let permit = if plan.idempotent {
            RunPermit::Run(None)
        } else {
            let holder = plan.holder.as_ref();
            self.at_most_once.permit(&request, holder).await?
        };
        match permit {
            RunPermit::Replay(response) => Ok(response),
            RunPermit::Run(claim) => {
                let result = self.attempts().run(request, plan, watch).await;
                self.at_most_once.settle(claim, result).await
            }
        }
    }

    fn watch(
        &self,
        request: &OnlineRequest,
        resolved: &ResolvedRoute,
        holder: Option<&KeyHolder>,
        target: &WorkTarget,
    ) -> SuspectWatch {
        let team = holder.map(|holder| &holder.team);
        let path = path_and_query(request);
        let fingerprint = RequestFingerprint::new(team, &resolved.name, &path, &request.body);
        let watched = WatchedRequest {
            id: request.id,
            pool: target.pool(),
            traits: RequestTraits {
                request: fingerprint,
                segments: shared_segments(target, &request.body),
            },
        };
        SuspectWatch::new(&self.quarantine, &self.limits, watched)
    }

    /// Returns the key holder of the request; `None` on a route open to all.
    fn holder(
        &self,
        request: &OnlineRequest,
        resolved: &ResolvedRoute,
    ) -> Result<Option<KeyHolder>, RequestRefusal> {
        if resolved.route.open {
            return Ok(None);
        }
        self.keys.check(request.key.as_deref()).map(Some)
    }

    fn attempts(&self) -> OnlineAttempts<'_> {
        OnlineAttempts {
            routing: &self.routing,
            retries: &self.retries,
            client: &self.client,
            clock: &self.clock,
            metrics: &self.metrics,
            boards: &self.boards,
            keys: &self.keys,
            replica: &self.replica,
            bounds: &self.bounds,
        }
    }
}

fn work_target(
    target: &RouteTarget,
    request: &OnlineRequest,
) -> Result<WorkTarget, RequestRefusal> {
    match target {
        RouteTarget::Model(model) => Ok(WorkTarget::Model(model.clone())),
        RouteTarget::AnyModel => named_model(&request.body).map(WorkTarget::Model),
        RouteTarget::Service(service) => Ok(WorkTarget::Service(service.clone())),
    }
}

/// Returns the longest wait for a token: half of the class's target, so that the
/// response can still meet the target afterwards.
fn token_timeout(target: ClassTarget) -> Duration {
    match target {
        ClassTarget::Online(target) => target.answer / 2,
        ClassTarget::Batch(target) => target.finish_within / 2,
    }
}

/// Returns the time after receipt at which a request of the class times out.
fn request_timeout(target: ClassTarget) -> Duration {
    match target {
        ClassTarget::Online(target) => target.answer * REQUEST_TIMEOUT_TARGETS,
        ClassTarget::Batch(target) => target.finish_within,
    }
}

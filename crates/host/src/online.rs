//! Online requests from admission to the end of the answer.

use crate::admission::{KeyChecker, KeyHolder, WorkRules};
use crate::board::BoardHandle;
use crate::limits::LimitHandle;
use crate::metrics::HostMetrics;
use crate::online_attempt::{AttemptPlan, OnlineAttempts, path_and_query};
use crate::platform::DrainFlag;
use crate::prompt::{named_model, prompt_prefixes};
use crate::quarantine::{QuarantineHandle, SuspectWatch};
use crate::replica::ReplicaHandle;
use crate::retries::RetryRules;
use crate::routing::{QueueTerms, RoutingHandle, WorkTarget};
use crate::single_runs::{RunPermit, SingleRuns};
use chicoryladder_gateway::{AnswerBody, OnlinePort, OnlineRequest, ServerClient};
use chicoryladder_policy::quarantine::RequestFingerprint;
use chicoryladder_settings::{ClassTarget, RouteTarget};
use chicoryladder_state::FleetView;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::Response;
use std::sync::Arc;
use std::time::Duration;

/// Multiples of a class's target after which a request is given up on.
const GIVE_UP_TARGETS: u32 = 4;

/// Serves online requests.
pub(crate) struct OnlineService {
    pub(crate) keys: KeyChecker,
    pub(crate) replica: ReplicaHandle,
    pub(crate) limits: LimitHandle,
    pub(crate) boards: BoardHandle,
    pub(crate) quarantine: QuarantineHandle,
    pub(crate) routing: RoutingHandle,
    pub(crate) retries: RetryRules,
    pub(crate) single_runs: SingleRuns,
    pub(crate) client: ServerClient,
    pub(crate) clock: Arc<dyn ClockSource>,
    pub(crate) metrics: Arc<HostMetrics>,
    pub(crate) drain: DrainFlag,
}

impl OnlinePort for OnlineService {
    fn serve(
        &self,
        request: OnlineRequest,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.serve_counted(request).boxed()
    }
}

impl OnlineService {
    async fn serve_counted(
        &self,
        request: OnlineRequest,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let id = request.id;
        let result = self.serve_admitted(request).await;
        if let Err(refusal) = &result {
            self.metrics.count_refusal(refusal.reason);
            log::debug!("online: refused request {id}: {refusal}.");
        }
        result
    }

    async fn serve_admitted(
        &self,
        request: OnlineRequest,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        if self.drain.is_raised() {
            let detail = "this host is shutting down";
            return Err(RequestRefusal::not_run(RefusalReason::Draining, detail));
        }
        let view = self.replica.view();
        let class = request.class.as_ref();
        let rules = WorkRules::find(&view, request.method.as_str(), &request.path, class)?;
        let class = rules.class.clone();
        let result = self.serve_by_rules(request, rules, &view).await;
        if let Err(refusal) = &result {
            self.boards.record_refused(class, refusal.reason);
        }
        result
    }

    async fn serve_by_rules(
        &self,
        request: OnlineRequest,
        rules: WorkRules,
        view: &FleetView,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let holder = self.holder(&request, &rules)?;
        let target = work_target(&rules.route.target, &request)?;
        let watch = self.watch(&request, &rules, holder.as_ref());
        watch.check().await?;
        if let Some(holder) = &holder {
            let give_up_at = request.received + token_wait(rules.target);
            tokio::select! {
                admitted = self.limits.admit(&holder.team, holder.terms, give_up_at) => admitted?,
                refusal = self.keys.revoked(holder) => return Err(refusal),
            }
        }
        let class = view.document.classes.get(&rules.class);
        let queue = QueueTerms {
            team: holder.as_ref().map(|holder| holder.team.clone()),
            share: holder.as_ref().map_or(1, |holder| holder.terms.share),
            class: rules.class.clone(),
            class_max: class.and_then(|class| class.queue_max),
            prefixes: prompt_prefixes(&target, &request.body),
        };
        let plan = AttemptPlan {
            target,
            queue,
            idempotent: rules.route.idempotent,
            give_up: give_up_time(rules.target),
            class: rules.class,
            holder,
        };
        let permit = if plan.idempotent {
            RunPermit::Run(None)
        } else {
            let holder = plan.holder.as_ref();
            self.single_runs.permit(&request, holder).await?
        };
        match permit {
            RunPermit::Answer(response) => Ok(response),
            RunPermit::Run(claim) => {
                let result = self.attempts().run(request, plan, watch).await;
                self.single_runs.settle(claim, result).await
            }
        }
    }

    fn watch(
        &self,
        request: &OnlineRequest,
        rules: &WorkRules,
        holder: Option<&KeyHolder>,
    ) -> SuspectWatch {
        let team = holder.map(|holder| &holder.team);
        let path = path_and_query(request);
        let fingerprint = RequestFingerprint::new(team, &rules.name, &path, &request.body);
        SuspectWatch::new(&self.quarantine, &self.limits, fingerprint)
    }

    /// The team of the request; none on a route open to all.
    fn holder(
        &self,
        request: &OnlineRequest,
        rules: &WorkRules,
    ) -> Result<Option<KeyHolder>, RequestRefusal> {
        if rules.route.open {
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

/// The longest wait for a token: half of the class's target, so that an answer
/// after it can still meet the target.
fn token_wait(target: ClassTarget) -> Duration {
    match target {
        ClassTarget::Online(target) => target.answer / 2,
        ClassTarget::Batch(target) => target.finish_within / 2,
    }
}

/// The time after which a request of the class is given up on.
fn give_up_time(target: ClassTarget) -> Duration {
    match target {
        ClassTarget::Online(target) => target.answer * GIVE_UP_TARGETS,
        ClassTarget::Batch(target) => target.finish_within,
    }
}

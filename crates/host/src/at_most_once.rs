//! At-most-once execution of non-idempotent requests, regardless of the host that
//! a resend reaches.
//!
//! A request on a non-idempotent route that carries an idempotency key claims the
//! key in the replicated log before it is sent to a server, and a resend finds the
//! claim. Such a request therefore needs a quorum: a partitioned zone refuses it as
//! not run.

use crate::admission::KeyHolder;
use crate::online_attempt::{StreamedAnswer, path_and_query};
use crate::replica::{ProposeError, ReplicaHandle};
use chicoryladder_gateway::{AnswerBody, BodyError, OnlineRequest, bytes_body};
use chicoryladder_state::{
    AtMostOnceEnd, AtMostOnceName, ClaimOutcome, ClaimRequest, FleetCommand, FleetOutcome,
    RECORDED_BODY_MAX_BYTES, RecordedAnswer, RequestDigest, SettleRequest,
};
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// The retry hint for callers that resend a request that is still running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time for which a response is delayed until its outcome is recorded.
const SETTLE_WAIT: Duration = Duration::from_millis(500);

/// The maximum number of attempts to record the outcome of a request.
const SETTLE_ATTEMPTS: u32 = 10;

/// The pause between two attempts to record an outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Claims idempotency keys for requests and records the outcomes of the requests.
#[derive(Clone)]
pub(crate) struct AtMostOnceClaims {
    pub(crate) replica: ReplicaHandle,
    pub(crate) clock: Arc<dyn ClockSource>,
}

/// Identifies one claim.
#[derive(Clone)]
struct ClaimId {
    name: AtMostOnceName,
    request: RequestId,
}

/// A claim that permits a request to run.
///
/// A claim that is dropped before it is settled, because the caller disconnected,
/// is recorded as a request that may have run.
pub(crate) struct RunClaim {
    claims: AtMostOnceClaims,
    claim: Option<ClaimId>,
}

impl Drop for RunClaim {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            let record = self.claims.clone().record(claim, AtMostOnceEnd::MayHaveRun);
            tokio::spawn(record);
        }
    }
}

/// How a request on a non-idempotent route is handled.
pub(crate) enum RunPermit {
    /// The request runs; the claim, if there is one, has to be settled.
    Run(Option<RunClaim>),
    /// The request ran before; this is its recorded response.
    Replay(Response<AnswerBody>),
}

impl AtMostOnceClaims {
    /// Decides whether a request on a non-idempotent route may run.
    ///
    /// # Errors
    ///
    /// Refuses a request if one under the same key is running or may have run, and
    /// every request with a key while no quorum of voters responds.
    pub(crate) async fn permit(
        &self,
        request: &OnlineRequest,
        holder: Option<&KeyHolder>,
    ) -> Result<RunPermit, RequestRefusal> {
        let (Some(holder), Some(key)) = (holder, &request.idempotency_key) else {
            return Ok(RunPermit::Run(None));
        };
        let name = AtMostOnceName {
            team: holder.team.clone(),
            key: key.clone(),
        };
        let path = path_and_query(request);
        let claim = ClaimRequest {
            name: name.clone(),
            digest: RequestDigest::of(request.method.as_str(), &path, &request.body),
            request: request.id,
            now: self.clock.since_epoch(),
        };
        let claim_id = ClaimId {
            name,
            request: request.id,
        };
        let command = FleetCommand::ClaimRequest(claim);
        match self.replica.propose_fleet(command).await {
            Ok(FleetOutcome::Claimed(outcome)) => self.handle_outcome(outcome, claim_id),
            Ok(_) => Err(self.release(claim_id, ProposeError::NoQuorum)),
            Err(error) => Err(self.release(claim_id, error)),
        }
    }

    /// Records the outcome of a request and returns its result.
    pub(crate) async fn settle(
        &self,
        claim: Option<RunClaim>,
        result: Result<Response<AnswerBody>, RequestRefusal>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let Some(mut claim) = claim else {
            return result;
        };
        let (end, result) = match result {
            Ok(response) => read_answer(response).await,
            Err(refusal) => (refusal_end(refusal.verdict), Err(refusal)),
        };
        if let Some(claim) = claim.claim.take() {
            let recording = tokio::spawn(self.clone().record(claim, end));
            // After the timeout, recording continues in the background.
            let _ = tokio::time::timeout(SETTLE_WAIT, recording).await;
        }
        result
    }

    fn handle_outcome(
        &self,
        outcome: ClaimOutcome,
        claim: ClaimId,
    ) -> Result<RunPermit, RequestRefusal> {
        let refused =
            |reason, verdict, detail: &str| Err(RequestRefusal::new(reason, verdict, detail));
        match outcome {
            ClaimOutcome::Claimed => Ok(RunPermit::Run(Some(RunClaim {
                claims: self.clone(),
                claim: Some(claim),
            }))),
            ClaimOutcome::Ended(AtMostOnceEnd::Answered(answer)) => {
                Ok(RunPermit::Replay(recorded_answer(answer)))
            }
            ClaimOutcome::Ended(AtMostOnceEnd::Ran) => refused(
                RefusalReason::AlreadyRan,
                RunVerdict::Ran,
                "the request under this idempotency key ran; its answer was not recorded",
            ),
            ClaimOutcome::Ended(AtMostOnceEnd::MayHaveRun | AtMostOnceEnd::NotRun) => refused(
                RefusalReason::OutcomeUnknown,
                RunVerdict::MayHaveRun,
                "the request under this idempotency key may have run",
            ),
            ClaimOutcome::StillRunning => refused(
                RefusalReason::StillRunning,
                RunVerdict::MayHaveRun,
                "a request under this idempotency key still runs",
            )
            .map_err(|refusal: RequestRefusal| refusal.with_retry_after(RUNNING_RETRY_AFTER)),
            ClaimOutcome::DigestMismatch => refused(
                RefusalReason::KeyReused,
                RunVerdict::NotRun,
                "the idempotency key was used for another request",
            ),
        }
    }

    /// Releases a claim that may have been committed although the proposal failed.
    fn release(&self, claim: ClaimId, error: ProposeError) -> RequestRefusal {
        tokio::spawn(self.clone().record(claim, AtMostOnceEnd::NotRun));
        RequestRefusal {
            verdict: RunVerdict::NotRun,
            ..error.refusal()
        }
    }

    async fn record(self, claim: ClaimId, end: AtMostOnceEnd) {
        let command = FleetCommand::SettleRequest(SettleRequest {
            name: claim.name,
            request: claim.request,
            end,
        });
        for _ in 0..SETTLE_ATTEMPTS {
            if self.replica.propose_fleet(command.clone()).await.is_ok() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        log::warn!(
            "online: cannot record the outcome of request {}.",
            claim.request
        );
    }
}

fn refusal_end(verdict: RunVerdict) -> AtMostOnceEnd {
    match verdict {
        RunVerdict::NotRun => AtMostOnceEnd::NotRun,
        RunVerdict::MayHaveRun => AtMostOnceEnd::MayHaveRun,
        RunVerdict::Ran => AtMostOnceEnd::Ran,
    }
}

type AnswerResult = Result<Response<AnswerBody>, RequestRefusal>;

/// Reads the body of a buffered response in order to record it. Streamed responses
/// are returned unread and recorded without their body.
async fn read_answer(response: Response<AnswerBody>) -> (AtMostOnceEnd, AnswerResult) {
    let (parts, body) = response.into_parts();
    let content_type = content_type_of(&parts.headers);
    if parts.extensions.get::<StreamedAnswer>().is_some() {
        return (AtMostOnceEnd::Ran, Ok(Response::from_parts(parts, body)));
    }
    match body.collect().await {
        Ok(collected) => {
            let bytes = collected.to_bytes();
            let end = answered_end(parts.status, content_type, &bytes);
            (end, Ok(Response::from_parts(parts, bytes_body(bytes))))
        }
        Err(error) => (AtMostOnceEnd::MayHaveRun, Err(truncated(&error))),
    }
}

fn answered_end(status: StatusCode, content_type: Option<String>, body: &[u8]) -> AtMostOnceEnd {
    if body.len() > RECORDED_BODY_MAX_BYTES {
        return AtMostOnceEnd::Ran;
    }
    AtMostOnceEnd::Answered(RecordedAnswer {
        status: status.as_u16(),
        content_type,
        body: body.to_vec(),
    })
}

fn recorded_answer(answer: RecordedAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(bytes_body(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let fields = response.headers_mut();
    let verdict = HeaderValue::from_static(RunVerdict::Ran.as_str());
    fields.insert(headers::VERDICT, verdict);
    let content_type = answer.content_type.as_deref();
    if let Some(Ok(content_type)) = content_type.map(HeaderValue::from_str) {
        fields.insert(CONTENT_TYPE, content_type);
    }
    response
}

fn content_type_of(fields: &HeaderMap) -> Option<String> {
    let content_type = fields.get(CONTENT_TYPE)?.to_str().ok()?;
    Some(content_type.to_owned())
}

fn truncated(error: &BodyError) -> RequestRefusal {
    RequestRefusal::new(
        RefusalReason::AnswerTruncated,
        RunVerdict::MayHaveRun,
        format!("the answer ended early: {error}"),
    )
}

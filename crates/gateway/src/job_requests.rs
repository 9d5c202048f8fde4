//! Converts HTTP requests of the batch API into calls of the job port.

use crate::answer::json_answer;
use crate::body::AnswerBody;
use crate::body_reader::{BodyLimits, read_body};
use crate::caller_requests::{idempotency_key, selected_class};
use crate::credentials::bearer_key;
use crate::ports::{JobPort, SubmitRequest};
use chicoryladder_types::JobId;
use chicoryladder_types::prelude::*;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use std::time::Duration;

/// Routes the requests of the batch API.
pub(crate) struct JobRequests<'a> {
    pub(crate) jobs: &'a dyn JobPort,
    pub(crate) root: &'static str,
    pub(crate) body_max_bytes: usize,
    pub(crate) body_timeout: Duration,
}

/// An operation of the batch API.
enum JobAction {
    Submit,
    Status(JobId),
    Results(JobId),
    Cancel(JobId),
}

impl JobRequests<'_> {
    pub(crate) async fn route(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let action = self.action(request.method(), request.uri().path())?;
        let (parts, body) = request.into_parts();
        let key = bearer_key(&parts.headers);
        match action {
            JobAction::Submit => self.submit(id, &parts, body).await,
            JobAction::Status(job) => {
                let view = self.jobs.status(key, job).await?;
                Ok(json_answer(200, &view))
            }
            JobAction::Cancel(job) => {
                let view = self.jobs.cancel(key, job).await?;
                Ok(json_answer(200, &view))
            }
            JobAction::Results(job) => self.results(key, job).await,
        }
    }

    fn action(&self, method: &Method, path: &str) -> Result<JobAction, RequestRefusal> {
        let rest = path.strip_prefix(self.root).unwrap_or_default();
        let mut segments = rest.split('/').filter(|segment| !segment.is_empty());
        match (segments.next(), segments.next(), segments.next()) {
            (None, _, _) => expect(method, &Method::POST, JobAction::Submit),
            (Some(job), None, _) => expect(method, &Method::GET, JobAction::Status(job_id(job)?)),
            (Some(job), Some("results"), None) => {
                expect(method, &Method::GET, JobAction::Results(job_id(job)?))
            }
            (Some(job), Some("cancel"), None) => {
                expect(method, &Method::POST, JobAction::Cancel(job_id(job)?))
            }
            _ => Err(RequestRefusal::not_run(
                RefusalReason::UnknownRoute,
                format!("the batch API has no path {path}"),
            )),
        }
    }

    async fn submit(
        &self,
        id: RequestId,
        parts: &Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let fields = &parts.headers;
        let class = selected_class(fields)?;
        let idempotency_key = idempotency_key(fields)?;
        let limits = BodyLimits {
            max_bytes: self.body_max_bytes,
            timeout: self.body_timeout,
        };
        let body = read_body(&parts.extensions, body, limits).await?;
        let request = SubmitRequest {
            id,
            key: bearer_key(fields).map(str::to_owned),
            class,
            idempotency_key,
            body,
        };
        let view = self.jobs.submit(request).await?;
        Ok(json_answer(200, &view))
    }

    async fn results(
        &self,
        key: Option<&str>,
        job: JobId,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let mut response = Response::new(self.jobs.results(key, job).await?);
        let kind = HeaderValue::from_static("application/jsonl");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Ok(response)
    }
}

fn expect(
    found: &Method,
    allowed: &Method,
    action: JobAction,
) -> Result<JobAction, RequestRefusal> {
    if found == allowed {
        return Ok(action);
    }
    Err(RequestRefusal::not_run(
        RefusalReason::WrongMethod,
        format!("this path takes {allowed}, not {found}"),
    ))
}

fn job_id(text: &str) -> Result<JobId, RequestRefusal> {
    JobId::try_from(text)
        .map_err(|_| RequestRefusal::not_run(RefusalReason::UnknownJob, "no such job"))
}

//! HTTP service for callers and the platform's load balancer.

use crate::answer::text_answer;
use crate::body::AnswerBody;
use crate::body_reader::{BodyLimits, read_body};
use crate::caller_requests::online_request;
use crate::job_requests::JobRequests;
use crate::listener::HttpService;
use crate::ports::{JobPort, OnlinePort, PlatformPort};
use chicoryladder_types::headers;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use std::sync::Arc;
use std::time::Duration;

/// The path of the batch API.
const BATCHES_PATH: &str = "/v1/batches";

/// Generates request ids.
pub type IdSource = dyn Fn() -> RequestId + Send + Sync;

/// Handles requests on the TCP port for callers.
pub struct CallerService {
    /// Handles online requests.
    pub online: Arc<dyn OnlinePort>,
    /// Handles batch jobs.
    pub jobs: Arc<dyn JobPort>,
    /// Answers the readiness probe of the platform.
    pub platform: Arc<dyn PlatformPort>,
    /// The clock that deadlines are computed from.
    pub clock: Arc<dyn ClockSource>,
    /// Generates request ids.
    pub ids: Arc<IdSource>,
    /// The maximum size of the body of an online request, in bytes.
    pub body_max_bytes: usize,
    /// The maximum size of the body of a batch job, in bytes.
    pub job_max_bytes: usize,
    /// The maximum time for a request body to arrive.
    pub body_timeout: Duration,
}

impl HttpService for CallerService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.route(request).boxed()
    }
}

impl CallerService {
    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        match request.uri().path() {
            "/healthz" => Ok(text_answer(200, "alive\n")),
            "/readyz" => Ok(self.ready()),
            _ => self.route_work(request).await,
        }
    }

    fn ready(&self) -> Response<AnswerBody> {
        match self.platform.ready() {
            Ok(()) => text_answer(200, "ready\n"),
            Err(cause) => text_answer(503, &format!("{cause}\n")),
        }
    }

    async fn route_work(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let id = (self.ids)();
        let result = if is_below(request.uri().path(), BATCHES_PATH) {
            self.job_requests().route(id, request).await
        } else {
            self.online(id, request).await
        };
        let mut response = result.unwrap_or_else(|refusal| crate::refusal_answer(&refusal));
        if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
            response.headers_mut().insert(headers::REQUEST_ID, value);
        }
        Ok(response)
    }

    fn job_requests(&self) -> JobRequests<'_> {
        JobRequests {
            jobs: self.jobs.as_ref(),
            root: BATCHES_PATH,
            body_max_bytes: self.job_max_bytes,
            body_timeout: self.body_timeout,
        }
    }

    async fn online(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let received = self.clock.now();
        let (parts, body) = request.into_parts();
        let limits = BodyLimits {
            max_bytes: self.body_max_bytes,
            timeout: self.body_timeout,
        };
        let body = read_body(&parts.extensions, body, limits).await?;
        let request = online_request(id, &parts, body, received)?;
        self.online.serve(request).await
    }
}

fn is_below(path: &str, root: &str) -> bool {
    path.strip_prefix(root)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

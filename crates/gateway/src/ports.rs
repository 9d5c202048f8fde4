//! The interfaces that a host implements for the gateway.

use crate::body::AnswerBody;
use bytes::Bytes;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, ServerAnnouncement};
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, Method, Response};
use serde::Serialize;
use std::time::Instant;

/// An online request of a caller, read whole and checked for form.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// The id given to the request.
    pub id: RequestId,
    /// The key that came with the request.
    pub key: Option<String>,
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query without credentials and question mark.
    pub query: String,
    /// The header fields that may travel on.
    pub headers: HeaderMap,
    /// The class that the caller chose.
    pub class: Option<ClassName>,
    /// The name that the caller gave to the request.
    pub idempotency_key: Option<String>,
    /// The whole body.
    pub body: Bytes,
    /// When the request line arrived.
    pub received: Instant,
}

/// Serves online requests.
pub trait OnlinePort: Send + Sync {
    /// Serves one request; the answer's body may be a stream.
    fn serve(
        &self,
        request: OnlineRequest,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>>;
}

/// A batch job of a caller, as submitted.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The id given to the request.
    pub id: RequestId,
    /// The key that came with the request.
    pub key: Option<String>,
    /// The class that the caller chose.
    pub class: Option<ClassName>,
    /// The name that the caller gave to the job.
    pub idempotency_key: Option<String>,
    /// The items, one JSON object a line.
    pub body: Bytes,
}

/// What a caller sees of a job, in the shape of the public batch APIs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct JobView {
    /// The id of the job.
    pub id: String,
    /// Always `batch`.
    pub object: &'static str,
    /// `in_progress`, `completed`, `cancelled` or `failed`.
    pub status: &'static str,
    /// The class of the job.
    pub class: String,
    /// The time by which the job is to finish, in seconds since the Unix epoch.
    pub deadline_at: Option<u64>,
    /// Whether the job is expected to miss its deadline, or has missed it.
    pub expected_late: bool,
    /// Items by state.
    pub request_counts: ItemCounts,
}

/// Items of a job by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ItemCounts {
    /// All items.
    pub total: u64,
    /// Items that ran to their end.
    pub completed: u64,
    /// Items that ended without a result.
    pub failed: u64,
    /// Items that ended by the cancellation of their job.
    pub cancelled: u64,
    /// Items that may have run and must not run again.
    pub outcome_unknown: u64,
}

/// Serves batch jobs.
pub trait JobPort: Send + Sync {
    /// Accepts a job; the answer comes once the job is safe.
    fn submit(&self, request: SubmitRequest) -> BoxFuture<'_, Result<JobView, RequestRefusal>>;

    /// Tells the state of a job.
    fn status<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>>;

    /// Reads the results so far, one JSON object a line.
    fn results<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<AnswerBody, RequestRefusal>>;

    /// Cancels a job; after the answer no item of it starts.
    fn cancel<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>>;
}

/// Takes what backend servers tell.
pub trait ServerPort: Send + Sync {
    /// Takes an announcement or its renewal.
    fn announce(&self, announcement: ServerAnnouncement);
}

/// Answers the probes of the platform.
pub trait PlatformPort: Send + Sync {
    /// Whether the balancer should send requests to this host.
    ///
    /// # Errors
    ///
    /// Tells in one sentence why the host is not ready.
    fn ready(&self) -> Result<(), String>;
}

/// A request of an operator, read whole.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The method.
    pub method: Method,
    /// The path below `/admin/v1/`.
    pub path: String,
    /// The whole body.
    pub body: Bytes,
}

/// An answer to an operator.
pub type AdminAnswer = Result<Response<AnswerBody>, RequestRefusal>;

/// Serves operators, after their credential was checked.
pub trait OperatorPort: Send + Sync {
    /// Serves a request below `/admin/v1/`.
    fn admin(&self, request: AdminRequest) -> BoxFuture<'_, AdminAnswer>;

    /// The metrics, in the Prometheus text format.
    fn metrics(&self) -> String;
}

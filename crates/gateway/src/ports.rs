//! Traits (ports) that a host implements to handle the requests that the gateway
//! receives.

use crate::body::AnswerBody;
use bytes::Bytes;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{JobId, ServerAnnouncement};
use futures_util::future::BoxFuture;
use hyper::{HeaderMap, Method, Response};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Instant;

/// An online request from a caller, with its complete body and validated header
/// fields.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// The id assigned to the request.
    pub id: RequestId,
    /// The API key presented with the request.
    pub key: Option<String>,
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without credentials and without the question mark.
    pub query: String,
    /// The header fields that may be forwarded to a backend server.
    pub headers: HeaderMap,
    /// The class that the caller selected.
    pub class: Option<ClassName>,
    /// The idempotency key that the caller gave to the request.
    pub idempotency_key: Option<String>,
    /// The complete body.
    pub body: Bytes,
    /// When the header fields of the request had arrived.
    pub received: Instant,
}

/// Handles online requests.
pub trait OnlinePort: Send + Sync {
    /// Handles one request; the body of the response may be a stream.
    fn serve(
        &self,
        request: OnlineRequest,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>>;
}

/// A batch job as submitted by a caller.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The id assigned to the request.
    pub id: RequestId,
    /// The API key presented with the request.
    pub key: Option<String>,
    /// The class that the caller selected.
    pub class: Option<ClassName>,
    /// The idempotency key that the caller gave to the job.
    pub idempotency_key: Option<String>,
    /// The items, one JSON object per line.
    pub body: Bytes,
}

/// The state of a job as shown to its caller, in the format of public batch APIs.
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
    /// The deadline of the job, in seconds since the Unix epoch.
    pub deadline_at: Option<u64>,
    /// Whether the job is expected to miss its deadline, or has missed it.
    pub expected_late: bool,
    /// The number of items by state.
    pub request_counts: ItemCounts,
}

/// The number of items of a job by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ItemCounts {
    /// All items.
    pub total: u64,
    /// Items that completed.
    pub completed: u64,
    /// Items that ended without a result.
    pub failed: u64,
    /// Items that were cancelled with their job.
    pub cancelled: u64,
    /// Items that may have run and must not be run again.
    pub outcome_unknown: u64,
}

/// Handles batch jobs.
pub trait JobPort: Send + Sync {
    /// Accepts a job; completes once the job is stored durably.
    fn submit(&self, request: SubmitRequest) -> BoxFuture<'_, Result<JobView, RequestRefusal>>;

    /// Returns the state of a job.
    fn status<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>>;

    /// Returns the results so far, one JSON object per line.
    fn results<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<AnswerBody, RequestRefusal>>;

    /// Cancels a job; once this completes, no further item of it starts.
    fn cancel<'a>(
        &'a self,
        key: Option<&'a str>,
        job: JobId,
    ) -> BoxFuture<'a, Result<JobView, RequestRefusal>>;
}

/// Receives announcements of backend servers.
pub trait ServerPort: Send + Sync {
    /// Processes an announcement or its renewal.
    fn announce(&self, announcement: ServerAnnouncement);
}

/// Answers the readiness probe of the platform.
pub trait PlatformPort: Send + Sync {
    /// Checks whether the load balancer should send requests to this host.
    ///
    /// # Errors
    ///
    /// Returns one sentence on why the host is not ready.
    fn ready(&self) -> Result<(), String>;
}

/// A request from an operator, with its complete body.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    /// The method.
    pub method: Method,
    /// The path below `/admin/v1/`.
    pub path: String,
    /// The complete body.
    pub body: Bytes,
    /// The address of the operator's connection, if known.
    pub remote: Option<SocketAddr>,
}

/// The result of an operator's request.
pub type AdminAnswer = Result<Response<AnswerBody>, RequestRefusal>;

/// Handles authenticated requests from operators.
pub trait OperatorPort: Send + Sync {
    /// Handles a request below `/admin/v1/`.
    fn admin(&self, request: AdminRequest) -> BoxFuture<'_, AdminAnswer>;

    /// Renders the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

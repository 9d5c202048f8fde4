//! The interface between the roles and an adapter for a platform's protocol.
//!
//! An adapter makes no decisions. It parses header fields and bodies into the types
//! below and builds responses from them.

use chicoryladder_batch::{ItemSpec, JobPage};
use chicoryladder_broker::{LimitStatement, PromptSegment, ServerLimit, ServerPhase, WorkPercent};
use chicoryladder_gateway::AnswerBody;
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use hyper::http::{request, response};
use hyper::{HeaderMap, Response};
use std::time::Duration;

/// The fields read from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of the attempt.
    pub id: Option<String>,
    /// How long the caller waits for the complete response.
    pub time_left: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// The last event that the caller received in an earlier attempt.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that this one takes up.
    pub resumed_attempt: Option<String>,
    /// The size of the prompt and the output, if the request is for an engine.
    pub prompt: PromptShape,
}

/// The size of a generation request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The segments of the prompt, in order.
    pub segments: Vec<PromptSegment>,
    /// The tokens of the prompt plus the maximum output tokens.
    pub tokens: u64,
}

/// A caller's call about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads a page of results.
    Page {
        /// The job.
        job: String,
        /// The position of the first result of the page.
        after: u64,
    },
    /// Reads the body of an item.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}

impl JobCall {
    /// The id of the job.
    #[must_use]
    pub fn job(&self) -> &str {
        match self {
            Self::Page { job, .. } | Self::Body { job, .. } | Self::End { job } => job,
        }
    }
}

/// The context of a run, sent to the backend server in addition to the caller's
/// request.
#[derive(Clone, Copy, Debug)]
pub struct RunContext<'a> {
    /// The id of the request or item.
    pub id: &'a str,
    /// The intended server. Another one at its address must refuse the request.
    pub server: &'a ServerName,
    /// The team of the caller.
    pub team: Option<&'a TeamName>,
    /// How long the run may take.
    pub time_left: Duration,
    /// The last event of the earlier run that this one continues.
    pub last_event: Option<u64>,
}

/// The fields read from the head of a server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the response carries the signature of a server that ran the request.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether a server other than the intended one responded.
    pub wrong_server: bool,
    /// Whether the server accepts new work, as it states itself.
    pub phase: ServerPhase,
    /// The limit on requests that the server names.
    pub limit: LimitStatement,
    /// How much longer the server is cold; `None` if it does not say so.
    pub cold_remaining: Option<Duration>,
    /// The load that the server reports.
    pub load: Option<ServerLoad>,
    /// How long work takes on the server at present, as it states it.
    pub work: Option<WorkPercent>,
    /// How long the server keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
}

impl AnswerHead {
    /// Whether the response states that the request has not run on the intended server.
    #[must_use]
    pub fn refuses(&self) -> bool {
        self.not_run || self.wrong_server
    }

    /// Whether the response states that the server a request was sent to leaves. A response
    /// to another request, or of another server at the address, says nothing about it.
    #[must_use]
    pub fn announces_departure(&self, request: &str) -> bool {
        self.is_own(request) && self.phase == ServerPhase::Leaving
    }

    /// What the response states of the limit of the server that a request was sent to;
    /// `None` if it says nothing about that server. `cold_limit` is the rate of the service's
    /// cold servers, which holds if the server says that it is cold.
    #[must_use]
    pub fn limit_statement(
        &self,
        request: &str,
        cold_limit: Option<ServerLimit>,
    ) -> Option<LimitStatement> {
        let is_cold = self.cold_remaining.is_some_and(|left| !left.is_zero());
        let cold_limit = cold_limit.filter(|_| is_cold);
        let statement = cold_limit.map_or(self.limit, |limit| self.limit.and_limit(limit));
        self.is_own(request).then_some(statement)
    }

    /// Whether the intended server responded, and to this request.
    fn is_own(&self, request: &str) -> bool {
        self.id.as_deref() == Some(request) && !self.wrong_server
    }
}

/// The protocol spoken to callers.
pub trait CallerDialect: Send + Sync {
    /// Reads the head of a request.
    fn read_head(&self, head: &request::Parts) -> CallerHead;

    /// Reads a call about a batch job. Returns `None` for any other request.
    fn read_job_call(&self, head: &request::Parts) -> Option<JobCall>;

    /// Reads the items of a batch job.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if the body holds no valid items.
    fn read_items(&self, body: &[u8]) -> Result<Vec<ItemSpec>, String>;

    /// Encodes a page of results of a batch job.
    fn write_page(&self, page: &JobPage) -> Vec<u8>;

    /// Builds the response for a refusal.
    fn refusal(&self, refusal: &RequestRefusal) -> Response<AnswerBody>;

    /// Builds the response to a readiness probe.
    fn readiness(&self, ready: bool) -> Response<AnswerBody>;
}

/// The protocol spoken to backend servers.
pub trait ServerDialect: Send + Sync {
    /// Converts the header fields of a caller's request to those sent to a server.
    fn request_headers(&self, caller: &HeaderMap, context: &RunContext<'_>) -> HeaderMap;

    /// Builds the header fields of a batch item to send to a server.
    fn item_headers(&self, item: &ItemSpec, host: &str, context: &RunContext<'_>) -> HeaderMap;

    /// Returns the size of a batch item.
    fn item_shape(&self, item: &ItemSpec) -> PromptShape;

    /// The path of the call that asks a server for its state.
    fn state_path(&self) -> &'static str;

    /// Reads the incarnation of a server from its state; `None` if it names none.
    fn read_incarnation(&self, state: &[u8]) -> Option<u64>;

    /// Reads the head of a response.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Converts the header fields of a server's response to those sent to the caller.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;
}

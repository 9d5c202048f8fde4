//! What an adapter translates between a platform's protocol and the roles.
//!
//! An adapter decides nothing: it reads header fields and bodies into the types
//! below and writes answers from them.

use chicoryladder_batch::{ItemSpec, JobPage};
use chicoryladder_broker::PromptPart;
use chicoryladder_gateway::AnswerBody;
use chicoryladder_types::ServerLoad;
use chicoryladder_types::prelude::*;
use hyper::http::{request, response};
use hyper::{HeaderMap, Response};
use std::time::Duration;

/// What a caller's request tells in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The id that the caller gave the attempt.
    pub id: Option<String>,
    /// How long the caller waits for the whole answer.
    pub time_left: Option<Duration>,
    /// The key of the caller.
    pub key: Option<String>,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
    /// The prompt and the longest output, where the request is for an engine.
    pub prompt: PromptShape,
}

/// The size of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt and the longest output together.
    pub tokens: u64,
}

/// What a caller asks about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results from a position on.
    Page {
        /// The job.
        job: String,
        /// The position of the first result.
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

/// What goes to a backend server besides the caller's request.
#[derive(Clone, Copy, Debug)]
pub struct RunContext<'a> {
    /// The id of the request or item.
    pub id: &'a str,
    /// The server that is meant; another one at its address must refuse.
    pub server: &'a ServerName,
    /// The team of the caller.
    pub team: Option<&'a TeamName>,
    /// How long the run may take.
    pub time_left: Duration,
    /// The last event of an earlier run that this one continues.
    pub last_event: Option<u64>,
}

/// What a server's answer tells in its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that the answer belongs to.
    pub id: Option<String>,
    /// Whether the answer was made by a server that ran the request.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether another server than the one that was meant has answered.
    pub wrong_server: bool,
    /// The load of the server.
    pub load: Option<ServerLoad>,
    /// How long the server keeps an unused connection.
    pub idle_timeout: Option<Duration>,
}

/// The protocol towards callers.
pub trait CallerDialect: Send + Sync {
    /// Reads the head of a request.
    fn read_head(&self, head: &request::Parts) -> CallerHead;

    /// Reads a call about a batch job; `None` if the request is none.
    fn read_job_call(&self, head: &request::Parts) -> Option<JobCall>;

    /// Reads the items of a batch job.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if the body holds no items.
    fn read_items(&self, body: &[u8]) -> Result<Vec<ItemSpec>, String>;

    /// Writes results of a batch job.
    fn write_page(&self, page: &JobPage) -> Vec<u8>;

    /// Writes a refusal.
    fn refusal(&self, refusal: &RequestRefusal) -> Response<AnswerBody>;

    /// The answer to a question for readiness.
    fn readiness(&self, ready: bool) -> Response<AnswerBody>;
}

/// The protocol towards backend servers.
pub trait ServerDialect: Send + Sync {
    /// The header fields of a caller's request as they go to a server.
    fn request_headers(&self, caller: &HeaderMap, context: &RunContext<'_>) -> HeaderMap;

    /// The header fields of a batch item as they go to a server.
    fn item_headers(&self, item: &ItemSpec, host: &str, context: &RunContext<'_>) -> HeaderMap;

    /// The size of a batch item.
    fn item_shape(&self, item: &ItemSpec) -> PromptShape;

    /// Reads the head of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// The header fields of an answer as they go to a caller.
    fn answer_headers(&self, server: &HeaderMap) -> HeaderMap;
}

//! What came of one request.

use std::time::Duration;

/// What came of one request or job.
#[derive(Clone, Debug)]
pub(super) struct LoadOutcome {
    /// The index of the stream in the experiment.
    pub(super) stream: usize,
    /// The intended start, since the start of the run.
    pub(super) intended: Duration,
    /// How the request ended.
    pub(super) end: RequestEnd,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) enum RequestEnd {
    /// The whole answer to this request arrived.
    Served(ServedTimes),
    /// Every item of the job ended, each exactly once.
    JobDone(JobTimes),
    /// The system refused the request.
    Refused(RefusedRequest),
    /// The answer was not whole, not in time or not this request's.
    Failed(FailureKind),
}

impl RequestEnd {
    /// The kind of end, for logs.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Served(_) => "served",
            Self::JobDone(_) => "job done",
            Self::Refused(refused) => &refused.reason,
            Self::Failed(kind) => kind.as_str(),
        }
    }
}

/// The times of a served request, counted from its intended start.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedTimes {
    /// Until the first token, where the answer is streamed.
    pub(super) first_token: Option<Duration>,
    /// From each token to the next one.
    pub(super) between_tokens: Vec<Duration>,
    /// Until the answer was whole.
    pub(super) whole: Duration,
    /// Tokens received.
    pub(super) tokens: u64,
}

/// The times and items of a finished job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTimes {
    /// Until the last item ended, counted from the intended start.
    pub(super) whole: Duration,
    /// Items with a result.
    pub(super) completed: u64,
    /// Items that ended without a result.
    pub(super) failed: u64,
    /// Items with no line or more than one in the results.
    pub(super) not_once: u64,
}

/// A refusal and what it says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RefusedRequest {
    /// The reason code.
    pub(super) reason: String,
    /// The verdict on whether the request may have run.
    pub(super) verdict: String,
}

/// Why there is no whole answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// Too many requests were in flight at the tool.
    NotSent,
    /// The connection could not be opened or broke.
    Connection,
    /// The answer ended early.
    Truncated,
    /// The answer was not the one to this request.
    WrongAnswer,
    /// The answer was not whole in time.
    Timeout,
}

impl FailureKind {
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Connection => "connection",
            Self::Truncated => "truncated",
            Self::WrongAnswer => "wrong_answer",
            Self::Timeout => "timeout",
        }
    }
}

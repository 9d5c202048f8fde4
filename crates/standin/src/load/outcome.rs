//! The outcomes of requests and jobs.

use std::time::Duration;

/// The outcome of one request or job.
#[derive(Clone, Debug)]
pub(super) struct LoadOutcome {
    /// The index of the stream in the experiment.
    pub(super) stream: usize,
    /// The intended start, measured from the start of the run.
    pub(super) intended: Duration,
    /// How the request ended.
    pub(super) end: RequestEnd,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) enum RequestEnd {
    /// The complete response to this request arrived.
    Served(ServedTimes),
    /// The job ended and its results were read.
    JobDone(JobTimes),
    /// The system refused the request.
    Refused(RefusedRequest),
    /// The response was incomplete, late or not the one to this request, or none
    /// arrived.
    Failed(FailureKind),
}

impl RequestEnd {
    /// Returns the kind of end, for logs.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Served(_) => "served",
            Self::JobDone(_) => "job done",
            Self::Refused(refused) => &refused.reason,
            Self::Failed(kind) => kind.as_str(),
        }
    }
}

/// The latencies of a served request, measured from its intended start.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedTimes {
    /// The time to the first token, if the response is streamed.
    pub(super) first_token: Option<Duration>,
    /// The time from each token to the next one.
    pub(super) between_tokens: Vec<Duration>,
    /// The time to the end of the response.
    pub(super) total: Duration,
    /// Tokens received.
    pub(super) tokens: u64,
}

/// The times and items of a finished job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTimes {
    /// The time to the end of the job, measured from the intended start.
    pub(super) total: Duration,
    /// Items that completed with status 200.
    pub(super) completed: u64,
    /// Items that ended in any other way.
    pub(super) failed: u64,
    /// Items without exactly one line in the results.
    pub(super) not_once: u64,
}

/// The reason code and verdict of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RefusedRequest {
    /// The reason code.
    pub(super) reason: String,
    /// The verdict on whether the request may have run.
    pub(super) verdict: String,
}

/// The reason why there is no complete response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureKind {
    /// The load generator had too many requests in flight, or could not build the
    /// request.
    NotSent,
    /// The connection could not be opened or broke.
    Connection,
    /// The response ended early.
    Truncated,
    /// The response was not the one to this request.
    WrongAnswer,
    /// The response was not complete within the timeout.
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

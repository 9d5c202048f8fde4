//! What the end of an attempt tells of its server, and how it is counted.

use crate::board::{BoardHandle, ServedRequest};
use crate::metrics::HostMetrics;
use crate::routing::ServerGrant;
use chicoryladder_gateway::{ServerFailure, StreamEnd};
use chicoryladder_policy::quarantine::ServerCrash;
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_types::prelude::*;
use std::time::Duration;

/// The incarnation that crashed, if the attempt loses its server.
pub(super) fn possible_crash(grant: &ServerGrant) -> ServerCrash {
    ServerCrash {
        server: grant.name.clone(),
        generation: grant.generation,
    }
}

/// Whether the server went away with the request on it.
pub(super) fn is_server_lost(failure: &ServerFailure) -> bool {
    let lost = matches!(
        failure.reason,
        RetryReason::ConnectionLost | RetryReason::ServerCrashed
    );
    lost && failure.verdict == RunVerdict::MayHaveRun
}

/// What a failure tells of the health of the server.
pub(crate) fn failed_outcome(reason: RetryReason) -> ServerOutcome {
    match reason {
        RetryReason::ServerRefused => ServerOutcome::Refused,
        RetryReason::ServerSilent => ServerOutcome::Silent,
        RetryReason::ResponseMismatched
        | RetryReason::ConnectFailed
        | RetryReason::ConnectionLost
        | RetryReason::ServerCrashed => ServerOutcome::Failed,
    }
}

/// What the end of a stream tells of the server.
pub(super) fn stream_outcome(end: StreamEnd) -> ServerOutcome {
    match end {
        StreamEnd::Complete => ServerOutcome::Answered,
        StreamEnd::Truncated => ServerOutcome::Failed,
        StreamEnd::Stalled => ServerOutcome::Silent,
        StreamEnd::Stopped | StreamEnd::CallerDisconnected => ServerOutcome::Cancelled,
    }
}

/// Counts the end of a stream on the board; one ended for its caller's reason
/// does not count.
pub(super) fn show_end(boards: &BoardHandle, end: StreamEnd, request: ServedRequest) {
    let reason = match end {
        StreamEnd::Complete => return boards.record_served(request),
        StreamEnd::Truncated => RefusalReason::AnswerTruncated,
        StreamEnd::Stalled => RefusalReason::ServerSilent,
        StreamEnd::Stopped | StreamEnd::CallerDisconnected => return,
    };
    boards.record_refused(request.class, reason);
}

pub(super) fn count_end(
    metrics: &HostMetrics,
    end: StreamEnd,
    class: &ClassName,
    elapsed: Duration,
) {
    match end {
        StreamEnd::Complete => metrics.count_served(class, elapsed),
        StreamEnd::Truncated => metrics.count_refusal(RefusalReason::AnswerTruncated),
        StreamEnd::Stalled => metrics.count_refusal(RefusalReason::ServerSilent),
        StreamEnd::Stopped => metrics.count_refusal(RefusalReason::WithdrawnKey),
        StreamEnd::CallerDisconnected => {}
    }
}

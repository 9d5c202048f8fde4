//! The outcome of an attempt: its effect on the health of the server, and how it is
//! counted in metrics and on the board.

use crate::board::{BoardHandle, ServedRequest};
use crate::metrics::HostMetrics;
use crate::routing::ServerGrant;
use chicoryladder_gateway::{ServerFailure, StreamEnd};
use chicoryladder_policy::quarantine::ServerCrash;
use chicoryladder_policy::routing::ServerOutcome;
use chicoryladder_types::prelude::*;
use std::time::Duration;

/// Returns the crash to report if the attempt loses its server.
pub(super) fn possible_crash(grant: &ServerGrant) -> ServerCrash {
    ServerCrash {
        server: grant.name.clone(),
        generation: grant.generation,
    }
}

/// Returns whether the server was lost while it processed the request.
pub(super) fn is_server_lost(failure: &ServerFailure) -> bool {
    let lost = matches!(
        failure.reason,
        RetryReason::ConnectionLost | RetryReason::ServerCrashed
    );
    lost && failure.verdict == RunVerdict::MayHaveRun
}

/// Returns what a failure means for the health of the server.
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

/// Returns what the end of a stream means for the health of the server.
pub(super) fn stream_outcome(end: StreamEnd) -> ServerOutcome {
    match end {
        StreamEnd::Complete => ServerOutcome::Answered,
        StreamEnd::Truncated | StreamEnd::Malformed => ServerOutcome::Failed,
        StreamEnd::Stalled => ServerOutcome::Silent,
        StreamEnd::Stopped | StreamEnd::CallerDisconnected => ServerOutcome::Cancelled,
    }
}

/// Reports the end of a stream to the board. Streams that were stopped or whose
/// caller disconnected are not counted.
pub(super) fn report_end(boards: &BoardHandle, end: StreamEnd, request: ServedRequest) {
    let reason = match end {
        StreamEnd::Complete => return boards.record_served(request),
        StreamEnd::Truncated | StreamEnd::Malformed => RefusalReason::AnswerTruncated,
        StreamEnd::Stalled => RefusalReason::ServerSilent,
        StreamEnd::Stopped | StreamEnd::CallerDisconnected => return,
    };
    boards.record_refused(request.class, reason);
}

pub(super) fn count_stream_end(
    metrics: &HostMetrics,
    end: StreamEnd,
    class: &ClassName,
    elapsed: Duration,
) {
    match end {
        StreamEnd::Complete => metrics.count_served(class, elapsed),
        StreamEnd::Truncated | StreamEnd::Malformed => {
            metrics.count_refusal(RefusalReason::AnswerTruncated);
        }
        StreamEnd::Stalled => metrics.count_refusal(RefusalReason::ServerSilent),
        StreamEnd::Stopped => metrics.count_refusal(RefusalReason::WithdrawnKey),
        StreamEnd::CallerDisconnected => {}
    }
}

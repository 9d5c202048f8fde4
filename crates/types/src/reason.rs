//! The reasons for which a request is refused or retried.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$vmeta:meta])* $variant:ident => $text:literal, $status:literal;)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$vmeta])* $variant,)*
        }

        impl $name {
            /// Every reason, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The reason code in responses, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// The HTTP status code for the reason.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why a request was refused.
    RefusalReason {
        /// The request is malformed.
        BadRequest => "bad_request", 400;
        /// The request carries no key, and its route requires one.
        MissingKey => "missing_key", 401;
        /// The key belongs to no team.
        UnknownKey => "unknown_key", 401;
        /// The key was withdrawn.
        WithdrawnKey => "withdrawn_key", 401;
        /// The team may not use the class or route.
        ClassForbidden => "class_forbidden", 403;
        /// No route matches the method and path.
        UnknownRoute => "unknown_route", 404;
        /// The named job does not exist or belongs to another team.
        UnknownJob => "unknown_job", 404;
        /// The method is not allowed on the path.
        WrongMethod => "wrong_method", 405;
        /// The body did not arrive in time.
        SlowBody => "slow_body", 408;
        /// The idempotency key was used with another body.
        KeyReused => "idempotency_key_reused", 409;
        /// A request with the same idempotency key is still running.
        StillRunning => "still_running", 409;
        /// The request with this idempotency key ran, but its response was not stored.
        AlreadyRan => "already_ran", 409;
        /// The request with this idempotency key may have run.
        OutcomeUnknown => "outcome_unknown", 409;
        /// A concurrent change was accepted first.
        RevisionConflict => "revision_conflict", 409;
        /// The body is larger than the limit.
        BodyTooLarge => "body_too_large", 413;
        /// The request is quarantined, since it crashed backend servers.
        Quarantined => "quarantined", 422;
        /// The team exceeded its rate limit, including the burst.
        RateExceeded => "rate_exceeded", 429;
        /// The queue of the class is full.
        QueueFull => "queue_full", 429;
        /// The request header fields are larger than the limit.
        HeadersTooLarge => "headers_too_large", 431;
        /// The backend server failed while it ran the request.
        ServerFailed => "server_failed", 502;
        /// The response ended before its end marker or its full length.
        AnswerTruncated => "answer_truncated", 502;
        /// The response carried the id of another request.
        ResponseMismatched => "answer_crossed", 502;
        /// The host is draining and accepts no new requests.
        Draining => "draining", 503;
        /// No backend server offers the model or service.
        NoServer => "no_server", 503;
        /// No backend server has the version that began the stream.
        NoVersion => "no_version", 503;
        /// The host's view of the keys is too old to authenticate requests.
        KeyViewStale => "key_view_stale", 503;
        /// No quorum of voters is reachable.
        NoQuorum => "no_quorum", 503;
        /// The data directory cannot be written.
        StorageFailed => "storage_failed", 503;
        /// The deadline of the class has passed or can no longer be met.
        DeadlineUnmet => "deadline_unmet", 504;
        /// The backend server stopped sending data.
        ServerSilent => "server_silent", 504;
        // Messages between hosts encode the position of a reason: new ones come last.
        /// The host has no room for the request.
        Overloaded => "overloaded", 503;
        /// The named availability zone does not exist.
        UnknownZone => "unknown_zone", 404;
    }
}

reasons! {
    /// Why a request was retried on another backend server.
    RetryReason {
        /// The connection could not be opened.
        ConnectFailed => "connect_failed", 502;
        /// The connection closed before the response began.
        ConnectionLost => "connection_lost", 502;
        /// The backend server refused the request without running it.
        ServerRefused => "server_refused", 503;
        /// The response carried the id of another request.
        ResponseMismatched => "answer_crossed", 502;
        /// The backend server sent nothing before the first-byte deadline.
        ServerSilent => "server_silent", 504;
        /// The backend server crashed while it ran the request.
        ServerCrashed => "server_crashed", 502;
    }
}

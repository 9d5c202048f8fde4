//! Every reason for which a request is refused or tried again.

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

            /// The reason code in answers, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// The HTTP status that goes with the reason.
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
        /// The request carries no key and its route is not open.
        MissingKey => "missing_key", 401;
        /// No team holds the key.
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
        /// The request under this idempotency key ran; its answer was not recorded.
        AlreadyRan => "already_ran", 409;
        /// The request under this idempotency key may have run.
        OutcomeUnknown => "outcome_unknown", 409;
        /// Another change took the expected revision.
        RevisionConflict => "revision_conflict", 409;
        /// The body is larger than the limit.
        BodyTooLarge => "body_too_large", 413;
        /// The request crashed backend servers and is quarantined.
        Quarantined => "quarantined", 422;
        /// The team is beyond its rate and burst.
        RateExceeded => "rate_exceeded", 429;
        /// The queue of the class is full.
        QueueFull => "queue_full", 429;
        /// The request header fields are larger than the limit.
        HeadersTooLarge => "headers_too_large", 431;
        /// The backend server failed while the request was on it.
        ServerFailed => "server_failed", 502;
        /// The answer ended before its end marker or length.
        AnswerTruncated => "answer_truncated", 502;
        /// The answer carried the id of another request.
        ResponseMismatched => "answer_crossed", 502;
        /// The host is draining and takes no new work.
        Draining => "draining", 503;
        /// No backend server serves the model or service.
        NoServer => "no_server", 503;
        /// The view of the keys is too old to serve keyed requests.
        KeyViewStale => "key_view_stale", 503;
        /// No quorum of voters can be reached.
        NoQuorum => "no_quorum", 503;
        /// The data folder cannot take the write.
        StorageFailed => "storage_failed", 503;
        /// The deadline of the class passed or cannot be met any more.
        DeadlineUnmet => "deadline_unmet", 504;
        /// The backend server stopped sending.
        ServerSilent => "server_silent", 504;
    }
}

reasons! {
    /// Why a request was tried again on another backend server.
    RetryReason {
        /// The connection could not be opened.
        ConnectFailed => "connect_failed", 502;
        /// The connection closed before the answer began.
        ConnectionLost => "connection_lost", 502;
        /// The backend server refused the request before it ran.
        ServerRefused => "server_refused", 503;
        /// The answer carried the id of another request.
        ResponseMismatched => "answer_crossed", 502;
        /// The backend server sent nothing before the first-byte deadline.
        ServerSilent => "server_silent", 504;
        /// The backend server crashed with the request on it.
        ServerCrashed => "server_crashed", 502;
    }
}

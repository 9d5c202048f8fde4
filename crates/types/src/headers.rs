//! Names of the HTTP header fields that the system adds or reads.
//!
//! All names are lower case, as HTTP libraries expect them.

/// Carries the id of a request to the backend server and back with its answer.
pub const REQUEST_ID: &str = "x-request-id";

/// Tells the caller whether the request may have run; see [`crate::RunVerdict`].
pub const VERDICT: &str = "chicoryladder-verdict";

/// Tells the caller the reason code of a refusal; see [`crate::RefusalReason`].
pub const REASON: &str = "chicoryladder-reason";

/// Chooses the class of work of a request, where the route allows a choice.
pub const CLASS: &str = "chicoryladder-class";

/// Names a request or job of a caller, so that a resend finds the first one.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Set to `not-run` by a backend server on a 503 answer to a request that it
/// did not start.
pub const SERVER_VERDICT: &str = "chicoryladder-server-verdict";

/// Reports the load of a backend server with each answer, as
/// `running=<count>;waiting=<count>`.
pub const SERVER_LOAD: &str = "chicoryladder-load";

/// Orders the instructions to one backend server; see [`crate::FencingNumber`].
pub const FENCING_NUMBER: &str = "chicoryladder-fencing";

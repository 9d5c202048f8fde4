//! Names of the HTTP header fields that the system sets or reads.
//!
//! All names are in lower case, as HTTP libraries expect.

/// The id of a request, sent to the backend server and returned with its response.
pub const REQUEST_ID: &str = "x-request-id";

/// Whether the request may have run, for the caller; see [`crate::RunVerdict`].
pub const VERDICT: &str = "chicoryladder-verdict";

/// The reason code of a refusal, for the caller; see [`crate::RefusalReason`].
pub const REASON: &str = "chicoryladder-reason";

/// Selects the class of a request, if the route allows a choice.
pub const CLASS: &str = "chicoryladder-class";

/// Identifies a request or job of a caller, so that a retry finds the first one.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Set to `not-run` by a backend server on a 503 response to a request that it did not
/// start.
pub const SERVER_VERDICT: &str = "chicoryladder-server-verdict";

/// The load of a backend server, on every response, as
/// `running=<count>;waiting=<count>`.
pub const SERVER_LOAD: &str = "chicoryladder-load";

/// Set to `1` by a backend server on every response while it leaves: it finishes its
/// requests and is to be given no new ones. Other values are ignored.
pub const SERVER_LEAVING: &str = "chicoryladder-server-leaving";

/// The fencing number of a command to a backend server; see
/// [`crate::FencingNumber`].
pub const FENCING_NUMBER: &str = "chicoryladder-fencing";

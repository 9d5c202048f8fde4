//! HTTP interfaces to callers, backend servers, the platform and operators.
//!
//! The gateway converts between HTTP messages and typed requests and results.
//! It makes no serving decisions: each kind of request is passed to a trait
//! object (a port) that the host implements. This keeps the handling of HTTP
//! (limits on bodies and header fields, removal of credentials, truncated
//! bodies) apart from the serving logic.
//!
//! Requests to backend servers are sent with [`ServerClient`], which reports
//! for every failed attempt whether the request may have run.

mod answer;
mod arriving_body;
mod body;
mod body_reader;
mod caller_requests;
mod caller_stream;
mod callers;
mod charged_answer;
mod client_connection;
mod completeness;
mod credentials;
mod held_answer;
mod job_requests;
mod listener;
mod machine_bounds;
mod memory_account;
mod operators;
mod overload;
mod peer_holder;
mod ports;
mod server_client;
mod server_connector;
mod servers;
mod stream_end;

pub use answer::{json_answer, refusal_answer, text_answer};
pub use body::{AnswerBody, BodyError, bytes_body, empty_body};
pub use body_reader::{BodyLimits, read_body};
pub use callers::{CallerService, IdSource};
pub use completeness::{
    BodyFraming, EventBoundary, JsonBoundary, check_whole_body, is_event_stream, is_malformed,
    is_unverified_json, may_end_by_time_limit,
};
pub use credentials::{bearer_key, forwarded_headers, forwarded_query};
pub use held_answer::HeldAnswer;
pub use listener::{HttpListener, HttpService, ListenError, ListenerLimits, RemoteAddress};
pub use machine_bounds::MachineBounds;
pub use memory_account::MemoryAccount;
pub use operators::OperatorService;
pub use ports::{
    AdminAnswer, AdminRequest, ItemCounts, JobPort, JobView, OnlinePort, OnlineRequest,
    OperatorPort, PlatformPort, ServerPort, SubmitRequest,
};
pub use server_client::{ServerClient, ServerFailure, ServerRequest, no_answer, says_leaving};
pub use server_connector::{ServerBytes, ServerConnector};
pub use servers::ServerService;
pub use stream_end::{StreamEnd, StreamOptions, ends_with_marker, watch_stream};

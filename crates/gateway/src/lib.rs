//! HTTP towards callers, backend servers, the platform and operators.
//!
//! The gateway turns HTTP into typed requests and typed answers into HTTP. It
//! takes no decision: each kind of request goes to a trait object (a port) that
//! the host implements. So the rules of HTTP (limits on bodies and header
//! fields, credentials that must not travel on, bodies that end early) stand in
//! one place, apart from the rules of serving.
//!
//! Towards backend servers the gateway gives out [`ServerClient`], which says
//! of every failed attempt whether the request may have run.

mod answer;
mod body;
mod caller_requests;
mod callers;
mod credentials;
mod job_requests;
mod listener;
mod operators;
mod ports;
mod readers;
mod server_client;
mod servers;
mod stream_end;

pub use answer::{json_answer, refusal_answer, text_answer};
pub use body::{AnswerBody, BodyError, bytes_body, empty_body};
pub use callers::{CallerService, IdSource};
pub use credentials::{bearer_key, forwarded_headers, forwarded_query};
pub use listener::{HttpListener, HttpService, ListenError, ListenerLimits};
pub use operators::OperatorService;
pub use ports::{
    AdminAnswer, AdminRequest, ItemCounts, JobPort, JobView, OnlinePort, OnlineRequest,
    OperatorPort, PlatformPort, ServerPort, SubmitRequest,
};
pub use server_client::{ServerClient, ServerFailure, ServerRequest};
pub use servers::ServerService;
pub use stream_end::{StreamEnd, StreamOptions, watch_stream};

//! Tests of the gateway against raw TCP peers over loopback.

#![allow(clippy::unwrap_used)]

mod bad_input;
mod broken_body;
mod completeness;
mod credentials;
mod crowded;
mod cut_responses;
mod early_responses;
mod raw;
mod server_client;
mod status_lines;
mod stream_end;

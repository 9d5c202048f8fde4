//! Tests of the job state machine and its parts.

mod history;
mod machine;
mod parse;
mod schedule;
mod store;
mod support;

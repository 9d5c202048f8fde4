//! Tests of the job state machine and its components.

mod history;
mod machine;
mod parse;
mod schedule;
mod store;
mod support;

//! Tests of the job state machine and its parts.

mod machine;
mod parse;
mod support;

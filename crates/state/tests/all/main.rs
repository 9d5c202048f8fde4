//! Tests of the replicated aggregates.

mod machine;
mod races;
mod support;

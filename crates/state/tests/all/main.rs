//! Tests of the replicated aggregates.

mod lease;
mod machine;
mod races;
mod spread;
mod support;

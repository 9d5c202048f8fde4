//! Tests of the replicated aggregates.

mod machine;
mod races;
mod spread;
mod support;

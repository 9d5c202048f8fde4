//! Tests of the replicated aggregates.

mod board;
mod machine;
mod races;
mod spread;
mod support;

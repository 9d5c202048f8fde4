//! Tests of the replicated aggregates.

mod board;
mod machine;
mod propagation;
mod races;
mod support;

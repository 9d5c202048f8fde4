//! Tests of the replicated fleet state.

mod board;
mod machine;
mod propagation;
mod races;
mod support;
mod zone_drains;

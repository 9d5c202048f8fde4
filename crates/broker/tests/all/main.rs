//! Tests of the broker.

mod bursts;
mod directory;
mod rates;
mod slots;
mod support;

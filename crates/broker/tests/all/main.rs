//! Tests of the broker.

mod alone;
mod bursts;
mod directory;
mod rates;
mod slots;
mod support;

//! Tests of the slot broker.

mod brokerless;
mod bursts;
mod departures;
mod directory;
mod rates;
mod reserves;
mod slots;
mod support;

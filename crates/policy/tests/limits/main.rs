//! Tests of the fleet-wide rate limit under faults. They check the bound
//! `burst + rate * t` over every window of length `t`.

mod bound;
mod fleet;
mod lease;
mod sensitivity;
mod strict;
mod waiting;

//! Rate and burst over all hosts, under faults, with the strict bound checked
//! over every window.

mod bound;
mod doubles;
mod fleet;
mod lease;
mod strict;
mod waiting;

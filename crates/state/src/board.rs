//! Numbered boards: how each class fares against its target.
//!
//! Each host counts its requests over a sliding window and reports to one host,
//! the leader of group 0, which makes the boards. A board's number is the
//! leader's term and a sequence within it, so no two boards have one number and
//! a new leader's numbers are higher. Every host and screen keeps the highest
//! that it has seen.

mod maker;
mod tally;

pub use maker::{BoardAggregator, BoardCache};
pub use tally::{ClassReport, StatisticsReport, StatisticsWindow};

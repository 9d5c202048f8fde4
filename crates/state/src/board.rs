//! Numbered status boards: how each class performs against its target.
//!
//! Each host counts its requests over a sliding window and reports the counts to
//! the leader of the consensus group, which aggregates them into boards. A board's
//! number combines the leader's term with a sequence number within the term, so
//! numbers are unique and those of a new leader are higher. Every host and display
//! keeps the board with the highest number that it has received.

mod aggregator;
mod statistics;

pub use aggregator::{BoardAggregator, BoardCache};
pub use statistics::{ClassReport, StatisticsReport, StatisticsWindow};

//! Whether a failed attempt is tried again, and when.
//!
//! The verdict of the failed attempt decides first: `NotRun` permits another
//! attempt of any request, `MayHaveRun` of an idempotent one only. Then the
//! attempts made, the deadline and the budget of the class decide. The budget
//! keeps retries a fixed share of first attempts, so that a failing fleet is
//! not loaded with a multiple of its traffic.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::{AttemptFailure, RetryDecision, RetryPolicy, RetryStop};

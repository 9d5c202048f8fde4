//! Decides whether and when a failed attempt is retried.
//!
//! The verdict of the failed attempt comes first: `NotRun` permits a retry of any
//! request, `MayHaveRun` only of an idempotent one. The number of attempts, the
//! deadline and the retry budget of the class are checked next. The budget limits
//! retries to a fixed share of first attempts, so that retries do not multiply the
//! load on a failing fleet.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::{AttemptFailure, RetryDecision, RetryPolicy, RetryStop};

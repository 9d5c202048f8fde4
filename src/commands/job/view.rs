//! The state of a job as the callers' API reports it.

use crate::error::CommandError;
use serde::{Deserialize, Serialize};

/// A job in the JSON format of public batch APIs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JobView {
    pub(super) id: String,
    pub(super) status: String,
    pub(super) class: String,
    pub(super) request_counts: ItemCounts,
}

/// The number of items of a job by state.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct ItemCounts {
    pub(super) total: u64,
    completed: u64,
    failed: u64,
    #[serde(default)]
    cancelled: u64,
    #[serde(default)]
    outcome_unknown: u64,
}

impl ItemCounts {
    /// Returns the number of items in a final state.
    pub(super) fn ended(self) -> u64 {
        self.completed + self.without_result()
    }

    fn without_result(self) -> u64 {
        self.failed + self.cancelled + self.outcome_unknown
    }
}

impl JobView {
    /// Whether the job is in a final state.
    pub(super) fn has_ended(&self) -> bool {
        matches!(self.status.as_str(), "completed" | "cancelled" | "failed")
    }

    /// Returns an error if items have no result.
    pub(super) fn require_all_results(&self) -> Result<(), CommandError> {
        match self.request_counts.without_result() {
            0 => Ok(()),
            count => Err(CommandError::ItemsFailed {
                count,
                total: self.request_counts.total,
            }),
        }
    }

    pub(super) fn describe(&self) -> String {
        let counts = self.request_counts;
        format!(
            "job {} of class {}: {}, {} of {} items completed, {} failed, {} cancelled, {} with an unknown outcome",
            self.id,
            self.class,
            self.status,
            counts.completed,
            counts.total,
            counts.failed,
            counts.cancelled,
            counts.outcome_unknown
        )
    }
}

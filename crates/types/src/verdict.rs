//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Says whether a request may have run on a backend server.
///
/// Only the place that knows sets it. `NotRun` holds only if no byte of the
/// request reached a connection to a backend server, or if the server itself
/// refused it with a documented answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunVerdict {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run, in part or whole.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl RunVerdict {
    /// The value of the `chicoryladder-verdict` response header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// The weaker claim of two attempts at the same request.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

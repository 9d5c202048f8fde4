//! Whether a request may have run.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request may have run on a backend server.
///
/// It is set only where this is known. A request is `NotRun` only if none of its bytes
/// were written to a connection to a backend server, or if the server itself refused it
/// with a documented response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunVerdict {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run, partially or completely.
    MayHaveRun,
    /// The request ran to completion.
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

    /// The verdict for two attempts at the same request: `Ran` takes precedence over
    /// `MayHaveRun`, and that over `NotRun`.
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

//! Software versions of backend servers.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The version of the software of a server. Versions have no order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

//! Identifiers of requests, jobs, groups and operations, and counters of versions.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The maximum length of an operation id, in bytes.
const OPERATION_ID_MAX_BYTES: usize = 128;

/// The text is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is not 32 hexadecimal digits.
    #[error("an identifier has 32 hexadecimal digits")]
    NotHexadecimal,
    /// The operation id is empty, longer than 128 bytes or not printable ASCII.
    #[error("an operation id has 1 to {OPERATION_ID_MAX_BYTES} printable ASCII characters")]
    BadOperationId,
}

macro_rules! random_ids {
    ($($(#[$meta:meta])* $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(u128);

        impl $name {
            /// Creates an identifier from 128 random bits.
            #[must_use]
            pub const fn new(bits: u128) -> Self {
                Self(bits)
            }

            /// The 128 bits.
            #[must_use]
            pub const fn bits(self) -> u128 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(text: &str) -> Result<Self, IdError> {
                let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
                if !digits {
                    return Err(IdError::NotHexadecimal);
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| IdError::NotHexadecimal)
            }
        }
    )*};
}

random_ids! {
    /// Identifies one request of a caller on every host and backend server that handles it.
    RequestId;
    /// Identifies one batch job.
    JobId;
}

macro_rules! counters {
    ($($(#[$meta:meta])* $name:ident($raw:ty);)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $raw);

        impl $name {
            /// The next value.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

counters! {
    /// Identifies one replicated group.
    GroupId(u32);
    /// Identifies one seat of a replicated group: a numbered membership slot, held by one
    /// host. A host whose disk was replaced gets a new seat.
    SeatId(u64);
    /// The number of a Raft term of a replicated group.
    TermNumber(u64);
    /// The index of an entry in a replicated log; the first entry has index 1.
    LogIndex(u64);
    /// The revision of the accepted fleet document; 0 is the empty document.
    FleetRevision(u64);
    /// Orders the commands sent to one backend server, so that it can reject outdated
    /// ones.
    FencingNumber(u64);
    /// The number of an incarnation of a backend server; incremented by a restart.
    ServerGeneration(u64);
}

/// Identifies one operation of an operator, so that a retry gets the result of the first
/// attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperationId(String);

impl OperationId {
    /// The identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for OperationId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        let printable = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > OPERATION_ID_MAX_BYTES || !printable {
            return Err(IdError::BadOperationId);
        }
        Ok(Self(text))
    }
}

impl TryFrom<&str> for OperationId {
    type Error = IdError;

    fn try_from(text: &str) -> Result<Self, IdError> {
        Self::try_from(text.to_owned())
    }
}

impl From<OperationId> for String {
    fn from(id: OperationId) -> Self {
        id.0
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

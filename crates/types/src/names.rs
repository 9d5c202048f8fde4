//! Validated names chosen by people: hosts, zones, teams, classes and so on.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The maximum length of a name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// The text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty.
    #[error("a {kind} must not be empty")]
    Empty {
        /// The kind of name.
        kind: &'static str,
    },
    /// The text is longer than 64 bytes.
    #[error("a {kind} has at most {NAME_MAX_BYTES} bytes, this one has {length}")]
    TooLong {
        /// The kind of name.
        kind: &'static str,
        /// The actual length, in bytes.
        length: usize,
    },
    /// The text contains a character outside of `[A-Za-z0-9._-]`.
    #[error("a {kind} holds only letters, digits, '.', '_' and '-', found {found:?}")]
    BadCharacter {
        /// The kind of name.
        kind: &'static str,
        /// The first invalid character.
        found: char,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if text.len() > NAME_MAX_BYTES {
        let length = text.len();
        return Err(NameError::TooLong { kind, length });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(NameError::BadCharacter { kind, found }),
        None => Ok(()),
    }
}

macro_rules! checked_names {
    ($($(#[$meta:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::try_from(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

checked_names! {
    /// The name of an entry host.
    HostName, "host name";
    /// The name of an availability zone.
    ZoneName, "zone name";
    /// The name of an area: one or more availability zones near each other.
    AreaName, "area name";
    /// The name of a team.
    TeamName, "team name";
    /// The name of a class of requests or jobs.
    ClassName, "class name";
    /// The name of a route.
    RouteName, "route name";
    /// The name of a service that backend servers offer.
    ServiceName, "service name";
    /// The name of a model.
    ModelName, "model name";
    /// The name of a backend server.
    ServerName, "server name";
}

impl From<&ModelName> for ServiceName {
    /// The service of the servers that run a model; both kinds of names obey the same rules.
    fn from(model: &ModelName) -> Self {
        Self(model.0.clone())
    }
}

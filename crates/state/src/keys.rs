//! API keys: their text format, their hashes and the key registry.
//!
//! A key has the form `ck_<id>_<secret>`. The id is public: it locates the record
//! in one lookup and identifies the key to operators. The secret is never stored.
//! It is derived from a secret shared by all entry hosts and a random salt, so a
//! resent grant returns the same key although the log holds only the salt and the
//! hash.

mod registry;
mod text;

pub(crate) use registry::KeyRegistry;
pub use registry::{KeyRecord, KeyState};
pub use text::{KeyError, KeyGrant, KeyId, KeySalt, KeyText, SecretHash};

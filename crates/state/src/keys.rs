//! Callers' keys: their text, their hash and their register.
//!
//! A key reads `ck_<id>_<secret>`. The id is no secret: it finds the record in
//! one lookup and names the key to operators. The secret is never stored. It
//! is derived from the secret that all entry hosts share and from a random
//! salt, so a resent grant gets the same key again although only the salt and
//! the hash are in the log.

mod register;
mod text;

pub(crate) use register::KeyRegister;
pub use register::{KeyRecord, KeyState};
pub use text::{KeyError, KeyGrant, KeyId, KeySalt, KeyText, SecretHash};

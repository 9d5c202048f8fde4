//! The text format of keys, and key ids, salts and hashes.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;
use subtle::ConstantTimeEq;

const PREFIX: &str = "ck_";
const ID_DIGITS: usize = 16;
const SECRET_DIGITS: usize = 64;
const DERIVE_CONTEXT: &str = "chicoryladder 2026-12 caller key secret";

/// An error in parsing a key or key id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The text does not have the form `ck_<id>_<secret>`.
    #[error(
        "a key has the form ck_<id>_<secret>, with {ID_DIGITS} and {SECRET_DIGITS} \
         hexadecimal digits"
    )]
    NotAKey,
    /// The text is not 16 hexadecimal digits.
    #[error("a key id has {ID_DIGITS} hexadecimal digits")]
    NotAnId,
}

/// Identifies a key. The id is not secret: operators see it, and it locates the key's
/// record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyId(u64);

impl KeyId {
    /// Creates an id from 64 random bits.
    #[must_use]
    pub const fn new(bits: u64) -> Self {
        Self(bits)
    }

    /// The 64 bits of the id.
    #[must_use]
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl TryFrom<&str> for KeyId {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, KeyError> {
        if !is_lower_hex(text, ID_DIGITS) {
            return Err(KeyError::NotAnId);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| KeyError::NotAnId)
    }
}

/// Random bytes that enter the derivation of a key's secret and the hash of the secret,
/// so that equal secrets have different hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySalt(pub [u8; 16]);

/// The salted BLAKE3 hash of a key's secret.
#[derive(Clone, Copy, Debug, Eq, Serialize, Deserialize)]
pub struct SecretHash([u8; 32]);

impl SecretHash {
    /// The hash of `secret` under `salt`.
    #[must_use]
    pub fn of(salt: KeySalt, secret: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&salt.0);
        hasher.update(secret.as_bytes());
        Self(*hasher.finalize().as_bytes())
    }
}

impl PartialEq for SecretHash {
    /// Compares in constant time, so that timing reveals nothing about the hash.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// The text of a key, parsed into its parts.
#[derive(Clone, Copy)]
pub struct KeyText<'a> {
    /// The public id of the key.
    pub id: KeyId,
    pub(crate) secret: &'a str,
}

impl<'a> TryFrom<&'a str> for KeyText<'a> {
    type Error = KeyError;

    fn try_from(text: &'a str) -> Result<Self, KeyError> {
        let rest = text.strip_prefix(PREFIX).ok_or(KeyError::NotAKey)?;
        let (id, secret) = rest.split_once('_').ok_or(KeyError::NotAKey)?;
        if !is_lower_hex(secret, SECRET_DIGITS) {
            return Err(KeyError::NotAKey);
        }
        let id = KeyId::try_from(id).map_err(|_| KeyError::NotAKey)?;
        Ok(Self { id, secret })
    }
}

/// A granted key, shown once to the operator who requested it.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyGrant {
    /// The id of the key.
    pub key_id: KeyId,
    /// The salt from which the secret was derived.
    pub salt: KeySalt,
    secret: String,
}

impl KeyGrant {
    /// Derives the key of `team` from its id, its salt and the secret shared by all
    /// entry hosts.
    #[must_use]
    pub fn derive(shared_secret: &[u8], team: &TeamName, key_id: KeyId, salt: KeySalt) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DERIVE_CONTEXT);
        hasher.update(&salt.0);
        hasher.update(&key_id.bits().to_le_bytes());
        hasher.update(&(team.as_str().len() as u64).to_le_bytes());
        hasher.update(team.as_str().as_bytes());
        hasher.update(shared_secret);
        Self {
            key_id,
            salt,
            secret: hasher.finalize().to_hex().to_string(),
        }
    }

    /// The salted hash of the secret. The replicated log stores it in place of the secret.
    #[must_use]
    pub fn secret_hash(&self) -> SecretHash {
        SecretHash::of(self.salt, &self.secret)
    }

    /// The full text of the key.
    #[must_use]
    pub fn key_text(&self) -> String {
        format!("{PREFIX}{}_{}", self.key_id, self.secret)
    }
}

impl fmt::Debug for KeyGrant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyGrant")
            .field("key_id", &self.key_id)
            .finish_non_exhaustive()
    }
}

fn is_lower_hex(text: &str, digits: usize) -> bool {
    let hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    text.len() == digits && text.bytes().all(hex)
}

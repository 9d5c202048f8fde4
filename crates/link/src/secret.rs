//! The secret shared by all hosts, and authentication tags computed with it.

use subtle::ConstantTimeEq;

/// The minimum length of a secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// The context string for deriving the link's key from the secret.
const KEY_CONTEXT: &str = "chicoryladder link envelope 1";

/// The length of a tag, in bytes; a forged tag is accepted with a probability of
/// 2^-128.
pub(crate) const TAG_BYTES: usize = 16;

/// Why a text cannot be used as a secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The secret is too short.
    #[error("the peer secret has {length} bytes, at least {SECRET_MIN_BYTES} are needed")]
    TooShort {
        /// The actual length, in bytes.
        length: usize,
    },
}

/// The shared secret with which hosts authenticate messages to each other.
#[derive(Clone)]
pub struct PeerSecret {
    key: [u8; blake3::KEY_LEN],
}

impl PeerSecret {
    pub(crate) fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(bytes);
        hasher.finalize_xof().fill(&mut tag);
        tag
    }

    pub(crate) fn verify(&self, bytes: &[u8], tag: &[u8]) -> bool {
        self.tag(bytes).ct_eq(tag).into()
    }
}

impl TryFrom<&str> for PeerSecret {
    type Error = SecretError;

    fn try_from(text: &str) -> Result<Self, SecretError> {
        let text = text.trim();
        if text.len() < SECRET_MIN_BYTES {
            let length = text.len();
            return Err(SecretError::TooShort { length });
        }
        let key = blake3::derive_key(KEY_CONTEXT, text.as_bytes());
        Ok(Self { key })
    }
}

impl std::fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}

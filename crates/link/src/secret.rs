//! The secret that hosts share, and the tags made with it.

use subtle::ConstantTimeEq;

/// The shortest accepted secret, in bytes.
const SECRET_MIN_BYTES: usize = 16;

/// The domain of keys derived for the link.
const KEY_CONTEXT: &str = "chicoryladder link envelope 1";

/// Length of a tag, in bytes; a guess succeeds once in 2 to the power of 128.
pub(crate) const TAG_BYTES: usize = 16;

/// Why a text is not a usable secret.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SecretError {
    /// The secret is too short.
    #[error("the peer secret has {length} bytes, at least {SECRET_MIN_BYTES} are needed")]
    TooShort {
        /// The length found, in bytes.
        length: usize,
    },
}

/// Proves to other hosts that a message comes from one of them.
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

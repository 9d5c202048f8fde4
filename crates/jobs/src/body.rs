//! Message bodies that serialize as a single byte string.
//!
//! Serde's derived implementation for `Vec<u8>` visits each byte separately.
//! Bodies make up nearly all of a log entry, so this type implements its visitor
//! by hand.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// The largest capacity reserved based on an untrusted length prefix, in bytes.
const RESERVE_MAX_BYTES: usize = 64 * 1024;

/// The body of a request or response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BodyBytes(pub Vec<u8>);

impl BodyBytes {
    /// The bytes.
    #[must_use]
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }
}

impl From<&[u8]> for BodyBytes {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }
}

impl Serialize for BodyBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for BodyBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor)
    }
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = BodyBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<BodyBytes, E> {
        Ok(BodyBytes(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<BodyBytes, E> {
        Ok(BodyBytes(bytes))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<BodyBytes, A::Error> {
        let capacity = seq.size_hint().unwrap_or(0).min(RESERVE_MAX_BYTES);
        let mut bytes = Vec::with_capacity(capacity);
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(BodyBytes(bytes))
    }
}

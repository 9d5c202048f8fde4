//! Fields at the end of a message that earlier builds do not send.

use serde::{Deserialize, Deserializer, Serialize};

/// A last field of a message or record that was added after the others.
///
/// Postcard has neither names nor optional fields. Readers of earlier builds ignore the bytes
/// behind the fields that they know, and what writers of earlier builds leave out is read as
/// the default value. Nothing but further tails may follow one in the encoded
/// bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(transparent)]
pub struct Tail<T>(pub T);

impl<'de, T: Deserialize<'de> + Default> Deserialize<'de> for Tail<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The error of a missing value is not distinguishable from that of a malformed one.
        Ok(Self(T::deserialize(deserializer).unwrap_or_default()))
    }
}

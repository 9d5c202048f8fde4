//! Answers of servers that are read before they are passed on.

use crate::machine_bounds::MachineBounds;
use crate::memory_account::MemoryCharge;
use bytes::Bytes;

/// The part of a server's answer that was read, charged to the account of the process until the
/// last reference to it is dropped.
pub struct HeldAnswer {
    bounds: MachineBounds,
    bytes: Vec<u8>,
    charge: MemoryCharge,
}

/// A part of an answer that waits for its caller, charged to the account of the process.
pub(crate) struct HeldPart {
    pub(crate) part: Bytes,
    pub(crate) _charge: MemoryCharge,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.part
    }
}

impl HeldAnswer {
    pub(crate) fn new(bounds: MachineBounds) -> Self {
        Self {
            charge: bounds.charge_answer(0),
            bytes: Vec::new(),
            bounds,
        }
    }

    /// The bytes read so far.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Adds a part of the answer. The request has run, so the part is kept even if the account
    /// is full; new requests are refused meanwhile.
    pub fn push(&mut self, part: &[u8]) {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2);
            let added = capacity - self.bytes.capacity();
            self.charge.merge(self.bounds.charge_answer(added));
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
    }

    /// Ends the reading.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

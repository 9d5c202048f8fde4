//! The part of a body that has arrived.
//!
//! Bodies are kept in blocks of one size, which the account of the process uses again for
//! other bodies. With buffers that grow, the allocator of a process with several threads kept
//! more than three times the charged bytes.

use crate::memory_account::{BLOCK_BYTES, MemoryAccount, MemoryCharge};
use bytes::Bytes;
use std::sync::Arc;

/// The capacity of a block for the first bytes of a body.
const FIRST_CAPACITY: usize = 4 * 1024;

/// The part of a body that has arrived, and what is charged for it.
#[derive(Debug)]
pub(crate) struct ArrivingBody {
    account: Arc<MemoryAccount>,
    charge: MemoryCharge,
    /// The first block grows up to the size of the others.
    first: Vec<u8>,
    others: Vec<Vec<u8>>,
    length: usize,
}

impl ArrivingBody {
    pub(crate) fn new(account: Arc<MemoryAccount>) -> Self {
        Self {
            charge: account.charge_always(0),
            account,
            first: Vec::new(),
            others: Vec::new(),
            length: 0,
        }
    }

    /// The capacity that holds `length` bytes of a body that has `most` at most.
    pub(crate) fn capacity_for(length: usize, most: usize) -> usize {
        if length <= BLOCK_BYTES {
            let doubled = length.next_power_of_two().max(FIRST_CAPACITY);
            return doubled.min(most.max(length)).min(BLOCK_BYTES);
        }
        length.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }

    /// Adds what is charged for a greater capacity.
    pub(crate) fn add_charge(&mut self, charge: MemoryCharge) {
        self.charge.merge(charge);
    }

    /// Appends bytes for which there is `capacity` in the charge.
    pub(crate) fn append(&mut self, mut bytes: &[u8], capacity: usize) {
        self.length += bytes.len();
        let first_capacity = capacity.min(BLOCK_BYTES);
        if self.first.capacity() < first_capacity {
            self.first.reserve_exact(first_capacity - self.first.len());
        }
        while !bytes.is_empty() {
            let block = if self.first.len() < first_capacity {
                &mut self.first
            } else {
                let is_full = |block: &Vec<u8>| block.len() >= BLOCK_BYTES;
                if self.others.last().is_none_or(is_full) {
                    self.others.push(self.account.take_block());
                }
                let Some(block) = self.others.last_mut() else {
                    return;
                };
                block
            };
            let limit = first_capacity.max(block.capacity().min(BLOCK_BYTES));
            let count = bytes.len().min(limit.saturating_sub(block.len()));
            let (part, rest) = bytes.split_at(count);
            block.extend_from_slice(part);
            bytes = rest;
        }
    }

    /// Joins the blocks. The joined body takes over what is charged for the blocks, each of which
    /// is given back once it has been copied.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        let mut bytes = std::mem::take(&mut self.first);
        let mut charge = std::mem::replace(&mut self.charge, self.account.charge_always(0));
        if !self.others.is_empty() {
            bytes.reserve_exact(self.length - bytes.len());
            for block in self.others.drain(..) {
                bytes.extend_from_slice(&block);
                self.account.return_block(block);
            }
        }
        charge.shrink_to(bytes.capacity());
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: charge,
        })
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        for block in self.others.drain(..) {
            self.account.return_block(block);
        }
    }
}

/// A whole body, charged until it is dropped.
struct ChargedBytes {
    bytes: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn expected(index: usize) -> u8 {
        u8::try_from(index % 251).expect("a byte")
    }

    fn body(account: &Arc<MemoryAccount>, length: usize, step: usize) -> ArrivingBody {
        let mut body = ArrivingBody::new(account.clone());
        let bytes: Vec<u8> = (0..length).map(expected).collect();
        let (mut arrived, mut capacity) = (0, 0);
        for chunk in bytes.chunks(step) {
            arrived += chunk.len();
            let next = ArrivingBody::capacity_for(arrived, usize::MAX);
            body.add_charge(account.charge_always(next - capacity));
            capacity = next;
            body.append(chunk, capacity);
        }
        body
    }

    /// Guards against bytes that are lost or change places at the borders of blocks.
    #[test]
    fn joined_blocks_are_what_arrived() {
        let account = MemoryAccount::new(100_000_000);
        for length in [1, 4_096, 65_535, 65_536, 65_537, 300_000] {
            for step in [1, 1_000, 65_536, 200_000] {
                let joined = body(&account, length, step).into_bytes();
                let is_same = |(index, byte): (usize, &u8)| *byte == expected(index);
                assert!(joined.len() == length && joined.iter().enumerate().all(is_same));
                assert!(account.used() >= length);
                drop(joined);
                assert_eq!(account.used(), 0);
            }
        }
    }

    /// Guards against blocks that are allocated anew for each body.
    #[test]
    fn blocks_are_used_again() {
        let account = MemoryAccount::new(100_000_000);
        drop(body(&account, 300_000, 1_000));
        assert_eq!(account.free_blocks(), 4);
        let again = body(&account, 300_000, 1_000);
        assert_eq!(account.free_blocks(), 0);
        drop(again.into_bytes());
        assert_eq!((account.free_blocks(), account.used()), (4, 0));
    }
}

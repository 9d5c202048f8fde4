//! The account of the bytes that a process holds for its clients.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The divisor of the part of the account that only small holders may use, so that ordinary
/// requests are still read while large bodies fill the rest.
const SMALL_PART_DIVISOR: usize = 4;

/// The size of a holder, which decides how much of the account it may fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderSize {
    /// May fill the whole account.
    Small,
    /// Leaves a quarter of the account to small holders.
    Large,
}

/// The size of the blocks of bodies. It is below the least size that the C library maps for
/// itself, 128 KiB.
pub(crate) const BLOCK_BYTES: usize = 64 * 1024;

/// The capacity up to which a holder is small. The bodies of ordinary requests are a few KiB.
const SMALL_MAX_BYTES: usize = BLOCK_BYTES;

impl HolderSize {
    /// The size of a holder of `bytes`.
    pub(crate) fn of(bytes: usize) -> Self {
        if bytes <= SMALL_MAX_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }
}

/// The account of the bytes that a process holds for its clients.
///
/// Bytes are charged before they are kept, and released when the charge is dropped.
#[derive(Debug)]
pub struct MemoryAccount {
    capacity: usize,
    used: AtomicUsize,
    /// Blocks that no body needs at present. There are never more blocks than were charged at
    /// once.
    free_blocks: Mutex<Vec<Vec<u8>>>,
}

impl MemoryAccount {
    /// Creates an empty account of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            capacity,
            used: AtomicUsize::new(0),
            free_blocks: Mutex::default(),
        })
    }

    /// The bytes that may be charged.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The bytes that are charged.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The bytes up to which large holders may fill the account.
    pub(crate) fn large_max_bytes(&self) -> usize {
        self.capacity - self.capacity / SMALL_PART_DIVISOR
    }

    /// Whether more is charged than the capacity.
    pub(crate) fn is_overdrawn(&self) -> bool {
        self.used() > self.capacity
    }

    /// Charges `bytes`; `None` if they do not fit.
    pub(crate) fn try_charge(
        self: &Arc<Self>,
        bytes: usize,
        size: HolderSize,
    ) -> Option<MemoryCharge> {
        let limit = match size {
            HolderSize::Small => self.capacity,
            HolderSize::Large => self.large_max_bytes(),
        };
        let fits = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .ok()?;
        Some(self.charged(bytes))
    }

    /// Charges `bytes` that are kept in any case, such as those of an answer.
    pub(crate) fn charge_always(self: &Arc<Self>, bytes: usize) -> MemoryCharge {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        self.charged(bytes)
    }

    /// An empty block with room for `BLOCK_BYTES`, which the caller has charged.
    pub(crate) fn take_block(&self) -> Vec<u8> {
        let free = self.blocks().pop();
        free.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Gives back a block.
    pub(crate) fn return_block(&self, mut block: Vec<u8>) {
        block.clear();
        self.blocks().push(block);
    }

    fn blocks(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.free_blocks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    #[cfg(test)]
    pub(crate) fn free_blocks(&self) -> usize {
        self.blocks().len()
    }

    fn charged(self: &Arc<Self>, bytes: usize) -> MemoryCharge {
        let account = self.clone();
        MemoryCharge { account, bytes }
    }
}

/// Bytes that are charged to an account until this is dropped.
#[derive(Debug)]
pub(crate) struct MemoryCharge {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

impl MemoryCharge {
    /// The bytes that are charged.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of another charge to the same account.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases what is charged beyond `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.account.used.fetch_sub(excess, Ordering::Relaxed);
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.account.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against large bodies that leave no room for ordinary requests.
    #[test]
    fn large_holders_leave_a_part_to_small_ones() {
        let account = MemoryAccount::new(1_000);
        let large = account.try_charge(750, HolderSize::Large).expect("it fits");
        assert!(account.try_charge(1, HolderSize::Large).is_none());
        let small = account.try_charge(250, HolderSize::Small).expect("it fits");
        assert!(account.try_charge(1, HolderSize::Small).is_none());
        drop((large, small));
        assert_eq!(account.used(), 0);
    }

    /// Guards against a charge that is released twice, or never.
    #[test]
    fn merged_and_shrunk_charges_are_released_once() {
        let account = MemoryAccount::new(1_000);
        let mut charge = account.charge_always(600);
        charge.merge(account.charge_always(600));
        assert!(account.is_overdrawn());
        charge.shrink_to(100);
        assert_eq!(account.used(), 100);
        drop(charge);
        assert_eq!(account.used(), 0);
    }

    /// Guards against a request for more bytes than a number can hold.
    #[test]
    fn a_sum_beyond_the_largest_number_does_not_fit() {
        let account = MemoryAccount::new(1_000);
        let _charge = account.charge_always(500);
        assert!(account.try_charge(usize::MAX, HolderSize::Small).is_none());
    }
}

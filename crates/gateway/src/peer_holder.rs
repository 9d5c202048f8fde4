//! What other hosts occupy in this process: their messages share the account with clients.

use crate::machine_bounds::{MachineBounds, PeerTotals};
use crate::memory_account::MemoryCharge;
use chicoryladder_types::{PeerBounds, PeerCharge};
use std::net::IpAddr;
use std::sync::Arc;

/// Bytes of other hosts, charged until this is dropped.
pub(crate) struct PeerHolder {
    pub(crate) totals: Arc<PeerTotals>,
    pub(crate) bytes: usize,
    pub(crate) _charge: MemoryCharge,
}

impl Drop for PeerHolder {
    fn drop(&mut self) {
        self.totals.release(self.bytes);
    }
}

impl PeerBounds for MachineBounds {
    fn try_charge_peer(&self, bytes: usize) -> Option<PeerCharge> {
        Some(Box::new(self.charge_peer(bytes)?))
    }

    fn message_max_bytes(&self) -> usize {
        self.memory().large_max_bytes()
    }

    fn unidentified_max(&self) -> usize {
        self.unidentified_peers_max()
    }

    fn note_closed_peer(&self, address: IpAddr, why: &str) {
        self.note_closed(address, why);
    }
}

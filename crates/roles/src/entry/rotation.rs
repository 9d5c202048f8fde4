//! Whether the load balancer still opens connections to the host.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// The probes in a row that the load balancer has to find unready before it opens no more
/// connections to the host.
const UNREADY_PROBES: u32 = 2;

/// The further probes during which connections are closed. If no host is ready, the load balancer
/// uses all of them again, and connections that were closed for long would only come back.
const CLOSING_PROBES: u32 = 5;

/// What the host tells the load balancer. Callers keep their connections when the load balancer
/// takes the host out of rotation, so the host has to close these itself; new connections then
/// reach hosts that are ready.
#[derive(Debug, Default)]
pub(super) struct RotationState {
    draining: AtomicBool,
    unready_probes: AtomicU32,
}

impl RotationState {
    /// Withdraws readiness for good.
    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Records the answer to a readiness probe.
    pub(super) fn record_probe(&self, ready: bool) {
        if ready {
            self.unready_probes.store(0, Ordering::Relaxed);
        } else {
            self.unready_probes.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Whether responses close the connections of callers.
    pub(super) fn closes_connections(&self) -> bool {
        let closing = UNREADY_PROBES..UNREADY_PROBES + CLOSING_PROBES;
        self.is_draining() || closing.contains(&self.unready_probes.load(Ordering::Relaxed))
    }
}

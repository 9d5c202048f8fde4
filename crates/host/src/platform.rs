//! Readiness checks for the platform's load balancer.

use crate::replica::ReplicaHandle;
use chicoryladder_gateway::PlatformPort;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether this host is draining; clones share the flag.
#[derive(Clone, Default)]
pub(crate) struct DrainFlag(Arc<AtomicBool>);

impl DrainFlag {
    pub(crate) fn raise(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub(crate) fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Answers the platform's readiness probes.
pub(crate) struct PlatformService {
    pub(crate) drain: DrainFlag,
    pub(crate) replica: ReplicaHandle,
}

impl PlatformPort for PlatformService {
    fn ready(&self) -> Result<(), String> {
        if self.drain.is_raised() {
            return Err("draining".to_owned());
        }
        if !self.replica.is_fresh() {
            return Err("waiting for the configuration".to_owned());
        }
        Ok(())
    }
}

//! Identity and timing parameters of a link.

use chicoryladder_types::prelude::*;
use std::time::Duration;

/// Identifies the local host to its peers.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// The name of the host.
    pub host: HostName,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The number of this start of the process; a later start has a higher number.
    pub incarnation: u64,
}

/// Timing of connections and of the probes that check them.
#[derive(Clone, Copy, Debug)]
pub struct LinkTiming {
    /// The interval of probes to a peer.
    pub probe_interval: Duration,
    /// How long probes may stay unanswered before the connection is replaced.
    pub probe_timeout: Duration,
    /// The maximum time to hand one message to the connection.
    pub send_timeout: Duration,
    /// The time without messages after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(1_500),
            probe_timeout: Duration::from_secs(3),
            send_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

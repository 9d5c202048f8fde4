//! The backend servers, by what they said of themselves.

use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerPhase {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Leaving,
}

/// What a server says of itself at a check-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCheckIn {
    /// The name of the server.
    pub name: ServerName,
    /// When this incarnation of the server started, in milliseconds since the epoch.
    pub incarnation: u64,
    /// Counts the check-ins of one incarnation.
    pub sequence: u64,
    /// The service.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: ServerPhase,
    /// How much longer it stays slow after its start.
    pub warmup_remaining: Duration,
}

/// What became of a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CheckInOutcome {
    /// A server that was not known, or was lost.
    Added,
    /// A known server, as before.
    Renewed,
    /// A known server that begins to leave.
    Leaving,
    /// An older check-in than the last one, or one of an earlier incarnation.
    Stale,
}

/// A server as the broker knows it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The last check-in.
    pub check_in: ServerCheckIn,
    /// When it arrived.
    pub checked_in_at: Instant,
    /// Whether it has been silent for so long that it gets no work.
    pub is_lost: bool,
    /// Until when the server gets no work, since it failed.
    pub suspended_until: Option<Instant>,
    /// Failures since the last success.
    pub failures: u32,
    /// Prompt parts that the server has read, and when they were last used.
    pub warm: HashMap<u64, Instant>,
}

impl ServerRecord {
    /// A server at its first check-in.
    #[must_use]
    pub fn new(check_in: ServerCheckIn, now: Instant) -> Self {
        Self {
            check_in,
            checked_in_at: now,
            is_lost: false,
            suspended_until: None,
            failures: 0,
            warm: HashMap::new(),
        }
    }

    /// Whether the server may get new work.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        let suspended = self.suspended_until.is_some_and(|until| now < until);
        self.check_in.phase == ServerPhase::Ready && !suspended && !self.is_lost
    }

    /// Takes over a newer check-in.
    pub fn renew(&mut self, check_in: ServerCheckIn, now: Instant) -> CheckInOutcome {
        let newer = (check_in.incarnation, check_in.sequence)
            > (self.check_in.incarnation, self.check_in.sequence);
        if !newer {
            return CheckInOutcome::Stale;
        }
        if check_in.incarnation != self.check_in.incarnation {
            // It starts with empty memory, and nothing before counts against it.
            *self = Self::new(check_in, now);
            return CheckInOutcome::Added;
        }
        let leaves =
            check_in.phase == ServerPhase::Leaving && self.check_in.phase == ServerPhase::Ready;
        // One that began to leave never comes back under the same start.
        let phase = match self.check_in.phase {
            ServerPhase::Leaving => ServerPhase::Leaving,
            ServerPhase::Ready => check_in.phase,
        };
        self.check_in = ServerCheckIn { phase, ..check_in };
        self.checked_in_at = now;
        let returns = std::mem::take(&mut self.is_lost);
        match (leaves, returns) {
            (true, _) => CheckInOutcome::Leaving,
            (false, true) => CheckInOutcome::Added,
            (false, false) => CheckInOutcome::Renewed,
        }
    }
}

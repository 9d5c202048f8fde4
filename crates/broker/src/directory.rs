//! The directory of backend servers, built from their check-ins.

use crate::explanation::ServerObstacle;
use chicoryladder_types::prelude::*;
use chicoryladder_types::{ServiceName, SoftwareVersion, Tail};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ServerPhase {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its active work and accepts no more.
    Leaving,
}

/// The state that a server reports at a check-in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCheckIn {
    /// The name of the server.
    pub name: ServerName,
    /// The start time of this incarnation of the server, in milliseconds since the
    /// Unix epoch.
    pub incarnation: u64,
    /// The sequence number of the check-in within its incarnation.
    pub sequence: u64,
    /// The service that the server runs.
    pub service: ServiceName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub phase: ServerPhase,
    /// The remaining warm-up time, during which it runs more slowly.
    pub warmup_remaining: Duration,
}

/// A check-in as it arrived from a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedCheckIn {
    /// The state that the server reports.
    pub check_in: ServerCheckIn,
    /// Whether the server did not say how long it stays cold; `warmup_remaining` is zero then.
    /// Hosts of earlier builds do not tell.
    pub omits_warmup: Tail<bool>,
}

impl ReceivedCheckIn {
    /// How much longer the server stays cold, if it said so.
    pub(crate) fn stated_warmup(&self) -> Option<Duration> {
        (!self.omits_warmup.0).then_some(self.check_in.warmup_remaining)
    }
}

impl From<ServerCheckIn> for ReceivedCheckIn {
    /// A check-in that says how long the server stays cold.
    fn from(check_in: ServerCheckIn) -> Self {
        Self {
            check_in,
            omits_warmup: Tail(false),
        }
    }
}

/// The effect of a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CheckInOutcome {
    /// The server was unknown or lost, and is now listed.
    Added,
    /// The check-in of a listed server was renewed.
    Renewed,
    /// A listed server begins to leave.
    Leaving,
    /// The check-in is older than the recorded one, or belongs to an earlier
    /// incarnation.
    Stale,
}

/// The state of a server as known to the broker.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The latest check-in.
    pub check_in: ServerCheckIn,
    /// When the latest check-in arrived.
    pub checked_in_at: Instant,
    /// Whether check-ins have been missing for so long that it gets no work.
    pub is_lost: bool,
    /// The end of a suspension after a failure, during which it gets no work.
    pub suspended_until: Option<Instant>,
    /// Consecutive failures since the last success.
    pub failures: u32,
    /// Prompt prefixes in the prefix cache of the server, with their last use. Every slot
    /// request looks its segments up for every server, and their ids are hashes already.
    pub cached_segments: FxHashMap<u64, Instant>,
}

impl ServerRecord {
    /// Creates the record of a server from its first check-in.
    #[must_use]
    pub fn new(check_in: ServerCheckIn, now: Instant) -> Self {
        Self {
            check_in,
            checked_in_at: now,
            is_lost: false,
            suspended_until: None,
            failures: 0,
            cached_segments: FxHashMap::default(),
        }
    }

    /// Whether the server may be given new work.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.closed_by(now).is_none()
    }

    /// Why the server may not be given new work, if it may not.
    pub(crate) fn closed_by(&self, now: Instant) -> Option<ServerObstacle> {
        if self.check_in.phase == ServerPhase::Leaving {
            return Some(ServerObstacle::Leaving);
        }
        if self.is_lost {
            return Some(ServerObstacle::Lost);
        }
        let is_suspended = self.suspended_until.is_some_and(|until| now < until);
        is_suspended.then_some(ServerObstacle::Suspended)
    }

    /// Whether no check-in has arrived for longer than `overdue_after`.
    #[must_use]
    pub fn is_overdue(&self, overdue_after: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.checked_in_at) > overdue_after
    }

    /// Ends a suspension and forgets the failures that led to it.
    pub fn lift_suspension(&mut self) {
        self.failures = 0;
        self.suspended_until = None;
    }

    /// Applies a check-in, unless it is stale.
    pub fn renew(&mut self, check_in: ServerCheckIn, now: Instant) -> CheckInOutcome {
        let newer = (check_in.incarnation, check_in.sequence)
            > (self.check_in.incarnation, self.check_in.sequence);
        if !newer {
            return CheckInOutcome::Stale;
        }
        if check_in.incarnation != self.check_in.incarnation {
            // A new incarnation has an empty prefix cache and no recorded failures.
            *self = Self::new(check_in, now);
            return CheckInOutcome::Added;
        }
        let leaves =
            check_in.phase == ServerPhase::Leaving && self.check_in.phase == ServerPhase::Ready;
        // An incarnation that began to leave never becomes ready again.
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

//! The suspect and quarantined requests known to a host.

use super::RequestFingerprint;
use chicoryladder_types::ServerGeneration;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The number of crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// The maximum number of records; the oldest are evicted first.
const SUSPECTS_MAX: usize = 10_000;

/// One crash, identified by the incarnation of the server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerCrash {
    /// The server.
    pub server: ServerName,
    /// The crashed incarnation.
    pub generation: ServerGeneration,
}

/// A crash with the requests of this host that were in flight on the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: ServerCrash,
    /// The requests in flight.
    pub in_flight: Vec<RequestFingerprint>,
}

/// The state of one request, as sent to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Crashes with the request in flight.
    pub crashes: BTreeSet<ServerCrash>,
    /// Crashes from which the request was cleared by a later response.
    pub cleared: BTreeSet<ServerCrash>,
}

/// How a request must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request runs normally.
    Clear,
    /// The request runs only as a trial: as the only request on a server, with a permit.
    Suspect,
    /// The request is refused.
    Quarantined {
        /// The time until the quarantine ends.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug)]
struct SuspectRecord {
    crashes: BTreeSet<ServerCrash>,
    cleared: BTreeSet<ServerCrash>,
    changed_at: Instant,
}

impl SuspectRecord {
    fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// The suspect and quarantined requests, merged from all hosts.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    records: HashMap<RequestFingerprint, SuspectRecord>,
    duration: Duration,
}

impl QuarantineTable {
    /// Creates an empty table; a record expires `duration` after its last change.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        Self {
            records: HashMap::new(),
            duration,
        }
    }

    /// Returns how a request must be handled now.
    #[must_use]
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> SuspectStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectStatus::Clear;
        };
        let age = now.saturating_duration_since(record.changed_at);
        let left = self.duration.saturating_sub(age);
        match record.uncleared_crashes() {
            0 => SuspectStatus::Clear,
            _ if left.is_zero() => SuspectStatus::Clear,
            CRASHES_TO_QUARANTINE.. => SuspectStatus::Quarantined { retry_after: left },
            _ => SuspectStatus::Suspect,
        }
    }

    /// Records a crash for the requests in flight. The returned updates must be sent
    /// to all hosts before the callers receive their responses.
    pub fn report_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<SuspectUpdate> {
        let record_crash = |fingerprint: &RequestFingerprint| {
            let update = SuspectUpdate {
                fingerprint: *fingerprint,
                crashes: BTreeSet::from([report.crash.clone()]),
                cleared: BTreeSet::new(),
            };
            self.merge(&update, now);
            self.update_of(*fingerprint)
        };
        report.in_flight.iter().filter_map(record_crash).collect()
    }

    /// Clears a request that completed; returns the update to send, if it was suspect.
    pub fn report_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<SuspectUpdate> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.uncleared_crashes() == 0 {
            return None;
        }
        record.cleared = record.crashes.clone();
        record.changed_at = now;
        self.update_of(fingerprint)
    }

    /// Clears a request of one crash, which it did not cause; returns the update to send, if
    /// the crash counted against it.
    pub fn clear_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: &ServerCrash,
        now: Instant,
    ) -> Option<SuspectUpdate> {
        let record = self.records.get_mut(&fingerprint)?;
        if !record.crashes.contains(crash) || !record.cleared.insert(crash.clone()) {
            return None;
        }
        record.changed_at = now;
        self.update_of(fingerprint)
    }

    /// Merges the state received from another host. Duplicate and outdated updates
    /// have no effect.
    pub fn merge(&mut self, update: &SuspectUpdate, now: Instant) {
        self.evict_if_full(now);
        let record = self
            .records
            .entry(update.fingerprint)
            .or_insert_with(|| SuspectRecord {
                crashes: BTreeSet::new(),
                cleared: BTreeSet::new(),
                changed_at: now,
            });
        let known = record.crashes.len() + record.cleared.len();
        record.crashes.extend(update.crashes.iter().cloned());
        record.cleared.extend(update.cleared.iter().cloned());
        if record.crashes.len() + record.cleared.len() > known {
            record.changed_at = now;
        }
    }

    /// Returns all records, for a host that joins.
    #[must_use]
    pub fn updates(&self) -> Vec<SuspectUpdate> {
        let keys = self.records.keys();
        keys.filter_map(|key| self.update_of(*key)).collect()
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Instant) {
        let duration = self.duration;
        self.records
            .retain(|_, record| now.saturating_duration_since(record.changed_at) < duration);
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn update_of(&self, fingerprint: RequestFingerprint) -> Option<SuspectUpdate> {
        let record = self.records.get(&fingerprint)?;
        Some(SuspectUpdate {
            fingerprint,
            crashes: record.crashes.clone(),
            cleared: record.cleared.clone(),
        })
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.records.len() < SUSPECTS_MAX {
            return;
        }
        self.expire(now);
        if self.records.len() < SUSPECTS_MAX {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.changed_at);
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&oldest);
        }
    }
}

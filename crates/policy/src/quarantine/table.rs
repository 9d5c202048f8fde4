//! The suspects and quarantined requests that a host knows of.

use super::RequestFingerprint;
use chicoryladder_types::ServerGeneration;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Crashes that quarantine a request.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Suspects kept at a time; the oldest go first.
const SUSPECTS_MAX: usize = 10_000;

/// One crash: the incarnation of the server that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerCrash {
    /// The server.
    pub server: ServerName,
    /// The incarnation that crashed.
    pub generation: ServerGeneration,
}

/// A crash and the requests of this host that were on the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: ServerCrash,
    /// The requests in flight.
    pub in_flight: Vec<RequestFingerprint>,
}

/// What a host tells the others about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Crashes with the request in flight.
    pub crashes: BTreeSet<ServerCrash>,
    /// Crashes after which the request was answered.
    pub cleared: BTreeSet<ServerCrash>,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// It runs as any other.
    Clear,
    /// It runs alone, with a permit.
    Suspect,
    /// It is refused.
    Quarantined {
        /// When the quarantine ends.
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
    fn charged(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }
}

/// Suspicions, merged from all hosts.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    records: HashMap<RequestFingerprint, SuspectRecord>,
    duration: Duration,
}

impl QuarantineTable {
    /// An empty table; suspicion and quarantine last for `duration`.
    #[must_use]
    pub fn new(duration: Duration) -> Self {
        Self {
            records: HashMap::new(),
            duration,
        }
    }

    /// What may be done with a request.
    #[must_use]
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> SuspectStatus {
        let Some(record) = self.records.get(&fingerprint) else {
            return SuspectStatus::Clear;
        };
        let age = now.saturating_duration_since(record.changed_at);
        let left = self.duration.saturating_sub(age);
        match record.charged() {
            0 => SuspectStatus::Clear,
            _ if left.is_zero() => SuspectStatus::Clear,
            CRASHES_TO_QUARANTINE.. => SuspectStatus::Quarantined { retry_after: left },
            _ => SuspectStatus::Suspect,
        }
    }

    /// Marks the requests of a crashed server; the updates go to all hosts
    /// before the callers get their answers.
    pub fn report_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<SuspectUpdate> {
        let mark = |fingerprint: &RequestFingerprint| {
            let update = SuspectUpdate {
                fingerprint: *fingerprint,
                crashes: BTreeSet::from([report.crash.clone()]),
                cleared: BTreeSet::new(),
            };
            self.merge(&update, now);
            self.update_of(*fingerprint)
        };
        report.in_flight.iter().filter_map(mark).collect()
    }

    /// Ends the suspicion of a request that was answered.
    pub fn report_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<SuspectUpdate> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.charged() == 0 {
            return None;
        }
        record.cleared = record.crashes.clone();
        record.changed_at = now;
        self.update_of(fingerprint)
    }

    /// Takes over what another host knows. Repeated and late updates change
    /// nothing.
    pub fn merge(&mut self, update: &SuspectUpdate, now: Instant) {
        self.make_room(now);
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

    /// Everything known, for a host that joins.
    #[must_use]
    pub fn updates(&self) -> Vec<SuspectUpdate> {
        let keys = self.records.keys();
        keys.filter_map(|key| self.update_of(*key)).collect()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Instant) {
        let duration = self.duration;
        self.records
            .retain(|_, record| now.saturating_duration_since(record.changed_at) < duration);
    }

    /// The number of requests known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is known.
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

    fn make_room(&mut self, now: Instant) {
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

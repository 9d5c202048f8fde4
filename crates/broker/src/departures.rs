//! The servers that a host knows to be leaving from their own responses.
//!
//! A host believes these marks over any directory, so that they hold while it is out of
//! touch with the broker or its directory is stale. A mark only takes a server out of use:
//! it ends when a newer incarnation of the server is known, never by a check-in of the
//! same one.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The maximum number of marks; the oldest are dropped first.
const MARKS_MAX: usize = 4_096;

/// The time after the latest response of a leaving server from which its mark is dropped if
/// there is no room for another one. A server that leaves ends within seconds.
const MARK_MAX_AGE: Duration = Duration::from_secs(600);

/// How it became known that a server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DepartureSource {
    /// The head of a response of the server.
    Answer,
    /// A check-in of the server.
    CheckIn,
    /// The call by which the server announces that it is gone.
    Notice,
}

impl DepartureSource {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::CheckIn => "check_in",
            Self::Notice => "notice",
        }
    }
}

/// The report of a host to the broker that an incarnation of a server leaves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DepartureReport {
    /// The server.
    pub server: ServerName,
    /// Its incarnation.
    pub incarnation: u64,
}

#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    incarnation: u64,
    seen_at: Instant,
}

/// The servers that said in their responses that they leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingServers {
    marks: HashMap<ServerName, LeavingMark>,
    /// The marks that the broker has not been told of.
    unreported: Vec<DepartureReport>,
}

impl LeavingServers {
    /// Marks an incarnation of a server; returns whether it was not marked before.
    pub fn mark(&mut self, server: &ServerName, incarnation: u64, now: Instant) -> bool {
        if let Some(mark) = self.marks.get_mut(server) {
            if incarnation < mark.incarnation {
                return false;
            }
            if incarnation == mark.incarnation {
                mark.seen_at = now;
                return false;
            }
        } else {
            self.make_room(now);
        }
        let mark = LeavingMark {
            incarnation,
            seen_at: now,
        };
        self.marks.insert(server.clone(), mark);
        if self.unreported.len() < MARKS_MAX {
            self.unreported.push(DepartureReport {
                server: server.clone(),
                incarnation,
            });
        }
        true
    }

    /// Whether an incarnation of a server is known to leave or to have been replaced by one
    /// that leaves.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerName, incarnation: u64) -> bool {
        let mark = self.marks.get(server);
        mark.is_some_and(|mark| incarnation <= mark.incarnation)
    }

    /// Drops the mark of a server of which a newer incarnation is known.
    pub fn observe(&mut self, server: &ServerName, incarnation: u64) {
        if self
            .marks
            .get(server)
            .is_some_and(|mark| mark.incarnation < incarnation)
        {
            self.marks.remove(server);
        }
    }

    /// Takes the reports that the broker has not received.
    pub fn take_reports(&mut self) -> Vec<DepartureReport> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns reports that did not arrive, for the next message. Those of marks that ended
    /// meanwhile are dropped.
    pub fn return_reports(&mut self, reports: &[DepartureReport]) {
        let is_current = |report: &&DepartureReport| {
            let mark = self.marks.get(&report.server);
            mark.is_some_and(|mark| mark.incarnation == report.incarnation)
        };
        let current: Vec<_> = reports.iter().filter(is_current).cloned().collect();
        self.unreported.extend(current);
    }

    /// The number of marks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Whether there are no marks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn make_room(&mut self, now: Instant) {
        if self.marks.len() < MARKS_MAX {
            return;
        }
        self.marks
            .retain(|_, mark| now.saturating_duration_since(mark.seen_at) < MARK_MAX_AGE);
        if self.marks.len() >= MARKS_MAX {
            let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.seen_at);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.marks.remove(&oldest);
            }
        }
    }
}

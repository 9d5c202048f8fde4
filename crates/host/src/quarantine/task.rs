//! The quarantine task.

use super::handle::{QuarantineEvent, QuarantineHandle};
use crate::peers::{PeerDirectory, PeerMessage};
use chicoryladder_policy::quarantine::{
    CrashReport, QuarantineTable, RequestFingerprint, ServerCrash, SuspectUpdate,
};
use chicoryladder_types::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How long suspicions and quarantines last.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// The time between two repetitions of what is known, for hosts that missed it.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Updates repeated at a time.
const REPEATED_MAX: usize = 256;

/// What the quarantine task needs of its host.
pub(crate) struct QuarantineTaskParts {
    pub(crate) directory: PeerDirectory,
    pub(crate) clock: Arc<dyn ClockSource>,
}

/// Owns the suspicions of one host.
pub(crate) struct QuarantineTask {
    parts: QuarantineTaskParts,
    events: mpsc::UnboundedReceiver<QuarantineEvent>,
    table: QuarantineTable,
}

impl QuarantineTask {
    /// The task, and the handle to it.
    pub(crate) fn new(parts: QuarantineTaskParts) -> (Self, QuarantineHandle) {
        let (sender, events) = mpsc::unbounded_channel();
        let task = Self {
            parts,
            events,
            table: QuarantineTable::new(QUARANTINE_DURATION),
        };
        (task, QuarantineHandle { events: sender })
    }

    pub(crate) async fn run(mut self) {
        let mut repetitions = tokio::time::interval(REPEAT_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = repetitions.tick() => self.repeat(),
            }
        }
    }

    fn handle(&mut self, event: QuarantineEvent) {
        let now = self.parts.clock.now();
        match event {
            QuarantineEvent::Check(fingerprint, sender) => {
                // A closed channel means that the requester has left.
                let _ = sender.send(self.table.status(fingerprint, now));
            }
            QuarantineEvent::Crashed(crash, fingerprint) => {
                self.note_crash(crash, fingerprint, now);
            }
            QuarantineEvent::Answered(fingerprint) => {
                let update = self.table.report_answer(fingerprint, now);
                self.share(update.into_iter().collect());
            }
            QuarantineEvent::Peer(updates) => self.merge(&updates, now),
        }
    }

    fn note_crash(&mut self, crash: ServerCrash, fingerprint: RequestFingerprint, now: Instant) {
        log::warn!(
            "quarantine: server {} was lost with a request on it.",
            crash.server
        );
        let report = CrashReport {
            crash,
            in_flight: vec![fingerprint],
        };
        let updates = self.table.report_crash(&report, now);
        self.share(updates);
    }

    fn merge(&mut self, updates: &[SuspectUpdate], now: Instant) {
        for update in updates {
            self.table.merge(update, now);
        }
    }

    fn repeat(&mut self) {
        let now = self.parts.clock.now();
        self.table.expire(now);
        let mut updates = self.table.updates();
        updates.truncate(REPEATED_MAX);
        self.share(updates);
    }

    fn share(&self, updates: Vec<SuspectUpdate>) {
        if !updates.is_empty() {
            let message = PeerMessage::Suspects(updates);
            self.parts.directory.broadcast(&message);
        }
    }
}

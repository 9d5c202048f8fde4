//! The event loop of the quarantine task.

use super::handle::{QuarantineEvent, QuarantineHandle};
use crate::peers::{PeerDirectory, PeerMessage};
use chicoryladder_policy::quarantine::{
    CrashReport, QuarantineTable, RequestFingerprint, ServerCrash, SuspectUpdate,
};
use chicoryladder_types::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The lifetime of suspect and quarantine records.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

/// The interval of the rebroadcast for hosts that missed an update.
const REBROADCAST_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of updates in one rebroadcast.
const REBROADCAST_MAX_UPDATES: usize = 256;

/// The parts of the host that the quarantine task uses.
pub(crate) struct QuarantineTaskParts {
    pub(crate) directory: PeerDirectory,
    pub(crate) clock: Arc<dyn ClockSource>,
}

/// Owns the quarantine table of one host.
pub(crate) struct QuarantineTask {
    parts: QuarantineTaskParts,
    events: mpsc::UnboundedReceiver<QuarantineEvent>,
    table: QuarantineTable,
}

impl QuarantineTask {
    /// Creates the task and the handle to it.
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
        let mut rebroadcasts = tokio::time::interval(REBROADCAST_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = rebroadcasts.tick() => self.rebroadcast(),
            }
        }
    }

    fn handle(&mut self, event: QuarantineEvent) {
        let now = self.parts.clock.now();
        match event {
            QuarantineEvent::Check(fingerprint, sender) => {
                // The channel is closed if the requester no longer waits.
                let _ = sender.send(self.table.status(fingerprint, now));
            }
            QuarantineEvent::Crashed(crash, fingerprint) => {
                self.record_crash(crash, fingerprint, now);
            }
            QuarantineEvent::Answered(fingerprint) => {
                let update = self.table.report_answer(fingerprint, now);
                self.broadcast(update.into_iter().collect());
            }
            QuarantineEvent::Peer(updates) => self.merge(&updates, now),
        }
    }

    fn record_crash(&mut self, crash: ServerCrash, fingerprint: RequestFingerprint, now: Instant) {
        log::warn!(
            "quarantine: server {} was lost while it processed a request.",
            crash.server
        );
        let report = CrashReport {
            crash,
            in_flight: vec![fingerprint],
        };
        let updates = self.table.report_crash(&report, now);
        self.broadcast(updates);
    }

    fn merge(&mut self, updates: &[SuspectUpdate], now: Instant) {
        for update in updates {
            self.table.merge(update, now);
        }
    }

    fn rebroadcast(&mut self) {
        let now = self.parts.clock.now();
        self.table.expire(now);
        let mut updates = self.table.updates();
        updates.truncate(REBROADCAST_MAX_UPDATES);
        self.broadcast(updates);
    }

    fn broadcast(&self, updates: Vec<SuspectUpdate>) {
        if !updates.is_empty() {
            let message = PeerMessage::Suspects(updates);
            self.parts.directory.broadcast(&message);
        }
    }
}

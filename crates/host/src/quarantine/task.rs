//! The event loop of the quarantine task.

use super::handle::{PeerReport, QuarantineEvent, QuarantineHandle, RunAdmission};
use super::report::{CompletionReport, CrashReport};
use crate::peers::{PeerDirectory, PeerMessage};
use chicoryladder_policy::quarantine::{
    CrashLedger, CrashReport as TableReport, LostRun, ProvenRun, QuarantineCause, QuarantineTable,
    RequestFingerprint, RequestTraits, SegmentStatus, ServerCrash, SuspectStatus, SuspectUpdate,
};
use chicoryladder_types::ServiceName;
use chicoryladder_types::prelude::*;
use serde_json::json;
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

/// Owns the quarantine state of one host.
pub(crate) struct QuarantineTask {
    parts: QuarantineTaskParts,
    events: mpsc::UnboundedReceiver<QuarantineEvent>,
    /// The suspect requests.
    table: QuarantineTable,
    /// The crashes, from which suspect prompt segments are concluded.
    ledger: CrashLedger,
}

impl QuarantineTask {
    /// Creates the task and the handle to it.
    pub(crate) fn new(parts: QuarantineTaskParts) -> (Self, QuarantineHandle) {
        let (sender, events) = mpsc::unbounded_channel();
        let task = Self {
            parts,
            events,
            table: QuarantineTable::new(QUARANTINE_DURATION),
            ledger: CrashLedger::default(),
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
            self.log_changes();
        }
    }

    fn handle(&mut self, event: QuarantineEvent) {
        let now = self.parts.clock.now();
        let decisions = self.ledger.decide(now);
        self.clear_exonerated(&decisions.exonerated, now);
        match event {
            QuarantineEvent::Check(traits, pool, sender) => {
                // The channel is closed if the requester no longer waits.
                let _ = sender.send(self.admission(&traits, &pool, now));
            }
            QuarantineEvent::Crashed(request, report) => {
                log_crash(request, &report);
                self.record_crash(report, now);
            }
            QuarantineEvent::Completed(report) => self.record_completion(report, now),
            QuarantineEvent::Answered(fingerprint) => {
                let update = self.table.report_answer(fingerprint, now);
                self.broadcast_suspects(update.into_iter().collect());
            }
            QuarantineEvent::Peer(PeerReport::Suspects(updates)) => {
                for update in &updates {
                    self.table.merge(update, now);
                }
            }
            QuarantineEvent::Peer(PeerReport::Crash(report)) => {
                self.attribute_crash(&report, now);
            }
            QuarantineEvent::Peer(PeerReport::Completion(report)) => {
                self.apply_completion(&report, now);
            }
            QuarantineEvent::Peer(PeerReport::Segments(quarantined)) => {
                self.ledger.restore(&quarantined, now);
            }
        }
    }

    fn admission(&self, traits: &RequestTraits, pool: &ServiceName, now: Instant) -> RunAdmission {
        let request = self.table.status(traits.request, now);
        let segments = self.ledger.segment_status(pool, &traits.segments, now);
        match (request, segments) {
            (SuspectStatus::Quarantined { retry_after }, _) => RunAdmission::Quarantined {
                cause: QuarantineCause::Request,
                retry_after,
            },
            (_, SegmentStatus::Quarantined { segment, left }) => RunAdmission::Quarantined {
                cause: QuarantineCause::Segment(segment),
                retry_after: left,
            },
            (_, SegmentStatus::Held(segment)) => RunAdmission::Trial {
                permit: RequestFingerprint::of_segment(segment),
            },
            (SuspectStatus::Suspect, SegmentStatus::Clear) => RunAdmission::Trial {
                permit: traits.request,
            },
            (SuspectStatus::Clear, SegmentStatus::Clear) => RunAdmission::Clear,
        }
    }

    fn record_crash(&mut self, report: CrashReport, now: Instant) {
        let table_report = TableReport {
            crash: report.crash.clone(),
            in_flight: vec![report.traits.request],
        };
        let updates = self.table.report_crash(&table_report, now);
        self.broadcast_suspects(updates);
        self.attribute_crash(&report, now);
        self.parts
            .directory
            .broadcast(&PeerMessage::ServerCrash(report));
    }

    /// Counts a crash for the request and its segments. Requests whose crashes have another
    /// cause are cleared.
    fn attribute_crash(&mut self, report: &CrashReport, now: Instant) {
        let CrashReport {
            pool,
            crash,
            traits,
            took,
        } = report;
        let run = LostRun {
            crash,
            traits,
            sent_at: took.0.and_then(|took| now.checked_sub(took)),
        };
        let finding = self.ledger.record_crash(pool, run, now);
        self.clear_exonerated(&finding.exonerated, now);
    }

    /// Clears requests of crashes that have another cause.
    fn clear_exonerated(&mut self, exonerated: &[(RequestFingerprint, ServerCrash)], now: Instant) {
        let cleared = exonerated.iter();
        let updates =
            cleared.filter_map(|(request, crash)| self.table.clear_crash(*request, crash, now));
        let updates: Vec<SuspectUpdate> = updates.collect();
        if !updates.is_empty() {
            self.broadcast_suspects(updates);
        }
    }

    /// Records a completed run of this host. Other hosts need it only if they may hold a
    /// segment of it responsible for crashes.
    fn record_completion(&mut self, report: CompletionReport, now: Instant) {
        let is_suspect = self.ledger.is_suspect(&report.pool, &report.segments);
        self.apply_completion(&report, now);
        if is_suspect {
            let message = PeerMessage::RunCompleted(report);
            self.parts.directory.broadcast(&message);
        }
    }

    fn apply_completion(&mut self, report: &CompletionReport, now: Instant) {
        let sent_at = now.checked_sub(report.took).unwrap_or(now);
        let run = ProvenRun {
            // Requests are kept in the table.
            request: None,
            segments: &report.segments,
        };
        self.ledger
            .record_completion(&report.pool, &report.server, run, sent_at, now);
    }

    fn rebroadcast(&mut self) {
        let now = self.parts.clock.now();
        self.table.expire(now);
        let mut updates = self.table.updates();
        updates.truncate(REBROADCAST_MAX_UPDATES);
        self.broadcast_suspects(updates);
        let quarantined = self.ledger.quarantined(now);
        if !quarantined.is_empty() {
            let message = PeerMessage::QuarantinedSegments(quarantined);
            self.parts.directory.broadcast(&message);
        }
    }

    fn broadcast_suspects(&self, updates: Vec<SuspectUpdate>) {
        if !updates.is_empty() {
            let message = PeerMessage::Suspects(updates);
            self.parts.directory.broadcast(&message);
        }
    }

    fn log_changes(&mut self) {
        for change in self.ledger.take_changes() {
            let segments = change.segments.iter().map(ToString::to_string);
            let line = json!({
                "event": "segment_quarantine",
                "pool": change.service,
                "segments": segments.collect::<Vec<_>>(),
                "step": change.step.as_str(),
                "crashes": change.crashes,
                "required": change.required,
                "oldest_crash_ms": change.oldest_crash.as_millis(),
            });
            log::warn!("{line}");
        }
    }
}

fn log_crash(request: RequestId, report: &CrashReport) {
    let segments = report.traits.segments.iter().map(ToString::to_string);
    let line = json!({
        "event": "crash_reported",
        "request": request.to_string(),
        "request_hash": report.traits.request.to_string(),
        "pool": report.pool,
        "server": report.crash.server,
        "generation": report.crash.generation.0,
        "segments": segments.collect::<Vec<_>>(),
    });
    log::warn!("{line}");
}

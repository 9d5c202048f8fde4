//! Aggregates class statistics of all hosts into boards and caches the newest
//! board.

use super::statistics::{ClassReport, LatencyHistogram, StatisticsReport};
use crate::view::FleetView;
use chicoryladder_settings::{ClassTarget, OnlineTarget};
use chicoryladder_types::TermNumber;
use chicoryladder_types::admin::{ClassRow, FleetBoard};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The age beyond which a host's report is discarded.
const REPORT_MAX_AGE: Duration = Duration::from_secs(4);

/// Low bits of a board number that hold the sequence number within a term.
const SEQUENCE_BITS: u32 = 32;

#[derive(Clone, Debug)]
struct ReceivedReport {
    report: StatisticsReport,
    received_at: Instant,
}

/// Aggregates reports into boards on the leader of the consensus group.
#[derive(Clone, Debug, Default)]
pub struct BoardAggregator {
    reports: BTreeMap<HostName, ReceivedReport>,
    last_number: u64,
}

#[derive(Default)]
struct ClassTotals {
    served: u64,
    within_target: u64,
    refused: u64,
    failed: u64,
    first_token: LatencyHistogram,
    answer: LatencyHistogram,
}

impl BoardAggregator {
    /// Stores the report of a host in place of its previous one.
    pub fn record_report(&mut self, host: HostName, report: StatisticsReport, now: Instant) {
        let received_at = now;
        self.reports.insert(
            host,
            ReceivedReport {
                report,
                received_at,
            },
        );
    }

    /// Builds the next board of the leader's term from all reports that are not
    /// outdated.
    pub fn build(
        &mut self,
        term: TermNumber,
        view: &FleetView,
        hosts: &[HostName],
        now: Instant,
        wall_time: SystemTime,
    ) -> FleetBoard {
        let is_current = |received: &ReceivedReport| {
            now.saturating_duration_since(received.received_at) <= REPORT_MAX_AGE
        };
        self.reports.retain(|_, received| is_current(received));
        self.last_number = (term.0 << SEQUENCE_BITS).max(self.last_number + 1);
        let built_at = wall_time.duration_since(UNIX_EPOCH).unwrap_or_default();
        let is_missing = |host: &&HostName| !self.reports.contains_key(*host);
        FleetBoard {
            number: self.last_number,
            made_at_ms: u64::try_from(built_at.as_millis()).unwrap_or(u64::MAX),
            revision: view.revision,
            classes: self.class_rows(view),
            hosts_missing: hosts.iter().filter(is_missing).cloned().collect(),
        }
    }

    fn class_rows(&self, view: &FleetView) -> Vec<ClassRow> {
        let classes = view.document.classes.iter();
        classes
            .map(|(name, class)| class_row(name, class.target, &self.class_totals(name)))
            .collect()
    }

    fn class_totals(&self, class: &ClassName) -> ClassTotals {
        let mut totals = ClassTotals::default();
        let reports = self
            .reports
            .values()
            .flat_map(|received| &received.report.classes);
        for report in reports.filter(|report| report.class == *class) {
            totals.add(report);
        }
        totals
    }
}

impl ClassTotals {
    fn add(&mut self, report: &ClassReport) {
        self.served += report.served;
        self.within_target += report.within_target;
        self.refused += report.refused;
        self.failed += report.failed;
        let first_token = LatencyHistogram::from_bytes(&report.first_token);
        self.first_token.add(&first_token);
        self.answer
            .add(&LatencyHistogram::from_bytes(&report.answer));
    }

    /// Whether the percentage of requests within the target reaches the
    /// configured percentile; requests that failed for a system reason count as
    /// missed. `None` if there were no requests.
    fn is_on_target(&self, target: OnlineTarget) -> Option<bool> {
        let total = self.served + self.failed;
        (total > 0).then(|| self.within_target * 100 >= total * u64::from(target.percentile))
    }
}

fn class_row(class: &ClassName, target: ClassTarget, totals: &ClassTotals) -> ClassRow {
    let mut row = ClassRow {
        class: class.clone(),
        online: target.is_online(),
        on_target: None,
        served: totals.served,
        refused: totals.refused + totals.failed,
        first_token_ms: None,
        first_token_target_ms: None,
        answer_ms: None,
        answer_target_ms: None,
    };
    if let ClassTarget::Online(target) = target {
        row.on_target = totals.is_on_target(target);
        row.first_token_ms = totals.first_token.at_percentile(target.percentile);
        row.first_token_target_ms = duration_ms(target.first_token);
        row.answer_ms = totals.answer.at_percentile(target.percentile);
        row.answer_target_ms = duration_ms(target.answer);
    }
    row
}

fn duration_ms(duration: Duration) -> Option<u64> {
    u64::try_from(duration.as_millis()).ok()
}

/// Caches the board with the highest number received.
#[derive(Clone, Debug, Default)]
pub struct BoardCache {
    board: FleetBoard,
}

impl BoardCache {
    /// The board with the highest number received so far.
    #[must_use]
    pub fn board(&self) -> &FleetBoard {
        &self.board
    }

    /// Replaces the cached board if `board` has a higher number; returns whether
    /// it did.
    pub fn replace_if_newer(&mut self, board: FleetBoard) -> bool {
        let is_newer = board.number > self.board.number;
        if is_newer {
            self.board = board;
        }
        is_newer
    }
}

//! Making boards and keeping the newest.

use super::tally::{ClassReport, LatencyCounts, StatisticsReport};
use crate::view::FleetView;
use chicoryladder_settings::{ClassTarget, OnlineTarget};
use chicoryladder_types::TermNumber;
use chicoryladder_types::admin::{ClassRow, FleetBoard};
use chicoryladder_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The age after which a host's report is not counted any more.
const REPORT_LIVE_FOR: Duration = Duration::from_secs(4);

/// Bits of a board's number that count within one term.
const SEQUENCE_BITS: u32 = 32;

#[derive(Clone, Debug)]
struct HeardReport {
    report: StatisticsReport,
    heard_at: Instant,
}

/// Makes the boards, on the host that leads.
#[derive(Clone, Debug, Default)]
pub struct BoardAggregator {
    reports: BTreeMap<HostName, HeardReport>,
    last_number: u64,
}

#[derive(Default)]
struct ClassSum {
    served: u64,
    within: u64,
    refused: u64,
    failed: u64,
    first_token: LatencyCounts,
    answer: LatencyCounts,
}

impl BoardAggregator {
    /// Takes the report of a host.
    pub fn record_report(&mut self, host: HostName, report: StatisticsReport, now: Instant) {
        let heard_at = now;
        self.reports.insert(host, HeardReport { report, heard_at });
    }

    /// Makes the next board of the leader's term.
    pub fn build(
        &mut self,
        term: TermNumber,
        view: &FleetView,
        hosts: &[HostName],
        now: Instant,
        wall: SystemTime,
    ) -> FleetBoard {
        let is_live =
            |heard: &HeardReport| now.saturating_duration_since(heard.heard_at) <= REPORT_LIVE_FOR;
        self.reports.retain(|_, heard| is_live(heard));
        self.last_number = (term.0 << SEQUENCE_BITS).max(self.last_number + 1);
        let made_at = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let unheard = |host: &&HostName| !self.reports.contains_key(*host);
        FleetBoard {
            number: self.last_number,
            made_at_ms: u64::try_from(made_at.as_millis()).unwrap_or(u64::MAX),
            revision: view.revision,
            classes: self.rows(view),
            hosts_missing: hosts.iter().filter(unheard).cloned().collect(),
        }
    }

    fn rows(&self, view: &FleetView) -> Vec<ClassRow> {
        let classes = view.document.classes.iter();
        classes
            .map(|(name, class)| class_row(name, class.target, &self.sum(name)))
            .collect()
    }

    fn sum(&self, class: &ClassName) -> ClassSum {
        let mut sum = ClassSum::default();
        let reports = self.reports.values().flat_map(|h| &h.report.classes);
        for report in reports.filter(|report| report.class == *class) {
            sum.add(report);
        }
        sum
    }
}

impl ClassSum {
    fn add(&mut self, report: &ClassReport) {
        self.served += report.served;
        self.within += report.within;
        self.refused += report.refused;
        self.failed += report.failed;
        let first_token = LatencyCounts::from_bytes(&report.first_token);
        self.first_token.add(&first_token);
        self.answer.add(&LatencyCounts::from_bytes(&report.answer));
    }

    /// Whether the share of requests that kept the target is high enough; a
    /// request that the system failed did not keep it.
    fn is_on_target(&self, target: OnlineTarget) -> Option<bool> {
        let counted = self.served + self.failed;
        (counted > 0).then(|| self.within * 100 >= counted * u64::from(target.percentile))
    }
}

fn class_row(class: &ClassName, target: ClassTarget, sum: &ClassSum) -> ClassRow {
    let mut row = ClassRow {
        class: class.clone(),
        online: target.is_online(),
        on_target: None,
        served: sum.served,
        refused: sum.refused + sum.failed,
        first_token_ms: None,
        first_token_target_ms: None,
        answer_ms: None,
        answer_target_ms: None,
    };
    if let ClassTarget::Online(target) = target {
        row.on_target = sum.is_on_target(target);
        row.first_token_ms = sum.first_token.at_percentile(target.percentile);
        row.first_token_target_ms = whole_ms(target.first_token);
        row.answer_ms = sum.answer.at_percentile(target.percentile);
        row.answer_target_ms = whole_ms(target.answer);
    }
    row
}

fn whole_ms(duration: Duration) -> Option<u64> {
    u64::try_from(duration.as_millis()).ok()
}

/// Keeps the newest board seen.
#[derive(Clone, Debug, Default)]
pub struct BoardCache {
    board: FleetBoard,
}

impl BoardCache {
    /// The newest board.
    #[must_use]
    pub fn board(&self) -> &FleetBoard {
        &self.board
    }

    /// Takes a board if its number is higher; tells whether it was.
    pub fn replace_if_newer(&mut self, board: FleetBoard) -> bool {
        let newer = board.number > self.board.number;
        if newer {
            self.board = board;
        }
        newer
    }
}

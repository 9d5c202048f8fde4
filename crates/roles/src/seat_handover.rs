//! Hands the seat of a stopping process to a standby host.
//!
//! A process is not told whether it will be started again. If it kept its seat, the group
//! would have one voter less until the leader takes the host for failed, and the next planned
//! stop could cost it its quorum. So a voter stops only once another host has taken its
//! place, unless there is none.

use crate::event_log::EventLog;
use crate::process::RETRY_PAUSE;
use crate::seat_manager::{SeatCell, SeatSource};
use crate::seat_opener::SeatOpener;
use chicoryladder_group::JoinAnswer;
use serde_json::json;
use std::time::Duration;

/// The time without an answer of a leader after which the seat is kept. An election fits in.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time for which a leader without a standby host waits for its successor to take over.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(600);

/// How the handover of a seat ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HandoverOutcome {
    /// Another host has taken the place.
    Replaced,
    /// No host can take the place.
    NoStandby,
    /// No leader answered.
    Unanswered,
    /// The replacement did not complete in time.
    TimedOut,
    /// The seat had stopped after a storage failure.
    Stopped,
}

impl HandoverOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Replaced => "replaced",
            Self::NoStandby => "no_standby",
            Self::Unanswered => "unanswered",
            Self::TimedOut => "timed_out",
            Self::Stopped => "stopped",
        }
    }
}

/// Hands over the seat of a process that stops.
pub(crate) struct SeatHandover<'a, M> {
    pub(crate) cell: &'a SeatCell<M>,
    pub(crate) source: &'a dyn SeatSource,
    pub(crate) opener: &'a SeatOpener,
    pub(crate) log: &'a EventLog,
    /// The time within which another host has to take the place.
    pub(crate) timeout: Duration,
}

impl<M: Send + 'static> SeatHandover<'_, M> {
    /// Transfers the leadership if this process leads, and waits until another host has the
    /// seat's place, or none can take it.
    pub(crate) async fn run(&self) {
        let Some(group) = self.cell.group() else {
            return;
        };
        let clock = &self.opener.clock;
        let seat = group.status().seat;
        let started_at = clock.now();
        let mut answered_at = started_at;
        let outcome = loop {
            let status = group.status();
            if status.stopped {
                break HandoverOutcome::Stopped;
            }
            if status.leads {
                group.transfer_leadership();
            }
            let answer = self.source.leave_seat(seat).await;
            let now = clock.now();
            let elapsed = now.saturating_duration_since(started_at);
            let leads = group.status().leads;
            match answer {
                Some(JoinAnswer::Removed) => break HandoverOutcome::Replaced,
                Some(JoinAnswer::Member) if !leads || elapsed >= TRANSFER_TIMEOUT => {
                    break HandoverOutcome::NoStandby;
                }
                Some(_) => answered_at = now,
                None if now.saturating_duration_since(answered_at) >= UNANSWERED_TIMEOUT => {
                    break HandoverOutcome::Unanswered;
                }
                None => {}
            }
            if elapsed >= self.timeout {
                break HandoverOutcome::TimedOut;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        if outcome == HandoverOutcome::Replaced {
            self.cell.set(None);
            if let Err(error) = self.opener.delete_files() {
                log::error!("seat: failed to delete the files of a removed seat: {error}.");
            }
        }
        let took = clock.now().saturating_duration_since(started_at);
        let fields = json!({
            "seat": seat.0,
            "outcome": outcome.as_str(),
            "took_ms": took.as_millis(),
        });
        self.log.note("seat_handover", &fields);
    }
}

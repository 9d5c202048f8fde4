//! The election in which a restarted leader resumes its leadership.
//!
//! A restarted seat grants no vote for an election timeout, since it may have confirmed the
//! lease of a leader just before. If all seats restart together, nobody leads for that long. The
//! only lease that can be in question is that of the last leader, and this ended with its
//! process. So the restarted leader of the stored term campaigns at once, with the mark of a
//! leadership transfer. It does so in the next term only: there may be leases of other leaders
//! in later ones.

use super::{RaftSeat, RoleState};
use chicoryladder_types::TermNumber;
use std::time::{Duration, Instant};

/// The interval at which seats that did not answer yet are asked again, since they may be
/// starting as well.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An election in which the restarted leader of a term runs for the next one.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderResumption {
    /// The term that the seat led before it was restarted.
    pub(super) led_term: TermNumber,
    /// When the seats are asked next.
    pub(super) due_at: Instant,
    /// When the seat gives up, and waits for an election like all others.
    pub(super) until: Instant,
}

impl RaftSeat {
    /// Prepares to resume the leadership that the seat had when it stopped, if it had it in its
    /// stored term.
    pub(super) fn prepare_resumption(&mut self, led_term: Option<TermNumber>, now: Instant) {
        let voted_for_itself = self.hard_state.vote == Some(self.seat());
        let led_term = led_term.filter(|term| *term == self.term() && voted_for_itself);
        let until = self.election_deadline;
        self.resumption = led_term.map(|led_term| LeaderResumption {
            led_term,
            due_at: now,
            until,
        });
    }

    /// Campaigns as the restarted leader, or asks again those that did not answer.
    pub(super) fn tick_resumption(&mut self, now: Instant) {
        let Some(resumption) = &mut self.resumption else {
            return;
        };
        if now < resumption.due_at {
            return;
        }
        resumption.due_at = now + RETRY_INTERVAL;
        let LeaderResumption {
            led_term, until, ..
        } = *resumption;
        let is_voter = self.is_voter();
        match &self.role {
            _ if now >= until || !is_voter => self.resumption = None,
            RoleState::Follower if self.term() == led_term => self.campaign(true, now),
            RoleState::Candidate(_) if self.term() == led_term.next() => {
                self.request_votes(true);
            }
            _ => self.resumption = None,
        }
    }
}

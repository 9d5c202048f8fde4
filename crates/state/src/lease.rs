//! How long a host may trust its view of the keys.
//!
//! A host asks the leader of the log how far the log is committed, and counts
//! its lease from the moment of the question. Counting from the answer would
//! let a delayed answer renew the lease of a view that is already too old.
//! The answer renews the lease only once the host has applied the log up to
//! the position told in it.
//!
//! So a withdrawal that the leader has committed is known to every host, or
//! the lease of the host has run out, one lease after the commit at the latest.
//! Clocks of hosts are never compared; they only have to run at nearly the same
//! rate.

use chicoryladder_types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Questions and answers that are remembered; the oldest goes first.
const OPEN_MAX: usize = 128;

/// Numbers the questions of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseQuestion(pub u64);

#[derive(Clone, Copy, Debug)]
struct OpenQuestion {
    number: LeaseQuestion,
    asked_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct OpenAnswer {
    committed: LogIndex,
    asked_at: Instant,
}

/// The lease of one host on its view of the keys.
#[derive(Clone, Debug)]
pub struct KeyLease {
    length: Duration,
    last_number: LeaseQuestion,
    questions: VecDeque<OpenQuestion>,
    answers: VecDeque<OpenAnswer>,
    level_since: Option<Instant>,
}

impl KeyLease {
    /// A lease of the given length, which has not begun.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            last_number: LeaseQuestion(0),
            questions: VecDeque::new(),
            answers: VecDeque::new(),
            level_since: None,
        }
    }

    /// Notes a question to the leader at `now` and numbers it.
    pub fn ask(&mut self, now: Instant) -> LeaseQuestion {
        self.last_number = LeaseQuestion(self.last_number.0 + 1);
        self.questions.push_back(OpenQuestion {
            number: self.last_number,
            asked_at: now,
        });
        if self.questions.len() > OPEN_MAX {
            self.questions.pop_front();
        }
        self.last_number
    }

    /// Takes the leader's answer: the log was committed up to `committed` after
    /// the question was asked.
    ///
    /// Doubled and unknown answers change nothing.
    pub fn note_answer(&mut self, number: LeaseQuestion, committed: LogIndex) {
        let found = self.questions.iter().position(|q| q.number == number);
        let Some(question) = found.and_then(|index| self.questions.remove(index)) else {
            return;
        };
        self.answers.push_back(OpenAnswer {
            committed,
            asked_at: question.asked_at,
        });
        if self.answers.len() > OPEN_MAX {
            self.answers.pop_front();
        }
    }

    /// Takes the position that the host has applied.
    pub fn note_applied(&mut self, applied: LogIndex) {
        let reached = |answer: &&OpenAnswer| answer.committed <= applied;
        let newest = self.answers.iter().filter(reached).map(|a| a.asked_at);
        self.level_since = newest.max().max(self.level_since);
        self.answers.retain(|answer| answer.committed > applied);
    }

    /// The last moment at which the view was as new as the committed log.
    #[must_use]
    pub fn level_since(&self) -> Option<Instant> {
        self.level_since
    }

    /// Whether the view may be trusted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Instant) -> bool {
        let age = |since: Instant| now.saturating_duration_since(since);
        self.level_since
            .is_some_and(|since| age(since) <= self.length)
    }
}

//! A follower of a group without a disk and without a vote.
//!
//! It asks one source at a time for the committed entries after its position, and
//! turns to the next source when an answer fails to come. Its view is fresh up to
//! the time at which it sent the answered request, less the age that the source
//! gave; the time an answer travels can only make the claim more careful.

use crate::tail::CommittedTail;
use crate::{EntryPayload, RestoreError, StateMachine, TailAnswer, TailContent, TailRequest};
use chicoryladder_types::{HostName, LogIndex};
use std::time::{Duration, Instant};

const POLL_INTERVAL_MS: u64 = 200;
const ANSWER_TIMEOUT_MS: u64 = 500;

/// The timers of an observer.
#[derive(Clone, Debug)]
pub struct ObserverSettings {
    /// The time between two requests when there is nothing new.
    pub poll_interval: Duration,
    /// The time after which the next source is asked.
    pub answer_timeout: Duration,
}

impl Default for ObserverSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(POLL_INTERVAL_MS),
            answer_timeout: Duration::from_millis(ANSWER_TIMEOUT_MS),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    number: u64,
    sent_at: Instant,
}

/// Follows the committed entries of a group.
pub struct TailObserver {
    settings: ObserverSettings,
    sources: Vec<HostName>,
    source: usize,
    machine: Box<dyn StateMachine>,
    tail: CommittedTail,
    last_number: u64,
    open: Option<OpenRequest>,
    ask_at: Instant,
    fresh_at: Option<Instant>,
}

impl TailObserver {
    /// An observer that asks the given hosts, the preferred one first.
    #[must_use]
    pub fn new(
        settings: ObserverSettings,
        sources: Vec<HostName>,
        machine: Box<dyn StateMachine>,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            sources,
            source: 0,
            machine,
            tail: CommittedTail::default(),
            last_number: 0,
            open: None,
            ask_at: now,
            fresh_at: None,
        }
    }

    /// The next request and the host to send it to, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<(HostName, TailRequest)> {
        if now < self.wake_at() {
            return None;
        }
        if self.open.take().is_some() {
            self.source = self.source.wrapping_add(1);
        }
        let count = self.sources.len().max(1);
        let source = self.sources.get(self.source % count)?.clone();
        self.last_number += 1;
        let number = self.last_number;
        let sent_at = now;
        self.open = Some(OpenRequest { number, sent_at });
        let after = self.tail.applied();
        Some((source, TailRequest { number, after }))
    }

    /// When [`TailObserver::tick`] has something to do next.
    #[must_use]
    pub fn wake_at(&self) -> Instant {
        match self.open {
            Some(open) => open.sent_at + self.settings.answer_timeout,
            None => self.ask_at,
        }
    }

    /// Takes over an answer; late and doubled ones are ignored.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be restored; the view is then unchanged.
    pub fn receive(&mut self, answer: TailAnswer, now: Instant) -> Result<(), RestoreError> {
        let Some(open) = self.open.filter(|open| open.number == answer.number) else {
            return Ok(());
        };
        self.open = None;
        self.ask_at = now + self.settings.poll_interval;
        match answer.content {
            TailContent::Entries(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
            }
            TailContent::Snapshot { index, data } if index > self.tail.applied() => {
                self.machine.restore(&data)?;
                self.tail.reset(index);
            }
            TailContent::Snapshot { .. } => {}
        }
        if self.tail.applied() < answer.position {
            self.ask_at = now;
            return Ok(());
        }
        let fresh_at = answer.age.and_then(|age| open.sent_at.checked_sub(age));
        self.fresh_at = self.fresh_at.max(fresh_at);
        if fresh_at.is_none() {
            self.source = self.source.wrapping_add(1);
        }
        Ok(())
    }

    fn apply(&mut self, entry: crate::LogEntry) {
        if entry.index != self.tail.applied().next() {
            return;
        }
        if let EntryPayload::Command(command) = &entry.payload {
            let _ = self.machine.apply(entry.index, command);
        }
        self.tail.push(entry);
    }

    /// Answers another observer.
    pub fn answer(&mut self, request: &TailRequest, now: Instant) -> TailAnswer {
        let age = self.fresh_at.map(|at| now.saturating_duration_since(at));
        self.tail.answer(request, age, self.machine.as_ref())
    }

    /// The last applied entry; never lower than before.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.tail.applied()
    }

    /// The instant up to which the view holds every acknowledged change; `None`
    /// until one was confirmed since the start.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Instant> {
        self.fresh_at
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &dyn StateMachine {
        self.machine.as_ref()
    }
}

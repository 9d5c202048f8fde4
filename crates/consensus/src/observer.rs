//! A read-only replica of a group without storage and without a vote.
//!
//! The observer polls one source at a time for the committed entries after its
//! position, and switches to the next source after a timeout or when its state grows
//! stale. Its state is fresh as of the time at which it sent the request, minus the
//! age that the source reported. Network delay can only make this bound earlier than
//! necessary, never too late.

use crate::tail::{CommittedTail, TAIL_MAX_ENTRIES};
use crate::{
    EntryPayload, LogEntry, RestoreError, SnapshotError, SnapshotPosition, StateMachine,
    TailAnswer, TailContent, TailRequest,
};
use chicoryladder_types::LogIndex;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const POLL_INTERVAL_MS: u64 = 10;
const ANSWER_TIMEOUT_MS: u64 = 800;
const STALE_AFTER_MS: u64 = 2_500;

/// The timing of an observer.
#[derive(Clone, Debug)]
pub struct ObserverSettings {
    /// The delay between a reply and the next request. It can be short, since a
    /// source may hold a request until there are new entries (long polling).
    pub poll_interval: Duration,
    /// The time without a reply after which the observer switches to the next source.
    pub answer_timeout: Duration,
    /// The age of the state at which the observer switches to the next source.
    pub stale_after: Duration,
}

impl Default for ObserverSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(POLL_INTERVAL_MS),
            answer_timeout: Duration::from_millis(ANSWER_TIMEOUT_MS),
            stale_after: Duration::from_millis(STALE_AFTER_MS),
        }
    }
}

/// A request to send to a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObserverRequest {
    /// The source.
    pub source: SocketAddr,
    /// The request.
    pub request: TailRequest,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Instant,
}

#[derive(Debug)]
struct PartialSnapshot {
    index: LogIndex,
    data: Vec<u8>,
}

/// Replicates the committed entries of a group.
pub struct TailObserver<M> {
    settings: ObserverSettings,
    sources: Vec<SocketAddr>,
    source_number: usize,
    machine: M,
    tail: CommittedTail,
    partial: Option<PartialSnapshot>,
    last_number: u64,
    pending: Option<PendingRequest>,
    next_request_at: Instant,
    fresh_at: Option<Instant>,
}

impl<M: StateMachine> TailObserver<M> {
    /// Creates an observer that polls the given hosts, the preferred one first.
    #[must_use]
    pub fn new(
        settings: ObserverSettings,
        sources: Vec<SocketAddr>,
        machine: M,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            sources,
            source_number: 0,
            machine,
            tail: CommittedTail::new(TAIL_MAX_ENTRIES),
            partial: None,
            last_number: 0,
            pending: None,
            next_request_at: now,
            fresh_at: None,
        }
    }

    /// Replaces the hosts to poll, the preferred one first.
    pub fn set_sources(&mut self, sources: Vec<SocketAddr>) {
        if sources != self.sources {
            self.sources = sources;
            self.source_number = 0;
        }
    }

    /// Returns the next request, if one is due.
    pub fn tick(&mut self, now: Instant) -> Option<ObserverRequest> {
        if now < self.wake_at() {
            return None;
        }
        if self.pending.take().is_some() {
            self.select_next_source();
        }
        let count = self.sources.len().max(1);
        let Some(source) = self.sources.get(self.source_number % count).copied() else {
            self.next_request_at = now + self.settings.answer_timeout;
            return None;
        };
        self.last_number += 1;
        let number = self.last_number;
        let sent_at = now;
        self.pending = Some(PendingRequest { number, sent_at });
        let partial = self.partial.as_ref().map(|partial| SnapshotPosition {
            index: partial.index,
            received: partial.data.len() as u64,
        });
        let request = TailRequest {
            number,
            after: self.tail.applied(),
            partial,
        };
        Some(ObserverRequest { source, request })
    }

    /// The time of the next call to [`TailObserver::tick`] that has an effect.
    #[must_use]
    pub fn wake_at(&self) -> Instant {
        match self.pending {
            Some(pending) => pending.sent_at + self.settings.answer_timeout,
            None => self.next_request_at,
        }
    }

    /// Applies a reply; late and duplicate replies are ignored.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be restored; the applied position is then unchanged.
    pub fn receive(&mut self, answer: TailAnswer, now: Instant) -> Result<(), RestoreError> {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == answer.number)
        else {
            return Ok(());
        };
        self.pending = None;
        self.next_request_at = now + self.settings.poll_interval;
        self.apply_content(answer.content)?;
        if self.tail.applied() < answer.position {
            self.next_request_at = now;
            return Ok(());
        }
        let fresh_at = answer.age.and_then(|age| pending.sent_at.checked_sub(age));
        self.fresh_at = self.fresh_at.max(fresh_at);
        let limit = self.settings.stale_after;
        if self.fresh_at.is_none_or(|at| now > at + limit) {
            self.select_next_source();
        }
        Ok(())
    }

    fn select_next_source(&mut self) {
        self.source_number = self.source_number.wrapping_add(1);
    }

    fn apply_content(&mut self, content: TailContent) -> Result<(), RestoreError> {
        match content {
            TailContent::Entries(entries) => {
                self.partial = None;
                for entry in entries {
                    self.apply(entry);
                }
                Ok(())
            }
            TailContent::Snapshot {
                index,
                offset,
                total,
                data,
            } => {
                self.receive_chunk(index, offset, &data);
                self.restore_if_complete(total)
            }
        }
    }

    fn receive_chunk(&mut self, index: LogIndex, offset: u64, data: &[u8]) {
        let partial = self.partial.take().filter(|p| p.index == index);
        let mut partial = partial.unwrap_or(PartialSnapshot {
            index,
            data: Vec::new(),
        });
        if partial.data.len() as u64 == offset {
            partial.data.extend_from_slice(data);
        }
        self.partial = Some(partial);
    }

    fn restore_if_complete(&mut self, total: u64) -> Result<(), RestoreError> {
        let is_complete = |partial: &PartialSnapshot| partial.data.len() as u64 == total;
        if !self.partial.as_ref().is_some_and(is_complete) {
            return Ok(());
        }
        if let Some(partial) = self.partial.take()
            && partial.index > self.tail.applied()
        {
            self.machine.restore(&mut partial.data.as_slice())?;
            self.tail.reset(partial.index);
        }
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) {
        if entry.index != self.tail.applied().next() {
            return;
        }
        if let EntryPayload::Command(command) = &entry.payload {
            // Only the replica that accepted the proposal reports its result.
            let _ = self.machine.apply(entry.index, command);
        }
        self.tail.push(entry);
    }

    /// Replies to a request of another observer.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot is needed and cannot be taken.
    pub fn answer(
        &mut self,
        request: &TailRequest,
        now: Instant,
    ) -> Result<TailAnswer, SnapshotError> {
        let age = self.fresh_at.map(|at| now.saturating_duration_since(at));
        self.tail.answer(request, age, &self.machine)
    }

    /// The last applied entry; never decreases.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.tail.applied()
    }

    /// The instant up to which the state includes every acknowledged change; `None`
    /// until a reply with a known age was applied since the start.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Instant> {
        self.fresh_at
    }

    /// The state machine.
    #[must_use]
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Mutable access to the state machine, for state that is not replicated.
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }
}

//! What the broker expects of the servers of a service whose speed and memory it weighs, and
//! what it learns from their answers.

use super::{ServerEntry, SlotBroker};
use crate::grants::{RunOutcome, RunReport, ServerKey, SlotGrant};
use crate::placement::{PlacementQuery, PromptPrefix, ServerExpectation};
use crate::pool::ServicePool;
use crate::prompt_cache::PromptCache;
use crate::request::RequesterId;
use crate::server_pace::{AnswerReport, ServerPace, WorkPercent};
use chicoryladder_types::ServiceName;
use std::time::{Duration, Instant};

/// What the broker believes of one incarnation of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerBelief {
    pub(super) pace: ServerPace,
    pub(super) cache: PromptCache,
    backlog: ReadingBacklog,
}

/// The prompt tokens that a server has been sent and has not read yet. They are counted when
/// a request is granted, so that the next decision knows of it, and are read as time passes.
#[derive(Clone, Copy, Debug, Default)]
struct ReadingBacklog {
    tokens: f64,
    as_of: Option<Instant>,
}

impl ReadingBacklog {
    /// The tokens that are left if each takes `token_ms`.
    fn left(&self, token_ms: f64, now: Instant) -> f64 {
        let elapsed = self.as_of.map(|at| now.saturating_duration_since(at));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64() * 1_000.0;
        (self.tokens - elapsed / token_ms).max(0.0)
    }
}

/// The prompt tokens of granted requests, over all services whose servers are weighed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptTokenCount {
    /// The tokens of the prompts.
    pub requested: u64,
    /// Those that the chosen servers were expected to hold.
    pub expected_cached: u64,
}

/// A run whose answer has begun.
#[derive(Clone, Copy, Debug)]
struct AnsweredRun {
    server: ServerKey,
    granted_at: Instant,
    expected: Option<ServerExpectation>,
}

impl AnsweredRun {
    /// Takes what was expected from a grant, so that the answer is learnt from only once.
    fn take(grant: &mut SlotGrant) -> Self {
        Self {
            server: grant.server,
            granted_at: grant.granted_at,
            expected: grant.expected.take(),
        }
    }
}

impl ServicePool {
    /// The tokens of cached segments that fit into the memory of a server beside its runs.
    fn cache_room(&self, entry: &ServerEntry) -> u64 {
        let memory = self.engine_tokens.unwrap_or(u64::MAX);
        memory.saturating_sub(entry.tokens)
    }

    /// What is expected of a request on a server.
    pub(super) fn expectation(
        &self,
        entry: &ServerEntry,
        prefixes: &[PromptPrefix],
        now: Instant,
    ) -> ServerExpectation {
        let belief = &entry.belief;
        let pace = belief.pace.estimate(now);
        let tokens = prefixes.iter().map(|prefix| prefix.tokens);
        let tokens = tokens.fold(0, u32::saturating_add);
        let cached = belief.cache.held_tokens(prefixes);
        let backlog = belief.backlog.left(self.answers.token_ms() * pace, now);
        let to_read = f64::from(tokens.saturating_sub(cached)) + backlog;
        ServerExpectation {
            tokens,
            cached,
            to_read,
            usual_ms: self.answers.answer_ms(to_read),
            pace,
        }
    }

    /// The cost of a request on a server, by the time to the first part of its answer.
    pub(super) fn expected_cost(
        &self,
        entry: &ServerEntry,
        used_share: f64,
        query: &PlacementQuery<'_>,
    ) -> f64 {
        let expectation = self.expectation(entry, query.prefixes, query.now);
        #[expect(clippy::cast_precision_loss)]
        let memory_share = self
            .engine_tokens
            .map_or(0.0, |memory| entry.tokens as f64 / memory.max(1) as f64);
        let used_share = used_share.max(memory_share);
        expectation.cost(&entry.record, used_share, self.answers.base_ms(), query)
    }
}

impl SlotBroker {
    /// Whether the speed and memory of the servers of a pool are weighed.
    pub(super) fn weighs_servers(&self, pool: &ServicePool) -> bool {
        self.settings.weighs_placement && (self.settings.pressure || pool.states_work)
    }

    /// Records that a request is sent to a server. Returns what is expected of it there if the
    /// servers of the service are weighed.
    pub(super) fn charge_expectation(
        &mut self,
        key: ServerKey,
        service: &ServiceName,
        prefixes: &[PromptPrefix],
        now: Instant,
    ) -> Option<ServerExpectation> {
        let pool = self.services.get(service)?;
        if !self.weighs_servers(pool) {
            return None;
        }
        let entry = self.servers.get_mut(key)?;
        let expectation = pool.expectation(entry, prefixes, now);
        entry.belief.backlog = ReadingBacklog {
            tokens: expectation.to_read,
            as_of: Some(now),
        };
        let room = pool.cache_room(entry);
        entry.belief.cache.record_use(prefixes, room);
        self.prompt_tokens.requested += u64::from(expectation.tokens);
        self.prompt_tokens.expected_cached += u64::from(expectation.cached);
        Some(expectation)
    }

    /// Evicts the segments that no longer fit beside the runs of a server.
    pub(super) fn shrink_cache(&mut self, key: ServerKey) {
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        if let Some(pool) = self.services.get(&entry.record.check_in.service) {
            let room = pool.cache_room(entry);
            entry.belief.cache.shrink(room);
        }
    }

    /// Records that the answer of a run has begun with success, while the run still holds its
    /// slot. The answer is learnt from once, however often it is reported.
    pub fn record_answer(&mut self, requester: &RequesterId, report: &AnswerReport, now: Instant) {
        let Some(grant) = self.grants.get_by_ticket_mut(requester, report.ticket) else {
            return;
        };
        let run = AnsweredRun::take(grant);
        self.learn(&run, report.first_answer, report.work, now);
    }

    /// Learns from the report on an ended run. Only an answer with success tells how fast the
    /// server is: one that answers each request with an error at once would count as fast.
    pub(super) fn learn_from_end(
        &mut self,
        grant: &mut SlotGrant,
        report: &RunReport,
        work: Option<WorkPercent>,
        now: Instant,
    ) {
        let Some(first_answer) = report.first_answer else {
            return;
        };
        let mut run = AnsweredRun::take(grant);
        if report.outcome != RunOutcome::Served {
            run.expected = None;
        }
        self.learn(&run, first_answer, work, now);
    }

    /// Learns from an answer how fast its server and its service are.
    fn learn(
        &mut self,
        run: &AnsweredRun,
        first_answer: Duration,
        work: Option<WorkPercent>,
        now: Instant,
    ) {
        let Some(entry) = self.servers.get_mut(run.server) else {
            return;
        };
        let service = &entry.record.check_in.service;
        let Some(pool) = self.services.get_mut(service) else {
            return;
        };
        if let Some(work) = work {
            pool.states_work = true;
            // The time comes from a message; a time that is too long must not end the process.
            let stated_at = run.granted_at.checked_add(first_answer);
            let stated_at = stated_at.map_or(now, |at| at.min(now));
            entry.belief.pace.record_stated(work, stated_at);
        }
        let Some(expected) = run.expected else {
            return;
        };
        let actual_ms = first_answer.as_secs_f64() * 1_000.0;
        entry
            .belief
            .pace
            .record_answer(actual_ms, expected.usual_ms, now);
        let stated = work.map_or(1.0, |work| f64::from(work.get().max(1)) / 100.0);
        pool.answers.record(expected.to_read, actual_ms / stated);
    }

    /// The prompt tokens of the requests granted so far.
    #[must_use]
    pub fn prompt_tokens(&self) -> PromptTokenCount {
        self.prompt_tokens
    }

    /// The number of servers on which work takes much longer than is usual for their service.
    #[must_use]
    pub fn slow_servers(&self, now: Instant) -> usize {
        let entries = self.servers.values();
        entries
            .filter(|entry| entry.belief.pace.is_slow(now))
            .count()
    }
}

//! The prefetched tokens of one bucket that a holder can spend locally.
//!
//! A quota is valid for a fixed time after the sending of the latest request that
//! the owner replied to. The owner counts the same time from the receipt of the
//! request, so the quota always expires at the holder first.

use super::{
    OwnerEpoch, QuotaCounters, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, QuotaSession,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The minimum time between two requests of one quota.
const REQUEST_INTERVAL_MIN: Duration = Duration::from_millis(1);

/// The time after which a request without a reply is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(25);

/// The maximum time for which spent tokens stay unreported.
const REPORT_AFTER: Duration = Duration::from_millis(100);

/// The time after which a quota with pending demand or unspent tokens is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(150);

/// The remaining lifetime below which a session without tokens is not continued.
const SESSION_REMAINING_MIN: Duration = Duration::from_millis(150);

/// The number of sent requests whose send time is retained.
const SENT_MAX: usize = 64;

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u64,
    at: Instant,
    needed: u64,
    prefetch: u64,
    counters: QuotaCounters,
}

/// The quota of one bucket, as kept by its holder.
#[derive(Clone, Debug)]
pub struct TokenQuota {
    team: TeamName,
    pool: TokenPool,
    holder: QuotaHolder,
    session: QuotaSession,
    epoch: OwnerEpoch,
    successor: Option<OwnerEpoch>,
    counters: QuotaCounters,
    valid_until: Option<Instant>,
    sequence: u64,
    sent: VecDeque<SentRequest>,
    answered: u64,
    answered_at: Option<Instant>,
    next_token_at: Option<Instant>,
    report_batch: u64,
}

impl TokenQuota {
    /// Creates an empty quota.
    ///
    /// `session` must be greater than every session that this holder used in an
    /// earlier process. Spent tokens are reported as soon as `report_batch` of them
    /// are unreported.
    #[must_use]
    pub fn new(
        team: TeamName,
        pool: TokenPool,
        holder: QuotaHolder,
        session: QuotaSession,
        report_batch: u64,
    ) -> Self {
        Self {
            team,
            pool,
            holder,
            session,
            epoch: OwnerEpoch::default(),
            successor: None,
            counters: QuotaCounters::default(),
            valid_until: None,
            sequence: 0,
            sent: VecDeque::new(),
            answered: 0,
            answered_at: None,
            next_token_at: None,
            report_batch: report_batch.max(1),
        }
    }

    /// Creates an empty quota of another bucket for the same team and holder.
    #[must_use]
    pub fn sibling(&self, pool: TokenPool) -> Self {
        let (team, holder) = (self.team.clone(), self.holder.clone());
        Self::new(team, pool, holder, self.session, self.report_batch)
    }

    /// Returns the bucket of the quota.
    #[must_use]
    pub const fn pool(&self) -> &TokenPool {
        &self.pool
    }

    /// Returns the tokens that can be spent now.
    pub fn available(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.counters.unspent()
    }

    /// Spends up to `tokens` tokens and returns the number spent.
    pub fn spend(&mut self, tokens: u64, now: Instant) -> u64 {
        let spent = self.available(now).min(tokens);
        self.counters.spent += spent;
        spent
    }

    /// Marks up to `tokens` unspent tokens as returned; the next request reports them.
    pub fn return_tokens(&mut self, tokens: u64, now: Instant) {
        let returned = self.available(now).min(tokens);
        self.counters.returned += returned;
    }

    /// Returns the instant at which the owner expects to have a token for the next
    /// request of this holder; `None` without a recent reply of the owner.
    #[must_use]
    pub fn next_token_at(&self, now: Instant) -> Option<Instant> {
        let answered_at = self.answered_at?;
        let recent = now.saturating_duration_since(answered_at) < RENEW_AFTER + RESEND_AFTER * 4;
        self.next_token_at.filter(|_| recent)
    }

    /// Applies a grant. Duplicate grants, and grants for an earlier epoch, another
    /// session or another holder have no effect.
    pub fn handle_grant(&mut self, grant: &QuotaGrant, now: Instant) {
        self.expire(now);
        if grant.holder != self.holder || grant.session != self.session {
            return;
        }
        if grant.epoch < self.epoch {
            return;
        }
        let Some(sent_at) = self.sent_at(grant.sequence) else {
            return;
        };
        self.record_answer(grant, now);
        if grant.epoch > self.epoch && !self.counters.is_untouched() {
            // Tokens of the earlier owner must be used up before a session with its
            // successor starts.
            self.successor = self.successor.max(Some(grant.epoch));
            return;
        }
        let valid_until = sent_at + grant.quota_ttl;
        if valid_until <= now {
            return;
        }
        self.epoch = grant.epoch;
        self.counters.granted = self.counters.granted.max(grant.granted);
        if self.counters.granted > 0 {
            self.valid_until = self.valid_until.max(Some(valid_until));
        }
    }

    /// Returns all unspent tokens if the recall is for this quota.
    pub fn handle_recall(&mut self, recall: &QuotaRecall, now: Instant) {
        let current = recall.holder == self.holder
            && recall.session == self.session
            && recall.epoch == self.epoch;
        if current {
            self.return_tokens(u64::MAX, now);
        }
    }

    /// Returns the request to send now, if one is due. `needed` counts the tokens
    /// that requests are waiting for, `prefetch` the tokens to prefetch.
    pub fn request(&mut self, needed: u64, prefetch: u64, now: Instant) -> Option<QuotaRequest> {
        self.expire(now);
        self.end_expiring_session(now);
        if !self.is_due(needed, prefetch, now) {
            return None;
        }
        self.sequence += 1;
        let sent = SentRequest {
            sequence: self.sequence,
            at: now,
            needed,
            prefetch,
            counters: self.counters,
        };
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back(sent);
        Some(QuotaRequest {
            team: self.team.clone(),
            pool: self.pool.clone(),
            holder: self.holder.clone(),
            session: self.session,
            epoch: self.epoch,
            sequence: self.sequence,
            counters: self.counters,
            needed,
            prefetch,
        })
    }

    /// Returns the instant at which the quota expires; `None` if no tokens were granted.
    #[must_use]
    pub const fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    fn is_due(&self, needed: u64, prefetch: u64, now: Instant) -> bool {
        let Some(last) = self.sent.back() else {
            return needed > 0 || prefetch > 0;
        };
        let age = now.saturating_duration_since(last.at);
        if age < REQUEST_INTERVAL_MIN {
            return false;
        }
        let granted = self.counters.granted - last.counters.granted;
        let pending = last.needed.saturating_sub(granted);
        let returned = self.counters.returned - last.counters.returned;
        let unreported = self.counters.spent - last.counters.spent + returned;
        let has_demand = needed > 0 || prefetch > 0;
        let unanswered = self.answered < last.sequence;
        let is_new_prefetch = !unanswered && prefetch > 0 && last.prefetch == 0;
        needed > pending
            || (needed == 0 && pending > 0)
            || returned > 0
            || is_new_prefetch
            || unreported >= self.report_batch
            || (unreported > 0 && age >= REPORT_AFTER)
            || (unanswered && has_demand && age >= RESEND_AFTER)
            || (age >= RENEW_AFTER && (has_demand || self.counters.unspent() > 0))
    }

    fn record_answer(&mut self, grant: &QuotaGrant, now: Instant) {
        self.answered = self.answered.max(grant.sequence);
        self.answered_at = Some(now);
        self.next_token_at = Some(now + grant.next_token_in);
    }

    fn sent_at(&self, sequence: u64) -> Option<Instant> {
        let sent = self.sent.iter().find(|sent| sent.sequence == sequence)?;
        Some(sent.at)
    }

    /// Ends the session if the quota has expired, or if the owner was replaced and
    /// no tokens are left.
    ///
    /// An expired session without unspent tokens continues while a reply is
    /// outstanding, because the owner may have renewed it.
    fn expire(&mut self, now: Instant) {
        let expired = self.valid_until.is_some_and(|until| until <= now);
        let ended = expired && (self.counters.unspent() > 0 || !self.awaits_answer(now));
        let replaced = self.successor.is_some() && self.counters.unspent() == 0;
        if ended || replaced {
            self.begin_session();
        }
    }

    /// Starts a new session if the owner may drop the current one before a request
    /// arrives.
    fn end_expiring_session(&mut self, now: Instant) {
        let ends_soon = self
            .valid_until
            .is_some_and(|until| until <= now + SESSION_REMAINING_MIN);
        if ends_soon && self.counters.unspent() == 0 && !self.awaits_answer(now) {
            self.begin_session();
        }
    }

    fn awaits_answer(&self, now: Instant) -> bool {
        self.sent.back().is_some_and(|last| {
            let age = now.saturating_duration_since(last.at);
            self.answered < last.sequence && age < RESEND_AFTER
        })
    }

    fn begin_session(&mut self) {
        self.session = QuotaSession(self.session.0 + 1);
        self.epoch = self.successor.take().unwrap_or_default();
        self.counters = QuotaCounters::default();
        self.valid_until = None;
        self.sequence = 0;
        self.answered = 0;
        self.sent.clear();
    }
}

//! The tokens of one bucket that a holder may spend without asking.
//!
//! A quota lasts for a fixed time after the sending of the latest request that
//! the owner answered. The owner counts that time from the receipt of the
//! request, so the quota ends here first.

use super::{
    OwnerEpoch, QuotaCounters, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, QuotaSession,
    TokenPool,
};
use chicoryladder_types::prelude::*;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The shortest time between two requests of one quota.
const REQUEST_GAP: Duration = Duration::from_millis(1);

/// The time after which an unanswered request is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(25);

/// The longest time for which spent tokens go unreported.
const REPORT_AFTER: Duration = Duration::from_millis(100);

/// The time after which a wanted or unspent quota is renewed.
const RENEW_AFTER: Duration = Duration::from_millis(150);

/// The rest of a quota's life in which an empty session is not continued.
const ENDS_SOON: Duration = Duration::from_millis(150);

/// Sent requests whose time is remembered.
const SENT_MAX: usize = 64;

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sequence: u64,
    at: Instant,
    needed: u64,
    ahead: u64,
    counters: QuotaCounters,
}

/// A holder's quota of one bucket.
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
    /// An empty quota.
    ///
    /// `session` is above each session of this holder in an earlier process.
    /// Spent tokens are reported at the latest `report_batch` at a time.
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

    /// An empty quota of another bucket of the same team and holder.
    #[must_use]
    pub fn sibling(&self, pool: TokenPool) -> Self {
        let (team, holder) = (self.team.clone(), self.holder.clone());
        Self::new(team, pool, holder, self.session, self.report_batch)
    }

    /// The bucket of the quota.
    #[must_use]
    pub const fn pool(&self) -> &TokenPool {
        &self.pool
    }

    /// Tokens that can be spent now.
    pub fn available(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.counters.unspent()
    }

    /// Spends up to `tokens` tokens; returns how many.
    pub fn take(&mut self, tokens: u64, now: Instant) -> u64 {
        let taken = self.available(now).min(tokens);
        self.counters.spent += taken;
        taken
    }

    /// Returns up to `tokens` unspent tokens with the next request.
    pub fn give_back(&mut self, tokens: u64, now: Instant) {
        let given = self.available(now).min(tokens);
        self.counters.returned += given;
    }

    /// When the owner expects a token for the next request of this holder;
    /// `None` if the owner was not heard of lately.
    #[must_use]
    pub fn next_token_at(&self, now: Instant) -> Option<Instant> {
        let heard = self.answered_at?;
        let fresh = now.saturating_duration_since(heard) < RENEW_AFTER + RESEND_AFTER * 4;
        self.next_token_at.filter(|_| fresh)
    }

    /// Takes over a grant. Repeated, late and foreign grants change nothing.
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
        self.note_answer(grant, now);
        if grant.epoch > self.epoch && !self.counters.is_untouched() {
            // The quota of the earlier owner is used up before a session with
            // its successor begins.
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

    /// Gives all unspent tokens back if the recall is for this quota.
    pub fn handle_recall(&mut self, recall: &QuotaRecall, now: Instant) {
        let current = recall.holder == self.holder
            && recall.session == self.session
            && recall.epoch == self.epoch;
        if current {
            self.give_back(u64::MAX, now);
        }
    }

    /// The request to send now, if one is due, for `needed` tokens that
    /// requests wait for and `ahead` tokens ahead of demand.
    pub fn request(&mut self, needed: u64, ahead: u64, now: Instant) -> Option<QuotaRequest> {
        self.expire(now);
        self.leave_old_session(now);
        if !self.is_due(needed, ahead, now) {
            return None;
        }
        self.sequence += 1;
        let sent = SentRequest {
            sequence: self.sequence,
            at: now,
            needed,
            ahead,
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
            ahead,
        })
    }

    /// When the quota ends, if it holds anything.
    #[must_use]
    pub const fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    fn is_due(&self, needed: u64, ahead: u64, now: Instant) -> bool {
        let Some(last) = self.sent.back() else {
            return needed > 0 || ahead > 0;
        };
        let age = now.saturating_duration_since(last.at);
        if age < REQUEST_GAP {
            return false;
        }
        let granted = self.counters.granted - last.counters.granted;
        let pending = last.needed.saturating_sub(granted);
        let returned = self.counters.returned - last.counters.returned;
        let unreported = self.counters.spent - last.counters.spent + returned;
        let wants = needed > 0 || ahead > 0;
        let unanswered = self.answered < last.sequence;
        let quiet = !unanswered && ahead > 0 && last.ahead == 0;
        needed > pending
            || (needed == 0 && pending > 0)
            || returned > 0
            || quiet
            || unreported >= self.report_batch
            || (unreported > 0 && age >= REPORT_AFTER)
            || (unanswered && wants && age >= RESEND_AFTER)
            || (age >= RENEW_AFTER && (wants || self.counters.unspent() > 0))
    }

    fn note_answer(&mut self, grant: &QuotaGrant, now: Instant) {
        self.answered = self.answered.max(grant.sequence);
        self.answered_at = Some(now);
        self.next_token_at = Some(now + grant.next_token_in);
    }

    fn sent_at(&self, sequence: u64) -> Option<Instant> {
        let sent = self.sent.iter().find(|sent| sent.sequence == sequence)?;
        Some(sent.at)
    }

    /// Ends a quota whose time is over, or whose owner was replaced.
    ///
    /// A session without unspent tokens lives on while an answer is under way:
    /// the owner may have renewed it.
    fn expire(&mut self, now: Instant) {
        let over = self.valid_until.is_some_and(|until| until <= now);
        let ended = over && (self.counters.unspent() > 0 || !self.awaits_answer(now));
        let replaced = self.successor.is_some() && self.counters.unspent() == 0;
        if ended || replaced {
            self.begin_session();
        }
    }

    /// Begins a session rather than ask in one that the owner may forget
    /// before the request arrives.
    fn leave_old_session(&mut self, now: Instant) {
        let ends_soon = self
            .valid_until
            .is_some_and(|until| until <= now + ENDS_SOON);
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

//! The lifecycle of one item.
//!
//! An item is pending, leased or ended. These invariants hold for any order of
//! reports and expiries:
//!
//! - an ended item never changes again, so the first terminal result wins;
//! - a non-idempotent item runs at most once: it is started at most once, and
//!   once started it ends with its response, or as `OutcomeUnknown`, unless its
//!   dispatcher knows that the attempt did not run;
//! - attempts that failed are bounded. Crashes of servers are not counted, since they
//!   may have other causes: the item stays pending until its job expires;
//! - a failure reported for an attempt that no longer holds the item is
//!   dropped, while a complete response to any attempt of an idempotent item is
//!   accepted.

use crate::{AttemptEnd, BodyBytes, FailureCause, ItemEnd, ItemResult, LeaseId};
use chicoryladder_types::{RefusalReason, RunVerdict};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of failed attempts of an idempotent item, each of which may have
/// run, after which the item fails.
const ATTEMPTS_MAX: u8 = 3;

/// The pause after the second crash of a server with the item in flight. It doubles with
/// each further crash.
const CRASH_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause after a crash.
const CRASH_PAUSE_MAX: Duration = Duration::from_secs(60);

/// The lifecycle state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The item is waiting for a dispatcher.
    Pending,
    /// A dispatcher holds the item.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// Whether the attempt may be running; set immediately for idempotent items.
        started: bool,
    },
    /// The item has ended.
    Ended(ItemEnd),
}

/// The effect of a report or lease expiry on an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The item reached a terminal state with this result.
    Ended(ItemResult),
    /// The item is pending again.
    Returned,
    /// Dropped: the item had already ended.
    Late,
    /// Dropped: the attempt does not hold the item.
    Fenced,
}

/// The state of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRecord {
    state: ItemState,
    attempt: u16,
    failures: u8,
    crashes: u8,
    idempotent: bool,
}

impl ItemRecord {
    /// Creates a pending item.
    #[must_use]
    pub const fn new(idempotent: bool) -> Self {
        Self {
            state: ItemState::Pending,
            attempt: 0,
            failures: 0,
            crashes: 0,
            idempotent,
        }
    }

    /// The lifecycle state.
    #[must_use]
    pub const fn state(&self) -> ItemState {
        self.state
    }

    /// The number of the latest attempt; 0 before the first.
    #[must_use]
    pub const fn attempt(&self) -> u16 {
        self.attempt
    }

    /// Whether the item may run more than once.
    #[must_use]
    pub const fn idempotent(&self) -> bool {
        self.idempotent
    }

    /// The lease that holds the item, if one does.
    #[must_use]
    pub const fn lease(&self) -> Option<LeaseId> {
        match self.state {
            ItemState::Leased { lease, .. } => Some(lease),
            ItemState::Pending | ItemState::Ended(_) => None,
        }
    }

    /// Whether a backend server failed with the item in flight. Such an item runs
    /// alone, so that another failure does not affect other items of its job.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// The number of backend server failures with the item in flight.
    pub(crate) const fn crashes(&self) -> u8 {
        self.crashes
    }

    /// How long the item pauses after its latest crash. The first crash causes no pause.
    pub(crate) fn crash_pause(&self) -> Duration {
        let doublings = match self.crashes {
            0 | 1 => return Duration::ZERO,
            crashes => u32::from(crashes - 2),
        };
        let factor = 2u32.saturating_pow(doublings);
        CRASH_PAUSE.saturating_mul(factor).min(CRASH_PAUSE_MAX)
    }

    /// Leases a pending item to a dispatcher and returns the attempt number.
    pub fn grant(&mut self, lease: LeaseId) -> Option<u16> {
        if self.state != ItemState::Pending {
            return None;
        }
        self.attempt = self.attempt.saturating_add(1);
        let started = self.idempotent;
        self.state = ItemState::Leased { lease, started };
        Some(self.attempt)
    }

    /// Permits the attempt to run, at most once. A repeated start of the same attempt
    /// is refused, since the first may have run.
    pub fn start(&mut self, lease: LeaseId, attempt: u16) -> bool {
        let unstarted = ItemState::Leased {
            lease,
            started: false,
        };
        if self.state != unstarted || self.attempt != attempt {
            return false;
        }
        self.state = ItemState::Leased {
            lease,
            started: true,
        };
        true
    }

    /// Records how an attempt ended.
    pub fn report(&mut self, attempt: u16, end: &AttemptEnd) -> ReportEffect {
        if matches!(self.state, ItemState::Ended(_)) {
            return ReportEffect::Late;
        }
        if attempt == 0 || attempt > self.attempt {
            return ReportEffect::Fenced;
        }
        if let Some(result) = conclusive_answer(attempt, end) {
            return self.end(result);
        }
        let holds = attempt == self.attempt && self.lease().is_some();
        if !holds {
            return ReportEffect::Fenced;
        }
        self.apply_inconclusive(end)
    }

    /// Reclaims the item from an expired lease.
    pub fn expire(&mut self, lease: LeaseId) -> ReportEffect {
        match self.state {
            ItemState::Leased { lease: held, .. } if held != lease => ReportEffect::Fenced,
            ItemState::Leased { started: false, .. } => self.return_to_pending(),
            ItemState::Leased { started: true, .. } => {
                self.apply_possible_run(None, "the dispatcher was lost")
            }
            ItemState::Pending => ReportEffect::Fenced,
            ItemState::Ended(_) => ReportEffect::Late,
        }
    }

    /// Ends a pending item that will not run. An item of an expired job under which
    /// servers crashed ends with that cause.
    pub fn abandon(&mut self, end: ItemEnd, detail: &str) -> Option<ItemResult> {
        if self.state != ItemState::Pending {
            return None;
        }
        let end = match end {
            ItemEnd::Failed(FailureCause::JobExpired) if self.is_suspect() => {
                ItemEnd::Failed(FailureCause::ServersCrashed)
            }
            _ => end,
        };
        let result = ItemResult::without_answer(end, self.attempt, detail);
        self.state = ItemState::Ended(end);
        Some(result)
    }

    fn apply_inconclusive(&mut self, end: &AttemptEnd) -> ReportEffect {
        match end {
            AttemptEnd::Answered { status, body } => {
                let answer = ErrorAnswer {
                    status: *status,
                    body,
                };
                self.apply_possible_run(Some(answer), "the backend server answered with an error")
            }
            AttemptEnd::Refused {
                verdict,
                reason,
                detail,
            } => self.apply_refusal(*verdict, *reason, detail),
            AttemptEnd::Yielded { verdict } => {
                if self.idempotent || *verdict == RunVerdict::NotRun {
                    return self.return_to_pending();
                }
                self.outcome_unknown(None, "the attempt was stopped")
            }
        }
    }

    fn apply_refusal(
        &mut self,
        verdict: RunVerdict,
        reason: RefusalReason,
        detail: &str,
    ) -> ReportEffect {
        let not_run = verdict == RunVerdict::NotRun;
        if is_permanent(reason) && (not_run || self.idempotent) {
            let end = ItemEnd::Failed(FailureCause::Refused(reason));
            return self.end(ItemResult::without_answer(end, self.attempt, detail));
        }
        if not_run {
            return self.return_to_pending();
        }
        if reason == RefusalReason::ServerFailed {
            self.crashes = self.crashes.saturating_add(1);
            if self.idempotent {
                return self.return_to_pending();
            }
        }
        self.apply_possible_run(None, detail)
    }

    fn apply_possible_run(
        &mut self,
        answer: Option<ErrorAnswer<'_>>,
        detail: &str,
    ) -> ReportEffect {
        if !self.idempotent {
            return self.outcome_unknown(answer, detail);
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= ATTEMPTS_MAX {
            return self.fail(FailureCause::AttemptsExhausted, answer, detail);
        }
        self.return_to_pending()
    }

    fn outcome_unknown(&mut self, answer: Option<ErrorAnswer<'_>>, detail: &str) -> ReportEffect {
        self.end(result_with_answer(
            ItemEnd::OutcomeUnknown,
            self.attempt,
            answer,
            detail,
        ))
    }

    fn fail(
        &mut self,
        cause: FailureCause,
        answer: Option<ErrorAnswer<'_>>,
        detail: &str,
    ) -> ReportEffect {
        self.end(result_with_answer(
            ItemEnd::Failed(cause),
            self.attempt,
            answer,
            detail,
        ))
    }

    fn return_to_pending(&mut self) -> ReportEffect {
        self.state = ItemState::Pending;
        ReportEffect::Returned
    }

    fn end(&mut self, result: ItemResult) -> ReportEffect {
        self.state = ItemState::Ended(result.end);
        ReportEffect::Ended(result)
    }
}

/// An error response that does not end an idempotent item.
#[derive(Clone, Copy)]
struct ErrorAnswer<'a> {
    status: u16,
    body: &'a BodyBytes,
}

fn result_with_answer(
    end: ItemEnd,
    attempt: u16,
    answer: Option<ErrorAnswer<'_>>,
    detail: &str,
) -> ItemResult {
    let mut result = ItemResult::without_answer(end, attempt, detail);
    if let Some(answer) = answer {
        result.status = Some(answer.status);
        result.body = answer.body.clone();
    }
    result
}

/// The result of a response that a retry would not change; `None` for other ends.
fn conclusive_answer(attempt: u16, end: &AttemptEnd) -> Option<ItemResult> {
    let AttemptEnd::Answered { status, body } = end else {
        return None;
    };
    let end = match *status {
        408 | 425 | 429 | 500.. => return None,
        400..500 => ItemEnd::Failed(FailureCause::ErrorAnswer),
        _ => ItemEnd::Succeeded,
    };
    Some(ItemResult {
        end,
        attempt,
        status: Some(*status),
        body: body.clone(),
        detail: String::new(),
    })
}

/// Whether every later attempt would be refused for the same reason.
const fn is_permanent(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::BadRequest
            | RefusalReason::ClassForbidden
            | RefusalReason::UnknownRoute
            | RefusalReason::WrongMethod
            | RefusalReason::BodyTooLarge
            | RefusalReason::HeadersTooLarge
            | RefusalReason::Quarantined
    )
}

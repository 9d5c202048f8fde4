//! The lifecycle of one item, as an aggregate with its own rules.
//!
//! An item is pending, leased or ended. The rules kept here, whatever order
//! reports and expiries come in:
//!
//! - an ended item never changes again, so the first terminal result wins;
//! - a non-idempotent item runs at most once: it is started at most once, and
//!   once started it ends with its answer, or as `OutcomeUnknown`, unless its
//!   dispatcher knows that the attempt did not run;
//! - attempts that may have run are bounded, so every item ends;
//! - a failure reported for an attempt that no longer holds the item is
//!   dropped, while a whole answer to any attempt of an idempotent item counts.

use crate::{AttemptEnd, BodyBytes, FailureCause, ItemEnd, ItemResult, LeaseId};
use chicoryladder_types::{RefusalReason, RunVerdict};
use serde::{Deserialize, Serialize};

/// Attempts of an idempotent item that may run before the item fails.
const ATTEMPTS_MAX: u8 = 3;

/// Backend server failures with the item in flight before the item fails.
const CRASHES_MAX: u8 = 2;

/// Where an item is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The item waits for a dispatcher.
    Pending,
    /// A dispatcher holds the item.
    Leased {
        /// The lease.
        lease: LeaseId,
        /// Whether the attempt may be running; set at once for idempotent items.
        started: bool,
    },
    /// The item is terminal.
    Ended(ItemEnd),
}

/// What a report or expiry did to an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The item reached a terminal state with this result.
    Ended(ItemResult),
    /// The item is pending again.
    Returned,
    /// Dropped: the item was terminal already.
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
    /// A pending item.
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

    /// The state.
    #[must_use]
    pub const fn state(&self) -> ItemState {
        self.state
    }

    /// The number of the last attempt; 0 before the first.
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
    /// alone, so that it cannot take others of its job with it.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Hands a pending item to a dispatcher and returns the attempt number.
    pub fn grant(&mut self, lease: LeaseId) -> Option<u16> {
        if self.state != ItemState::Pending {
            return None;
        }
        self.attempt = self.attempt.saturating_add(1);
        let started = self.idempotent;
        self.state = ItemState::Leased { lease, started };
        Some(self.attempt)
    }

    /// Allows the attempt to run, at most once; repeated for the same attempt it
    /// is refused, since the first start may have run.
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

    /// Takes in how an attempt ended.
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
        self.report_inconclusive(end)
    }

    /// Takes the item back from a lease that expired.
    pub fn expire(&mut self, lease: LeaseId) -> ReportEffect {
        match self.state {
            ItemState::Leased { lease: held, .. } if held != lease => ReportEffect::Fenced,
            ItemState::Leased { started: false, .. } => self.give_back(),
            ItemState::Leased { started: true, .. } => {
                self.may_have_run(None, "the dispatcher was lost")
            }
            ItemState::Pending => ReportEffect::Fenced,
            ItemState::Ended(_) => ReportEffect::Late,
        }
    }

    /// Ends a pending item that will not run.
    pub fn abandon(&mut self, end: ItemEnd, detail: &str) -> Option<ItemResult> {
        if self.state != ItemState::Pending {
            return None;
        }
        let result = ItemResult::without_answer(end, self.attempt, detail);
        self.state = ItemState::Ended(end);
        Some(result)
    }

    fn report_inconclusive(&mut self, end: &AttemptEnd) -> ReportEffect {
        match end {
            AttemptEnd::Answered { status, body } => {
                let answer = ErrorAnswer {
                    status: *status,
                    body,
                };
                self.may_have_run(Some(answer), "the backend server answered with an error")
            }
            AttemptEnd::Refused {
                verdict,
                reason,
                detail,
            } => self.refused(*verdict, *reason, detail),
            AttemptEnd::Yielded { verdict } => {
                if self.idempotent || *verdict == RunVerdict::NotRun {
                    return self.give_back();
                }
                self.outcome_unknown(None, "the attempt was stopped")
            }
        }
    }

    fn refused(
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
            return self.give_back();
        }
        if reason == RefusalReason::ServerFailed {
            self.crashes = self.crashes.saturating_add(1);
        }
        self.may_have_run(None, detail)
    }

    fn may_have_run(&mut self, answer: Option<ErrorAnswer<'_>>, detail: &str) -> ReportEffect {
        if !self.idempotent {
            return self.outcome_unknown(answer, detail);
        }
        self.failures = self.failures.saturating_add(1);
        if self.crashes >= CRASHES_MAX {
            return self.fail(FailureCause::ServersCrashed, answer, detail);
        }
        if self.failures >= ATTEMPTS_MAX {
            return self.fail(FailureCause::AttemptsExhausted, answer, detail);
        }
        self.give_back()
    }

    fn outcome_unknown(&mut self, answer: Option<ErrorAnswer<'_>>, detail: &str) -> ReportEffect {
        self.end(ended_with(
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
        self.end(ended_with(
            ItemEnd::Failed(cause),
            self.attempt,
            answer,
            detail,
        ))
    }

    fn give_back(&mut self) -> ReportEffect {
        self.state = ItemState::Pending;
        ReportEffect::Returned
    }

    fn end(&mut self, result: ItemResult) -> ReportEffect {
        self.state = ItemState::Ended(result.end);
        ReportEffect::Ended(result)
    }
}

/// An answer that does not end an idempotent item.
#[derive(Clone, Copy)]
struct ErrorAnswer<'a> {
    status: u16,
    body: &'a BodyBytes,
}

fn ended_with(
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

/// The result of an answer that a new attempt would not change.
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

/// Whether a refusal repeats for every later attempt.
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

//! The retry policy of a host, with one retry budget per class.

use chicoryladder_policy::retry::{AttemptFailure, RetryBudget, RetryDecision, RetryPolicy};
use chicoryladder_types::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

struct RetryState {
    budgets: HashMap<ClassName, RetryBudget>,
    rng: ChaCha12Rng,
}

/// Decides whether failed attempts on this host are retried.
pub(crate) struct RetryRules {
    policy: RetryPolicy,
    state: Mutex<RetryState>,
}

impl RetryRules {
    /// Creates the default policy; `seed` seeds the generator of the random backoff.
    pub(crate) fn new(seed: [u8; 32]) -> Self {
        Self {
            policy: RetryPolicy::default(),
            state: Mutex::new(RetryState {
                budgets: HashMap::new(),
                rng: ChaCha12Rng::from_seed(seed),
            }),
        }
    }

    /// Records a first attempt in the budget of its class.
    pub(crate) fn record_first_attempt(&self, class: &ClassName) {
        self.with_budget(class, |budget, _| budget.record_first_attempt());
    }

    /// Decides whether and when a failed attempt is retried.
    pub(crate) fn decide(
        &self,
        class: &ClassName,
        failure: &AttemptFailure,
        now: Instant,
    ) -> RetryDecision {
        self.with_budget(class, |budget, rng| {
            self.policy.decide(failure, budget, rng, now)
        })
    }

    fn with_budget<T>(
        &self,
        class: &ClassName,
        work: impl FnOnce(&mut RetryBudget, &mut ChaCha12Rng) -> T,
    ) -> T {
        let mut guard = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *guard;
        let budget = state.budgets.entry(class.clone()).or_default();
        work(budget, &mut state.rng)
    }
}

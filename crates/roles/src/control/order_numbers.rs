//! Numbers the orders of operators, so that a copy that arrives late has no effect.
//!
//! An order may be held up on its way to the leader, and its sender gives it up and sends
//! another one. The sender therefore asks for the number of the subject first and sends the
//! order with it. Each decision on an order, a refusal too, takes the number away.

use chicoryladder_types::TermNumber;
use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The number of counters. Subjects that share one make each other's orders stale, which are
/// then repeated with another number.
const COUNTERS: usize = 64;

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderSubject {
    /// The drain of a zone.
    Zone(ZoneName),
    /// The retirement of a host.
    Host(HostName),
}

/// The state of an order's subject when the order was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderNumber {
    term: TermNumber,
    decided: u64,
}

/// The decisions of one leadership on orders.
#[derive(Clone, Debug)]
pub struct OrderNumbers {
    term: TermNumber,
    decided: [u64; COUNTERS],
}

impl OrderNumbers {
    /// Begins a leadership, in which no number of an earlier one counts.
    #[must_use]
    pub fn new(term: TermNumber) -> Self {
        let decided = [0; COUNTERS];
        Self { term, decided }
    }

    fn counter(&mut self, subject: &OrderSubject) -> &mut u64 {
        let mut hasher = DefaultHasher::new();
        subject.hash(&mut hasher);
        let index = hasher.finish() % (COUNTERS as u64);
        &mut self.decided[usize::try_from(index).unwrap_or_default()]
    }

    /// The number with which the next order on a subject has to come.
    pub fn number(&mut self, subject: &OrderSubject) -> OrderNumber {
        let term = self.term;
        let decided = *self.counter(subject);
        OrderNumber { term, decided }
    }

    /// Takes a number away for the decision on its order. Returns `false` if another decision
    /// came first.
    pub fn take(&mut self, subject: &OrderSubject, number: OrderNumber) -> bool {
        let is_current = self.number(subject) == number;
        if is_current {
            self.advance(subject);
        }
        is_current
    }

    /// Records a decision on an order that came without a number.
    pub fn advance(&mut self, subject: &OrderSubject) {
        *self.counter(subject) += 1;
    }
}

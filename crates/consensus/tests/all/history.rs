//! Histories of concurrent calls, and a check that they are linearizable.

use std::collections::BTreeMap;
use todc_utils::specifications::Specification;
use todc_utils::{Action, History, WGLChecker};

/// A call on one key, with its outcome once known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyCall {
    Read(Option<u32>),
    Write(u32),
    CompareAndSwap {
        from: u32,
        to: u32,
        swapped: Option<bool>,
    },
}

struct KeySpecification;

impl Specification for KeySpecification {
    type State = u32;
    type Operation = KeyCall;

    fn init() -> u32 {
        0
    }

    fn apply(call: &KeyCall, state: &u32) -> (bool, u32) {
        match *call {
            KeyCall::Read(seen) => (seen == Some(*state), *state),
            KeyCall::Write(value) => (true, value),
            KeyCall::CompareAndSwap { from, to, swapped } => {
                let equal = *state == from;
                let valid = swapped.is_none_or(|swapped| swapped == equal);
                (valid, if equal { to } else { *state })
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallNumber(usize);

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    key: u8,
    call: KeyCall,
    called: usize,
    /// `None` while the outcome is unknown.
    returned: Option<usize>,
    discarded: bool,
}

/// Records the order in which calls begin and end.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    calls: Vec<CallRecord>,
    clock: usize,
}

impl CallHistory {
    pub(crate) fn begin(&mut self, key: u8, call: KeyCall) -> CallNumber {
        self.clock += 1;
        let called = self.clock;
        self.calls.push(CallRecord {
            key,
            call,
            called,
            returned: None,
            discarded: false,
        });
        CallNumber(self.calls.len() - 1)
    }

    pub(crate) fn end(&mut self, number: CallNumber, call: KeyCall) {
        self.clock += 1;
        let record = &mut self.calls[number.0];
        record.call = call;
        record.returned = Some(self.clock);
    }

    /// Excludes a call that certainly did not run.
    pub(crate) fn discard(&mut self, number: CallNumber) {
        self.calls[number.0].discarded = true;
    }

    pub(crate) fn call(&self, number: CallNumber) -> KeyCall {
        self.calls[number.0].call
    }

    pub(crate) fn answered(&self) -> usize {
        self.calls.iter().filter(|c| c.returned.is_some()).count()
    }

    /// Whether each key behaves as a linearizable register; keys are independent.
    pub(crate) fn is_linearizable(&self) -> bool {
        let mut keys: BTreeMap<u8, Vec<CallRecord>> = BTreeMap::new();
        for record in self.calls.iter().filter(|c| !c.discarded) {
            keys.entry(record.key).or_default().push(*record);
        }
        keys.values().all(|records| is_register(records))
    }
}

fn is_register(records: &[CallRecord]) -> bool {
    let mut events = Vec::new();
    for (process, record) in records.iter().enumerate() {
        // A call without an outcome may take effect at any later time.
        let returned = record.returned.unwrap_or(usize::MAX);
        events.push((record.called, process, Action::Call(record.call)));
        events.push((returned, process, Action::Response(record.call)));
    }
    events.sort_by_key(|(at, process, _)| (*at, *process));
    let actions = events
        .into_iter()
        .map(|(_, process, action)| (process, action));
    let actions: Vec<_> = actions.collect();
    actions.is_empty()
        || WGLChecker::<KeySpecification>::is_linearizable(History::from_actions(actions))
}

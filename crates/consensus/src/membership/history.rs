//! The memberships along a log, so that a truncation brings the earlier one back.

use super::GroupMembership;
use crate::{EntryPayload, LogEntry};
use chicoryladder_types::LogIndex;
use std::collections::VecDeque;

#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipHistory {
    base: GroupMembership,
    changes: VecDeque<MembershipMark>,
}

#[derive(Clone, Debug)]
struct MembershipMark {
    index: LogIndex,
    membership: GroupMembership,
}

impl MembershipHistory {
    pub(crate) fn new(base: GroupMembership) -> Self {
        let changes = VecDeque::new();
        Self { base, changes }
    }

    /// The membership of the last entry, committed or not.
    pub(crate) fn current(&self) -> &GroupMembership {
        self.changes
            .back()
            .map_or(&self.base, |mark| &mark.membership)
    }

    /// The membership in force at an entry.
    pub(crate) fn at(&self, index: LogIndex) -> &GroupMembership {
        self.changes
            .iter()
            .rev()
            .find(|mark| mark.index <= index)
            .map_or(&self.base, |mark| &mark.membership)
    }

    /// Whether a change after `commit` is in the log.
    pub(crate) fn is_pending(&self, commit: LogIndex) -> bool {
        self.changes.back().is_some_and(|mark| mark.index > commit)
    }

    /// Notes an appended entry.
    pub(crate) fn note(&mut self, entry: &LogEntry) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            let index = entry.index;
            let membership = membership.clone();
            self.changes.push_back(MembershipMark { index, membership });
        }
    }

    /// Forgets the changes from `from` on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        self.changes.retain(|mark| mark.index < from);
    }

    /// Makes the membership at `index` the base.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        self.base = self.at(index).clone();
        self.changes.retain(|mark| mark.index > index);
    }
}

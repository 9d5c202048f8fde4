//! The memberships along a log, so that truncating a membership entry restores the
//! previous membership.

use super::GroupMembership;
use crate::{EntryPayload, LogEntry};
use chicoryladder_types::LogIndex;
use std::collections::VecDeque;

#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipHistory {
    base: GroupMembership,
    changes: VecDeque<MembershipVersion>,
}

#[derive(Clone, Debug)]
struct MembershipVersion {
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
            .map_or(&self.base, |version| &version.membership)
    }

    /// The membership in effect at an entry.
    pub(crate) fn at(&self, index: LogIndex) -> &GroupMembership {
        self.changes
            .iter()
            .rev()
            .find(|version| version.index <= index)
            .map_or(&self.base, |version| &version.membership)
    }

    /// Whether the log holds a membership change after `commit`.
    pub(crate) fn is_pending(&self, commit: LogIndex) -> bool {
        self.changes
            .back()
            .is_some_and(|version| version.index > commit)
    }

    /// Records the membership of an appended entry, if it has one.
    pub(crate) fn record(&mut self, entry: &LogEntry) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            let index = entry.index;
            let membership = membership.clone();
            self.changes
                .push_back(MembershipVersion { index, membership });
        }
    }

    /// Removes the changes from `from` on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        self.changes.retain(|version| version.index < from);
    }

    /// Makes the membership at `index` the base.
    pub(crate) fn compact_to(&mut self, index: LogIndex) {
        self.base = self.at(index).clone();
        self.changes.retain(|version| version.index > index);
    }
}

//! The times in which a stand-in server is cold.

use std::time::{Duration, Instant};

/// A time in which one incarnation of a server is cold.
#[derive(Clone, Debug)]
pub(crate) struct ColdSpell {
    pub(crate) since: Instant,
    /// When a control host first acknowledged a check-in that said so.
    pub(crate) told_at: Option<Instant>,
    pub(crate) until: Instant,
}

/// The cold spells of a server so far.
#[derive(Debug, Default)]
pub(crate) struct ColdSpells {
    /// How long the server is cold after a start.
    pub(crate) after_start: Duration,
    spells: Vec<ColdSpell>,
}

impl ColdSpells {
    /// Lets the server be cold for `duration` from `now` on, unless it is cold already.
    pub(crate) fn begin(&mut self, duration: Duration, now: Instant) {
        if self.current(now).is_none() {
            self.spells.push(ColdSpell {
                since: now,
                told_at: None,
                until: now + duration,
            });
        }
    }

    /// Ends the spell of the incarnation so far and begins that of the next one, if any.
    pub(crate) fn restart(&mut self, now: Instant) {
        if let Some(last) = self.spells.last_mut() {
            last.until = last.until.min(now);
        }
        if !self.after_start.is_zero() {
            self.begin(self.after_start, now);
        }
    }

    /// The spell in progress.
    pub(crate) fn current(&self, now: Instant) -> Option<ColdSpell> {
        let last = self.spells.last().filter(|last| now < last.until);
        last.cloned()
    }

    /// Records that a control host has acknowledged a check-in that told of a spell.
    pub(crate) fn record_told(&mut self, told: &ColdSpell, now: Instant) {
        let mut spells = self.spells.iter_mut();
        if let Some(spell) = spells.find(|spell| spell.since == told.since) {
            spell.told_at.get_or_insert(now);
        }
    }

    pub(crate) fn all(&self) -> &[ColdSpell] {
        &self.spells
    }
}

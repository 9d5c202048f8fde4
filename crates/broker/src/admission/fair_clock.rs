//! Start-time fair queueing among the teams of a rank and class.

use chicoryladder_types::prelude::*;
use std::collections::HashMap;

/// The number of teams above which those that have nothing queued are forgotten.
const KNOWN_TEAMS_MAX: usize = 512;

/// The virtual time of a queue. Each request advances the time of its team by one, and the
/// request with the least start tag is served first: a team that queues many requests waits
/// behind its own, and one that had none queued goes to the front. Requests without a team
/// share one place among the teams.
#[derive(Clone, Debug, Default)]
pub(super) struct FairClock {
    /// The greatest start tag of the requests served so far.
    virtual_time: u64,
    /// The finish tag of the last request of each team.
    finish_tags: HashMap<Option<TeamName>, u64>,
}

impl FairClock {
    pub(super) fn start_tag(&self, team: Option<&TeamName>) -> u64 {
        let finish_tag = self.finish_tags.get(&team.cloned());
        finish_tag.map_or(self.virtual_time, |tag| self.virtual_time.max(*tag))
    }

    pub(super) fn record_queued(&mut self, team: Option<&TeamName>, start_tag: u64) {
        self.finish_tags.insert(team.cloned(), start_tag + 1);
        if self.finish_tags.len() > KNOWN_TEAMS_MAX {
            let virtual_time = self.virtual_time;
            self.finish_tags.retain(|_, tag| *tag > virtual_time);
        }
    }

    /// Takes back the charge of a request that left the queue unserved. Those of its team that
    /// stay queued keep their tags; the next one gets an earlier tag.
    pub(super) fn record_unserved(&mut self, team: Option<&TeamName>) {
        if let Some(tag) = self.finish_tags.get_mut(&team.cloned()) {
            *tag = tag.saturating_sub(1);
        }
    }

    pub(super) fn record_granted(&mut self, start_tag: u64) {
        self.virtual_time = self.virtual_time.max(start_tag);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A team whose callers give up, or whose requests miss their targets in the queue, would
    /// otherwise wait behind all others for work that it never got.
    #[test]
    fn requests_that_leave_the_queue_unserved_are_not_charged() {
        let [left, served] = ["left", "served"].map(|name| TeamName::try_from(name).ok());
        let mut clock = FairClock::default();
        for _ in 0..100 {
            let tag = clock.start_tag(left.as_ref());
            clock.record_queued(left.as_ref(), tag);
        }
        for _ in 0..10 {
            let tag = clock.start_tag(served.as_ref());
            clock.record_queued(served.as_ref(), tag);
            clock.record_granted(tag);
        }
        for _ in 0..100 {
            clock.record_unserved(left.as_ref());
        }
        assert_eq!(clock.start_tag(left.as_ref()), 9);
        assert_eq!(clock.start_tag(served.as_ref()), 10);
    }
}

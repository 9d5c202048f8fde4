//! The order of teams: least service for its share first.
//!
//! Service is counted in virtual microseconds: time on servers divided by the
//! team's share. A team that comes back after a pause starts at the level of
//! the team served last, so that a pause earns nothing.

use chicoryladder_types::prelude::*;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

new_key_type! {
    /// A team in a [`FairShares`].
    pub struct TeamKey;
}

#[derive(Clone, Debug)]
struct TeamService {
    name: Option<TeamName>,
    share: u64,
    service: u64,
    waiting: u64,
}

/// Orders teams with waiting requests by their service.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    teams: SlotMap<TeamKey, TeamService>,
    names: HashMap<Option<TeamName>, TeamKey>,
    backlogged: BTreeSet<(u64, TeamKey)>,
    backlogged_share: u64,
    level: u64,
}

impl FairShares {
    /// No team.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of the team that begins to wait; requests without a
    /// team count as those of one more team.
    pub fn enter(&mut self, team: Option<&TeamName>, share: u32) -> TeamKey {
        let share = u64::from(share.max(1));
        let key = self.key_of(team);
        let Some(record) = self.teams.get_mut(key) else {
            return key;
        };
        record.waiting += 1;
        if record.waiting == 1 {
            record.share = share;
            record.service = record.service.max(self.level);
            self.backlogged.insert((record.service, key));
            self.backlogged_share += share;
        }
        key
    }

    /// Counts a request of the team that no longer waits.
    pub fn leave(&mut self, key: TeamKey) {
        let Some(record) = self.teams.get_mut(key) else {
            return;
        };
        record.waiting = record.waiting.saturating_sub(1);
        if record.waiting > 0 || !self.backlogged.remove(&(record.service, key)) {
            return;
        }
        self.backlogged_share -= record.share;
        if record.service <= self.level {
            let name = record.name.clone();
            self.names.remove(&name);
            self.teams.remove(key);
        }
    }

    /// Charges service to the team.
    pub fn charge(&mut self, key: TeamKey, time: Duration) {
        let Some(record) = self.teams.get_mut(key) else {
            return;
        };
        let waits = self.backlogged.remove(&(record.service, key));
        self.level = self.level.max(record.service);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let cost = (micros / record.share).max(1);
        record.service = record.service.saturating_add(cost);
        if waits {
            self.backlogged.insert((record.service, key));
        }
    }

    /// The waiting teams, the one to serve next first.
    pub fn order(&self) -> impl Iterator<Item = TeamKey> {
        self.backlogged.iter().map(|(_, key)| *key)
    }

    /// The team's requests that wait, and one more, multiplied to all waiting
    /// teams by their shares: what is served before a new request of it.
    #[must_use]
    pub fn turns_before(&self, team: Option<&TeamName>, share: u32) -> u64 {
        let share = u64::from(share.max(1));
        let record = self.names.get(&team.cloned());
        let record = record.and_then(|key| self.teams.get(*key));
        let waiting = record.map_or(0, |record| record.waiting);
        let others = if waiting > 0 { 0 } else { share };
        let shares = self.backlogged_share + others;
        (waiting + 1).saturating_mul(shares).div_ceil(share)
    }

    fn key_of(&mut self, team: Option<&TeamName>) -> TeamKey {
        let team = team.cloned();
        if let Some(key) = self.names.get(&team) {
            return *key;
        }
        let key = self.teams.insert(TeamService {
            name: team.clone(),
            share: 1,
            service: 0,
            waiting: 0,
        });
        self.names.insert(team, key);
        key
    }
}

//! Weighted fair queuing between teams.
//!
//! Service is measured in virtual microseconds: server time divided by the share of
//! the team. A team that becomes active again starts at the current virtual time,
//! which is the service of the team served last, so that an idle period earns no
//! credit.

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

/// Orders the teams with waiting requests by the service they received.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    teams: SlotMap<TeamKey, TeamService>,
    names: HashMap<Option<TeamName>, TeamKey>,
    backlogged: BTreeSet<(u64, TeamKey)>,
    backlogged_share: u64,
    virtual_time: u64,
}

impl FairShares {
    /// Creates an empty set of teams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a waiting request of the team. Requests without a team are treated as
    /// those of one additional team.
    pub fn enter(&mut self, team: Option<&TeamName>, share: u32) -> TeamKey {
        let share = u64::from(share.max(1));
        let key = self.key_of(team);
        let Some(record) = self.teams.get_mut(key) else {
            return key;
        };
        record.waiting += 1;
        if record.waiting == 1 {
            record.share = share;
            record.service = record.service.max(self.virtual_time);
            self.backlogged.insert((record.service, key));
            self.backlogged_share += share;
        }
        key
    }

    /// Removes a waiting request of the team.
    pub fn leave(&mut self, key: TeamKey) {
        let Some(record) = self.teams.get_mut(key) else {
            return;
        };
        record.waiting = record.waiting.saturating_sub(1);
        if record.waiting > 0 || !self.backlogged.remove(&(record.service, key)) {
            return;
        }
        self.backlogged_share -= record.share;
        if record.service <= self.virtual_time {
            let name = record.name.clone();
            self.names.remove(&name);
            self.teams.remove(key);
        }
    }

    /// Charges service to the team and advances the virtual time.
    pub fn charge(&mut self, key: TeamKey, time: Duration) {
        let Some(record) = self.teams.get_mut(key) else {
            return;
        };
        let is_waiting = self.backlogged.remove(&(record.service, key));
        self.virtual_time = self.virtual_time.max(record.service);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let cost = (micros / record.share).max(1);
        record.service = record.service.saturating_add(cost);
        if is_waiting {
            self.backlogged.insert((record.service, key));
        }
    }

    /// Iterates over the waiting teams, starting with the one to serve next.
    pub fn order(&self) -> impl Iterator<Item = TeamKey> {
        self.backlogged.iter().map(|(_, key)| *key)
    }

    /// Estimates the number of requests served up to and including a new request of
    /// the team: its waiting requests plus one, scaled by the ratio of the shares of
    /// all waiting teams to the share of this team.
    #[must_use]
    pub fn turns_until_served(&self, team: Option<&TeamName>, share: u32) -> u64 {
        let share = u64::from(share.max(1));
        let record = self.names.get(&team.cloned());
        let record = record.and_then(|key| self.teams.get(*key));
        let waiting = record.map_or(0, |record| record.waiting);
        let added_share = if waiting > 0 { 0 } else { share };
        let shares = self.backlogged_share + added_share;
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

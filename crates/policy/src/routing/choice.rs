//! The choice of a server for one attempt.

use super::{PrefixHash, ServerKey, ServerRecord, ServerTable, WorkTarget};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Pairs of servers that are drawn before all are looked at.
const DRAWS_MAX: usize = 4;

/// How much more loaded, in thousandths of its slots, a server may be that
/// likely caches the prompt prefix.
const PREFIX_BONUS_PERMILLE: u64 = 250;

/// What an attempt needs.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The model or service.
    pub target: &'a WorkTarget,
    /// Hashes of the prompt prefix, the longest prefix last.
    pub prefixes: &'a [PrefixHash],
    /// Servers that already failed this request.
    pub avoid: &'a [ServerKey],
    /// Slots of each server to leave free, for work that may only fill idle
    /// ones.
    pub reserve: u32,
}

/// Where the attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// To this server; its slot is not taken yet.
    Server(ServerKey),
    /// Every server is busy: queue the request.
    Busy,
    /// No server that may take new work offers the target.
    NoServer,
}

impl ServerTable {
    /// Chooses a server for an attempt.
    ///
    /// Call [`ServerTable::start`] once the attempt begins.
    #[must_use]
    pub fn choose(&self, query: &RouteQuery<'_>, rng: &mut dyn Rng, now: Instant) -> RouteChoice {
        let Some(servers) = self.targets.get(query.target) else {
            return RouteChoice::NoServer;
        };
        let drawn = match self.best_of_two(&servers.local, query, rng, now) {
            Some(local) => Some(local),
            None if self.waits_here(&servers.local, query, now) => None,
            None => self.best_of_two(&servers.remote, query, rng, now),
        };
        match drawn {
            Some(drawn) => RouteChoice::Server(self.prefer_cached(drawn, query, now)),
            None if self.serves(query.target, now) => RouteChoice::Busy,
            None => RouteChoice::NoServer,
        }
    }

    /// The less loaded of two random servers that have room. After a few
    /// fruitless draws all servers are looked at.
    fn best_of_two(
        &self,
        keys: &[ServerKey],
        query: &RouteQuery<'_>,
        rng: &mut dyn Rng,
        now: Instant,
    ) -> Option<ServerKey> {
        if keys.is_empty() {
            return None;
        }
        for _ in 0..DRAWS_MAX {
            let first = keys[rng.random_range(0..keys.len())];
            let second = keys[rng.random_range(0..keys.len())];
            let drawn = self.less_loaded(&[first, second], query, now);
            if drawn.is_some() {
                return drawn;
            }
        }
        self.less_loaded(keys, query, now)
    }

    fn less_loaded(
        &self,
        keys: &[ServerKey],
        query: &RouteQuery<'_>,
        now: Instant,
    ) -> Option<ServerKey> {
        let eligible = keys
            .iter()
            .filter(|key| self.is_eligible(**key, query, now));
        eligible.copied().min_by_key(|key| self.permille(*key))
    }

    fn is_eligible(&self, key: ServerKey, query: &RouteQuery<'_>, now: Instant) -> bool {
        if query.avoid.contains(&key) || !self.is_open(key, now) {
            return false;
        }
        let Some(record) = self.servers.get(key) else {
            return false;
        };
        if query.reserve > 0 {
            return record.load() + query.reserve < record.announcement.slots;
        }
        let own_share = record.announcement.slots / self.hosts;
        record.has_room(own_share.max(1))
    }

    fn permille(&self, key: ServerKey) -> u64 {
        let record = self.servers.get(key);
        record.map_or(u64::MAX, ServerRecord::load_permille)
    }

    /// Whether waiting for the own zone takes less time than the trip to others.
    fn waits_here(&self, local: &[ServerKey], query: &RouteQuery<'_>, now: Instant) -> bool {
        let wait = self.local_wait(local, now);
        query.reserve == 0 && wait.is_some_and(|wait| wait <= self.times.zone_round_trip)
    }

    /// The shortest wait for a slot in the own zone.
    fn local_wait(&self, keys: &[ServerKey], now: Instant) -> Option<Duration> {
        let open = keys.iter().filter(|key| self.is_open(**key, now));
        let waits = open.filter_map(|key| self.servers.get(*key));
        let waits = waits.map(ServerRecord::expected_wait);
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// A server with the longest cached prefix, unless it is too loaded.
    fn prefer_cached(&self, drawn: ServerKey, query: &RouteQuery<'_>, now: Instant) -> ServerKey {
        let limit = self.permille(drawn) + PREFIX_BONUS_PERMILLE;
        let hints = query.prefixes.iter().rev();
        let mut hinted = hints.filter_map(|prefix| self.hints.find(*prefix));
        let cached =
            hinted.find(|key| self.is_eligible(*key, query, now) && self.permille(*key) <= limit);
        cached.unwrap_or(drawn)
    }
}

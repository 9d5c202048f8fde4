//! The choice of a backend server for one attempt, by the power of two choices.

use super::{PrefixHash, ServerKey, ServerRecord, ServerTable, WorkTarget};
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// The number of random pairs to try before scanning all servers.
const DRAWS_MAX: usize = 4;

/// The load, in thousandths of the slots, by which a server that likely caches the prompt
/// prefix may exceed the otherwise chosen server and still be preferred.
const PREFIX_BONUS_PERMILLE: u64 = 250;

/// The requirements of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The model or service.
    pub target: &'a WorkTarget,
    /// Hashes of the prompt prefixes, ordered from the shortest to the longest.
    pub prefixes: &'a [PrefixHash],
    /// Servers that must not be chosen, since an earlier attempt failed on them.
    pub avoid: &'a [ServerKey],
    /// The number of slots to leave free on each server; above zero for work that
    /// may only use idle slots.
    pub reserved_slots: u32,
}

/// The result of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// The attempt can use this server; its slot is not yet reserved.
    Server(ServerKey),
    /// Every server of the target is busy; the request must be queued.
    Busy,
    /// No server that accepts new work offers the target.
    NoServer,
}

impl ServerTable {
    /// Chooses a server for an attempt.
    ///
    /// The caller must call [`ServerTable::start`] when the attempt begins.
    #[must_use]
    pub fn choose(&self, query: &RouteQuery<'_>, rng: &mut dyn Rng, now: Instant) -> RouteChoice {
        let Some(servers) = self.targets.get(query.target) else {
            return RouteChoice::NoServer;
        };
        let drawn = match self.best_of_two(&servers.local, query, rng, now) {
            Some(local) => Some(local),
            None if self.should_wait_for_local(&servers.local, query, now) => None,
            None => self.best_of_two(&servers.remote, query, rng, now),
        };
        match drawn {
            Some(drawn) => RouteChoice::Server(self.prefer_cached(drawn, query, now)),
            None if self.serves(query.target, now) => RouteChoice::Busy,
            None => RouteChoice::NoServer,
        }
    }

    /// Returns the less loaded of two random eligible servers. Scans all servers if
    /// [`DRAWS_MAX`] pairs contain no eligible one.
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
            let drawn = self.least_loaded(&[first, second], query, now);
            if drawn.is_some() {
                return drawn;
            }
        }
        self.least_loaded(keys, query, now)
    }

    /// Returns the least loaded eligible server.
    fn least_loaded(
        &self,
        keys: &[ServerKey],
        query: &RouteQuery<'_>,
        now: Instant,
    ) -> Option<ServerKey> {
        let eligible = keys
            .iter()
            .filter(|key| self.is_eligible(**key, query, now));
        eligible.copied().min_by_key(|key| self.load_permille(*key))
    }

    fn is_eligible(&self, key: ServerKey, query: &RouteQuery<'_>, now: Instant) -> bool {
        if query.avoid.contains(&key) || !self.is_open(key, now) {
            return false;
        }
        let Some(record) = self.servers.get(key) else {
            return false;
        };
        if query.reserved_slots > 0 {
            return record.load() + query.reserved_slots < record.announcement.slots;
        }
        // Each host may use its share of the slots, even if the server appears full.
        let own_share = record.announcement.slots / self.hosts;
        record.has_free_slot(own_share.max(1))
    }

    fn load_permille(&self, key: ServerKey) -> u64 {
        let record = self.servers.get(key);
        record.map_or(u64::MAX, ServerRecord::load_permille)
    }

    /// Returns whether to wait for a slot in the local zone: the attempt may use all slots,
    /// and the expected wait is at most the round trip to other zones.
    fn should_wait_for_local(
        &self,
        local: &[ServerKey],
        query: &RouteQuery<'_>,
        now: Instant,
    ) -> bool {
        let wait = self.local_wait(local, now);
        query.reserved_slots == 0 && wait.is_some_and(|wait| wait <= self.times.zone_round_trip)
    }

    /// Returns the shortest expected wait among the full servers that accept new work;
    /// `None` if there are none.
    fn local_wait(&self, keys: &[ServerKey], now: Instant) -> Option<Duration> {
        let open = keys.iter().filter(|key| self.is_open(**key, now));
        let waits = open.filter_map(|key| self.servers.get(*key));
        let waits = waits.map(ServerRecord::expected_wait);
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// Returns the server that likely caches the longest prefix, among those that are
    /// eligible and within [`PREFIX_BONUS_PERMILLE`] of the load of `drawn`; otherwise
    /// `drawn`.
    fn prefer_cached(&self, drawn: ServerKey, query: &RouteQuery<'_>, now: Instant) -> ServerKey {
        let limit = self.load_permille(drawn) + PREFIX_BONUS_PERMILLE;
        let longest_first = query.prefixes.iter().rev();
        let mut hinted = longest_first.filter_map(|prefix| self.hints.find(*prefix));
        let cached = hinted
            .find(|key| self.is_eligible(*key, query, now) && self.load_permille(*key) <= limit);
        cached.unwrap_or(drawn)
    }
}

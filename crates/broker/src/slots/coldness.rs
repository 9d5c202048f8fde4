//! Which servers are cold, and what follows when that changes.

use super::SlotBroker;
use crate::cold_servers::{CHARGED_SPAN, ColdChange, ColdPace};
use crate::directory::ServerCheckIn;
use crate::grants::ServerKey;
use crate::request::BrokerEvent;
use chicoryladder_plan::ServicePlan;
use chicoryladder_types::prelude::*;
use std::time::{Duration, Instant};

impl SlotBroker {
    /// Counts the servers of a zone as cold from `at`, when its drain was withdrawn, for the
    /// duration in the terms of their services, whatever their check-ins say. A new broker has
    /// to be told again.
    pub fn mark_zone_cold(&mut self, zone: &ZoneName, at: Instant, now: Instant) {
        let marked_at = self.cold_zones.entry(zone.clone()).or_insert(at);
        *marked_at = at.max(*marked_at);
        let marked_at = *marked_at;
        for entry in self.servers.values_mut() {
            if entry.record.check_in.zone == *zone {
                entry.cold.set_zone_restored(Some(marked_at));
            }
        }
        self.refresh_all_cold(now);
    }

    /// The number of servers that are cold and paced.
    #[must_use]
    pub fn cold_servers(&self, now: Instant) -> usize {
        let sources = self.servers.values();
        let sources = sources.map(|entry| entry.cold.source(entry.limit.get(), now));
        sources.flatten().count()
    }

    /// Like [`Self::servers`], with the time for which cold servers are believed to stay cold.
    #[must_use]
    pub fn servers_at(&self, now: Instant) -> Vec<ServerCheckIn> {
        let listed = self.servers.values().filter(|entry| !entry.record.is_lost);
        let listed = listed.map(|entry| {
            let check_in = entry.record.check_in.clone();
            let remaining = entry.cold.remaining(now);
            ServerCheckIn {
                warmup_remaining: remaining.unwrap_or(check_in.warmup_remaining),
                ..check_in
            }
        });
        listed.collect()
    }

    /// Applies the terms of a plan on cold servers.
    pub(super) fn set_cold_terms(&mut self, plan: &ServicePlan, now: Instant) {
        let tolerance = self.settings.cold_tolerance;
        for (service, pool) in &mut self.services {
            let terms = plan.cold_terms(service);
            pool.cold_pace = terms.and_then(|terms| ColdPace::new(terms, tolerance));
        }
        for entry in self.servers.values_mut() {
            let pool = self.services.get(&entry.record.check_in.service);
            entry.cold.set_pace(pool.and_then(|pool| pool.cold_pace));
        }
        self.refresh_all_cold(now);
    }

    /// Applies what the latest check-in of a server states of its coldness, if anything.
    /// `is_first` tells that no check-in of its incarnation was known.
    pub(super) fn record_cold_check_in(
        &mut self,
        key: ServerKey,
        stated: Option<Duration>,
        is_first: bool,
        now: Instant,
    ) {
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        let check_in = &entry.record.check_in;
        let pool = self.services.get(&check_in.service);
        let restored_at = self.cold_zones.get(&check_in.zone).copied();
        entry.cold.set_pace(pool.and_then(|pool| pool.cold_pace));
        entry.cold.set_zone_restored(restored_at);
        entry.cold.record_check_in(stated, is_first, now);
        self.refresh_cold(key, now);
    }

    /// Begins or ends the pacing of a server and reports whether it is cold, if that changed.
    pub(super) fn refresh_cold(&mut self, key: ServerKey, now: Instant) {
        let Some(entry) = self.servers.get(key) else {
            return;
        };
        let granted = if entry.cold.must_begin(entry.limit.get(), now) {
            self.recent_grants(key, now)
        } else {
            0
        };
        let Some(entry) = self.servers.get_mut(key) else {
            return;
        };
        let (limit, cold) = (entry.limit.get(), &mut entry.cold);
        if cold.must_begin(limit, now) {
            cold.begin(granted, now);
        }
        cold.end_unless_paced(limit, now);
        if cold.take_news(now) {
            self.directory_version += 1;
        }
        if cold.take_change(limit, now) {
            let check_in = &entry.record.check_in;
            self.events.push(BrokerEvent::Cold(ColdChange {
                server: check_in.name.clone(),
                incarnation: check_in.incarnation,
                source: cold.source(limit, now),
                remaining: cold.remaining(now).unwrap_or_default(),
            }));
        }
    }

    /// Processes the passage of time for all servers with terms, and those that had some.
    pub(super) fn refresh_all_cold(&mut self, now: Instant) {
        let durations = self.services.values().filter_map(|pool| pool.cold_pace);
        if let Some(longest) = durations.map(ColdPace::duration).max() {
            let is_recent = |at: &Instant| now.saturating_duration_since(*at) < longest;
            self.cold_zones.retain(|_, at| is_recent(at));
        }
        let concerned = self.servers.iter();
        let concerned = concerned.filter(|(_, entry)| entry.cold.may_change());
        let keys: Vec<ServerKey> = concerned.map(|(key, _)| key).collect();
        for key in keys {
            self.refresh_cold(key, now);
        }
    }

    /// The number of active runs on a server that were granted so recently that their requests
    /// may arrive within the same second as new ones.
    fn recent_grants(&self, key: ServerKey, now: Instant) -> u32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CHARGED_SPAN;
        let grants = self.grants.iter().map(|(_, grant)| grant);
        let grants = grants.filter(|grant| grant.server == key && is_recent(grant.granted_at));
        u32::try_from(grants.count()).unwrap_or(u32::MAX)
    }
}

//! The reserves that this host keeps, and the limits that buckets go by.
//!
//! Each voter of the settings keeps a part of every team's limit for good. It
//! needs no lease: no other host ever keeps the same part. A restarted host
//! starts its reserves empty, once its earlier stocks have ended.

use super::message::{OutgoingMessage, outgoing};
use crate::replica::ReplicaHandle;
use chicoryladder_policy::limits::{
    BucketOwner, OwnerEpoch, QuotaRequest, QuotaSession, QuotaTimes, RateLimit, SplitLimit,
    TokenPool,
};
use chicoryladder_settings::TeamTerms;
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::time::Instant;

/// The part of a team's limit that all reserves have together.
const RESERVED_PERCENT: u64 = 30;

/// Reads the limits of teams from the fleet document in force.
#[derive(Clone)]
pub(super) struct TermsReader {
    replica: ReplicaHandle,
    voters: u32,
}

impl TermsReader {
    pub(super) const fn new(replica: ReplicaHandle, voters: u32) -> Self {
        Self { replica, voters }
    }

    pub(super) const fn voter_count(&self) -> usize {
        self.voters as usize
    }

    /// The parts of a team's limit; `None` for an unknown team.
    pub(super) fn split(&self, team: &TeamName) -> Option<SplitLimit> {
        let view = self.replica.view();
        let whole = view.document.teams.get(team).and_then(rate_limit)?;
        let reserves = u64::from(self.voters);
        // A lone voter is never cut off from others.
        let reserves = if reserves > 1 { reserves } else { 0 };
        let percent = RESERVED_PERCENT.checked_div(reserves).unwrap_or(0);
        Some(SplitLimit::new(whole, reserves, percent))
    }
}

/// How long stocks last at all buckets.
pub(super) fn keeper_times() -> QuotaTimes {
    QuotaTimes::default()
}

/// The limit of a team's terms; `None` if they admit nothing.
pub(super) fn rate_limit(terms: &TeamTerms) -> Option<RateLimit> {
    RateLimit::new(terms.rate.milli(), u64::from(terms.burst)).ok()
}

/// The reserves of one voter.
pub(super) struct ReserveSet {
    host: HostName,
    terms: TermsReader,
    epoch: OwnerEpoch,
    since: Instant,
    keepers: HashMap<TeamName, BucketOwner>,
}

impl ReserveSet {
    pub(super) fn new(
        host: HostName,
        terms: TermsReader,
        session: QuotaSession,
        since: Instant,
    ) -> Self {
        Self {
            host,
            terms,
            epoch: OwnerEpoch(session.0),
            since,
            keepers: HashMap::new(),
        }
    }

    pub(super) fn handle_request(
        &mut self,
        request: &QuotaRequest,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let split = self.terms.split(&request.team);
        let Some(limit) = split.and_then(|split| split.reserve) else {
            return Vec::new();
        };
        let keeper = self.keepers.entry(request.team.clone()).or_insert_with(|| {
            let pool = TokenPool::Reserve(self.host.clone());
            let team = request.team.clone();
            BucketOwner::new(team, pool, self.epoch, limit, keeper_times(), self.since)
        });
        if keeper.limit() != limit {
            keeper.set_limit(limit, now);
        }
        outgoing(keeper.handle_request(request, now)).collect()
    }

    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        for keeper in self.keepers.values_mut() {
            if keeper.next_wakeup().is_some() {
                out.extend(outgoing(keeper.poll(now)));
            }
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        let mut keepers = self.keepers.values();
        keepers.any(|keeper| keeper.next_wakeup().is_some())
    }
}

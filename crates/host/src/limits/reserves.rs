//! The reserve buckets that this host owns, and the limits of all buckets.
//!
//! Each configured voter permanently owns a part of every team's limit. This
//! needs no lease, because no other host ever owns the same part. After a restart
//! a host starts its reserves empty, once the quotas granted before have expired.

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

/// The part of a team's limit that all reserves hold together, in percent.
const RESERVED_PERCENT: u64 = 30;

/// Reads the limits of teams from the active fleet document.
#[derive(Clone)]
pub(super) struct LimitReader {
    replica: ReplicaHandle,
    voters: u32,
}

impl LimitReader {
    pub(super) const fn new(replica: ReplicaHandle, voters: u32) -> Self {
        Self { replica, voters }
    }

    pub(super) const fn voter_count(&self) -> usize {
        self.voters as usize
    }

    /// Returns the fleet and reserve parts of a team's limit; `None` for an unknown
    /// team.
    pub(super) fn split(&self, team: &TeamName) -> Option<SplitLimit> {
        let view = self.replica.view();
        let whole = view.document.teams.get(team).and_then(rate_limit)?;
        let reserves = u64::from(self.voters);
        // A single voter cannot be partitioned from others and needs no reserve.
        let reserves = if reserves > 1 { reserves } else { 0 };
        let percent = RESERVED_PERCENT.checked_div(reserves).unwrap_or(0);
        Some(SplitLimit::new(whole, reserves, percent))
    }
}

/// Returns the quota lifetimes, which are the same for all buckets.
pub(super) fn quota_times() -> QuotaTimes {
    QuotaTimes::default()
}

/// Returns the rate limit that a team's settings give; `None` if they admit no request.
pub(super) fn rate_limit(terms: &TeamTerms) -> Option<RateLimit> {
    RateLimit::new(terms.rate.milli(), u64::from(terms.burst)).ok()
}

/// The reserve buckets of one voter, one per team.
pub(super) struct ReserveSet {
    host: HostName,
    reader: LimitReader,
    epoch: OwnerEpoch,
    since: Instant,
    owners: HashMap<TeamName, BucketOwner>,
}

impl ReserveSet {
    pub(super) fn new(
        host: HostName,
        reader: LimitReader,
        session: QuotaSession,
        since: Instant,
    ) -> Self {
        Self {
            host,
            reader,
            epoch: OwnerEpoch(session.0),
            since,
            owners: HashMap::new(),
        }
    }

    pub(super) fn handle_request(
        &mut self,
        request: &QuotaRequest,
        now: Instant,
    ) -> Vec<OutgoingMessage> {
        let split = self.reader.split(&request.team);
        let Some(limit) = split.and_then(|split| split.reserve) else {
            return Vec::new();
        };
        let owner = self.owners.entry(request.team.clone()).or_insert_with(|| {
            let pool = TokenPool::Reserve(self.host.clone());
            let team = request.team.clone();
            BucketOwner::new(team, pool, self.epoch, limit, quota_times(), self.since)
        });
        if owner.limit() != limit {
            owner.set_limit(limit, now);
        }
        outgoing(owner.handle_request(request, now)).collect()
    }

    pub(super) fn poll(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        for owner in self.owners.values_mut() {
            if owner.next_wakeup().is_some() {
                out.extend(outgoing(owner.poll(now)));
            }
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        let mut owners = self.owners.values();
        owners.any(|owner| owner.next_wakeup().is_some())
    }
}

//! Leases of items to dispatchers, and accounting of the service that teams have
//! received.

use super::JobMachine;
use crate::{
    ChunkLease, ItemGrant, ItemRef, JobCandidate, JobOutcome, LeaseId, LeaseRequest, UnixMillis,
    choose_job,
};
use chicoryladder_types::{HostName, JobId, LogIndex, TeamName};
use std::time::Duration;

/// The maximum number of items in one lease.
const LEASE_ITEMS_MAX: u32 = 1024;

/// The service charged for one item to a team with a share of one.
const SERVICE_PER_ITEM: u64 = 1 << 20;

/// The maximum clock skew between hosts. A lease is reclaimed this long after its
/// expiry, while its holder starts nothing after the expiry.
const CLOCK_SKEW_MAX: Duration = Duration::from_secs(1);

impl JobMachine {
    pub(super) fn lease_items(&mut self, index: LogIndex, request: &LeaseRequest) -> JobOutcome {
        let lease = LeaseId(index.0);
        let expires_at = request.now.after(request.duration);
        let candidates = self.candidates(request.now);
        let allowed = candidates.filter(|candidate| !request.excluded.contains(&candidate.job));
        let attempts = match choose_job(allowed, request.now) {
            Some(job) => self.grant_items(job, lease, request),
            None => Vec::new(),
        };
        let grants: Vec<ItemGrant> = attempts
            .iter()
            .map(|attempt| self.describe_grant(*attempt))
            .collect();
        if let Some(first) = attempts.first() {
            let held = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
            let chunk = ChunkLease {
                host: request.host.clone(),
                job: first.job,
                expires_at,
                items: attempts.iter().map(|attempt| attempt.item).collect(),
                held,
            };
            self.state.leases.insert(lease, chunk);
        }
        JobOutcome::Leased {
            lease,
            expires_at,
            grants,
        }
    }

    pub(super) fn start_items(
        &mut self,
        lease: LeaseId,
        attempts: &[ItemRef],
        now: UnixMillis,
    ) -> JobOutcome {
        let chunk = self.state.leases.get(&lease);
        let Some(chunk) = chunk.filter(|chunk| now < chunk.expires_at) else {
            let attempts = Vec::new();
            return JobOutcome::Started { attempts };
        };
        let job = self.state.jobs.get_mut(&chunk.job);
        let attempts = job.map_or_else(Vec::new, |job| {
            let wanted = attempts.iter().filter(|attempt| attempt.job == chunk.job);
            wanted
                .filter(|attempt| job.start(lease, attempt.item, attempt.attempt))
                .copied()
                .collect()
        });
        JobOutcome::Started { attempts }
    }

    pub(super) fn renew_leases(
        &mut self,
        host: &HostName,
        wanted: &[LeaseId],
        expires_at: UnixMillis,
    ) -> JobOutcome {
        let mut leases = Vec::new();
        for lease in wanted {
            let chunk = self.state.leases.get_mut(lease);
            if let Some(chunk) = chunk.filter(|chunk| chunk.host == *host) {
                chunk.expires_at = chunk.expires_at.max(expires_at);
                leases.push(*lease);
            }
        }
        JobOutcome::Renewed { leases, expires_at }
    }

    /// The leases that expired at least [`CLOCK_SKEW_MAX`] ago.
    pub(super) fn expired_leases(&self, now: UnixMillis) -> Vec<LeaseId> {
        self.state
            .leases
            .iter()
            .filter(|(_, chunk)| chunk.expires_at.after(CLOCK_SKEW_MAX) <= now)
            .map(|(lease, _)| *lease)
            .collect()
    }

    /// Decrements the number of items that a lease holds and removes an empty
    /// lease.
    pub(super) fn release_item(&mut self, lease: LeaseId) {
        let Some(chunk) = self.state.leases.get_mut(&lease) else {
            return;
        };
        chunk.held = chunk.held.saturating_sub(1);
        if chunk.held == 0 {
            self.state.leases.remove(&lease);
        }
        if self.state.leases.is_empty() {
            self.state.meter.pause();
        }
    }

    /// Refunds the service charged for an item that returned to pending.
    pub(super) fn refund_service(&mut self, job: JobId) {
        let Some(job) = self.state.jobs.get(&job) else {
            return;
        };
        let header = job.header();
        let refund = SERVICE_PER_ITEM / u64::from(header.share.0.max(1));
        if let Some(service) = self.state.service.get_mut(&header.team) {
            *service = service.saturating_sub(refund);
        }
    }

    /// Raises the service of a team without live jobs to the minimum of the other
    /// teams, so that an idle team does not accumulate credit.
    pub(super) fn raise_service_to_minimum(&mut self, team: &TeamName) {
        let live = self
            .state
            .live
            .iter()
            .filter_map(|job| self.state.jobs.get(job));
        let teams: Vec<&TeamName> = live.map(|job| &job.header().team).collect();
        if teams.contains(&team) {
            return;
        }
        let minimum = teams
            .iter()
            .filter_map(|other| self.state.service.get(*other))
            .min()
            .copied();
        let service = self.state.service.entry(team.clone()).or_default();
        *service = (*service).max(minimum.unwrap_or_default());
    }

    fn candidates(&self, now: UnixMillis) -> impl Iterator<Item = JobCandidate> {
        let live = self
            .state
            .live
            .iter()
            .filter_map(|job| self.state.jobs.get(job));
        live.filter(move |job| job.has_work(now)).map(|job| {
            let header = job.header();
            JobCandidate {
                job: header.job,
                service: self.state.service.get(&header.team).copied().unwrap_or(0),
                deadline_at: header.deadline_at,
                work_left: job.work_left(&self.state.meter),
                order: job.order(),
            }
        })
    }

    fn grant_items(&mut self, job: JobId, lease: LeaseId, request: &LeaseRequest) -> Vec<ItemRef> {
        let Some(chosen) = self.state.jobs.get_mut(&job) else {
            return Vec::new();
        };
        let limit = request.limit.min(LEASE_ITEMS_MAX);
        let granted = chosen.grant(lease, limit, request.now);
        let header = chosen.header();
        let charge = SERVICE_PER_ITEM / u64::from(header.share.0.max(1));
        let service = self.state.service.entry(header.team.clone()).or_default();
        *service = service.saturating_add(charge.saturating_mul(granted.len() as u64));
        self.state.meter.begin(request.now);
        granted
    }

    fn describe_grant(&self, attempt: ItemRef) -> ItemGrant {
        let job = self.state.jobs.get(&attempt.job);
        let record = job.and_then(|job| job.item(attempt.item));
        ItemGrant {
            attempt,
            idempotent: record.is_some_and(crate::ItemRecord::idempotent),
        }
    }
}

//! Deduplication of at-most-once requests by their idempotency key.
//!
//! A host claims the name of a non-idempotent request in the replicated log
//! before it forwards the request. A resend to any host then finds the recorded
//! response of the first request, or that the request is still running or may
//! have run. A claim whose host was lost is not released within the retention
//! period, because it is unknown whether the request ran.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The longest response body that is recorded, in bytes.
pub const RECORDED_BODY_MAX_BYTES: usize = 4096;

/// The period for which a claimed name is kept.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The time after which a request whose end was not recorded is reported as
/// `MayHaveRun`, since its host has probably failed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(600);

/// The name of an at-most-once request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AtMostOnceName {
    /// The team that sent the request.
    pub team: TeamName,
    /// The caller's idempotency key.
    pub key: String,
}

/// The hash of a request's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Hashes a method, a path with its query, and a body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }
}

/// Claims a name before its request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The name.
    pub name: AtMostOnceName,
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The claiming request; a resent claim of the same request succeeds again.
    pub request: RequestId,
    /// The time of the claim, as the duration since the Unix epoch.
    pub now: Duration,
}

/// Records how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The name.
    pub name: AtMostOnceName,
    /// The request that claimed the name.
    pub request: RequestId,
    /// How it ended.
    pub end: AtMostOnceEnd,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AtMostOnceEnd {
    /// It did not run; the name is released.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran; this is its recorded response.
    Answered(RecordedAnswer),
    /// It ran; its response was a stream or too long to record.
    Ran,
}

/// The recorded response of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claiming request now holds the name.
    Claimed,
    /// Another request with this name is still running.
    StillRunning,
    /// Another request with this name ended in this way.
    Ended(AtMostOnceEnd),
    /// The name was used for a request with a different digest.
    DigestMismatch,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    digest: RequestDigest,
    request: RequestId,
    claimed_at: Duration,
    end: Option<AtMostOnceEnd>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimTimestamp {
    claimed_at: Duration,
    name: AtMostOnceName,
}

/// The claims made within the retention period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRegistry {
    claims: BTreeMap<AtMostOnceName, ClaimRecord>,
    /// Claims in log order; some may have been released since.
    claim_order: VecDeque<ClaimTimestamp>,
}

impl ClaimRegistry {
    pub(crate) fn claim(&mut self, claim: &ClaimRequest) -> ClaimOutcome {
        self.remove_expired(claim.now);
        let Some(record) = self.claims.get(&claim.name) else {
            self.insert(claim);
            return ClaimOutcome::Claimed;
        };
        if record.digest != claim.digest {
            return ClaimOutcome::DigestMismatch;
        }
        match &record.end {
            Some(end) => ClaimOutcome::Ended(end.clone()),
            None if record.request == claim.request => ClaimOutcome::Claimed,
            None if claim.now.saturating_sub(record.claimed_at) > CLAIM_TIMEOUT => {
                ClaimOutcome::Ended(AtMostOnceEnd::MayHaveRun)
            }
            None => ClaimOutcome::StillRunning,
        }
    }

    /// Records the end of a request. Ignored unless the request holds the claim and
    /// has not ended yet.
    pub(crate) fn settle(&mut self, settle: &SettleRequest) {
        let Some(record) = self.claims.get_mut(&settle.name) else {
            return;
        };
        if record.request != settle.request || record.end.is_some() {
            return;
        }
        if settle.end == AtMostOnceEnd::NotRun {
            self.claims.remove(&settle.name);
        } else {
            record.end = Some(settle.end.clone());
        }
    }

    fn insert(&mut self, claim: &ClaimRequest) {
        let record = ClaimRecord {
            digest: claim.digest,
            request: claim.request,
            claimed_at: claim.now,
            end: None,
        };
        self.claims.insert(claim.name.clone(), record);
        self.claim_order.push_back(ClaimTimestamp {
            claimed_at: claim.now,
            name: claim.name.clone(),
        });
    }

    fn remove_expired(&mut self, now: Duration) {
        while let Some(oldest) = self.claim_order.front()
            && now.saturating_sub(oldest.claimed_at) > CLAIM_RETENTION
        {
            let Some(oldest) = self.claim_order.pop_front() else {
                return;
            };
            let is_same_claim = |record: &ClaimRecord| record.claimed_at == oldest.claimed_at;
            if self.claims.get(&oldest.name).is_some_and(is_same_claim) {
                self.claims.remove(&oldest.name);
            }
        }
    }
}

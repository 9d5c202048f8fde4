//! Requests that may run at most once, by the name that their caller gave.
//!
//! A host claims the name of a non-idempotent request in the replicated log
//! before it sends the request on. So a resend to any host finds the first one:
//! its recorded answer, or that it still runs or may have run. A claim whose
//! host is lost is never given out again within the retention, since nobody can
//! tell whether the request ran.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The longest recorded body of an answer, in bytes.
pub const RECORDED_BODY_MAX_BYTES: usize = 4096;

/// The time for which a name is remembered.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// The time after which a claim counts as lost with its host.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(600);

/// The name of a request that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AtMostOnceName {
    /// The team that sent the request.
    pub team: TeamName,
    /// The idempotency key that the caller gave.
    pub key: String,
}

/// The hash of what a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// The digest of a method, a path with its query, and a body.
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

/// Claims a name before its request is sent on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The name.
    pub name: AtMostOnceName,
    /// What the request asks for.
    pub digest: RequestDigest,
    /// The request that claims; a claim sent twice succeeds twice.
    pub request: RequestId,
    /// The time of the claim since the Unix epoch.
    pub now: Duration,
}

/// Tells how a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The name.
    pub name: AtMostOnceName,
    /// The request that claimed it.
    pub request: RequestId,
    /// How it ended.
    pub end: AtMostOnceEnd,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AtMostOnceEnd {
    /// It did not run; the name is free again.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It ran and was answered.
    Answered(RecordedAnswer),
    /// It ran; its answer was a stream or too long to be recorded.
    Ran,
}

/// The answer to a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What a claim found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The name belongs to the claiming request now.
    Claimed,
    /// Another request under the name still runs.
    StillRunning,
    /// Another request under the name ended in this way.
    Ended(AtMostOnceEnd),
    /// The name was used for a request that asks for something else.
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
struct ClaimAge {
    claimed_at: Duration,
    name: AtMostOnceName,
}

/// The claims of the last day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestLedger {
    claims: BTreeMap<AtMostOnceName, ClaimRecord>,
    /// Claims in the order of the log; some may have been released since.
    ages: VecDeque<ClaimAge>,
}

impl RequestLedger {
    pub(crate) fn claim(&mut self, claim: &ClaimRequest) -> ClaimOutcome {
        self.forget_old(claim.now);
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

    /// Takes the end of a request; only its own claim may end, and only once.
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
        self.ages.push_back(ClaimAge {
            claimed_at: claim.now,
            name: claim.name.clone(),
        });
    }

    fn forget_old(&mut self, now: Duration) {
        while let Some(oldest) = self.ages.front()
            && now.saturating_sub(oldest.claimed_at) > RETENTION
        {
            let Some(oldest) = self.ages.pop_front() else {
                return;
            };
            let same = |record: &ClaimRecord| record.claimed_at == oldest.claimed_at;
            if self.claims.get(&oldest.name).is_some_and(same) {
                self.claims.remove(&oldest.name);
            }
        }
    }
}

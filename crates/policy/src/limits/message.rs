//! Messages between bucket owners and quota holders.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies one of the buckets of a team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TokenPool {
    /// The bucket shared by the whole fleet.
    Fleet,
    /// The reserve owned by this host on behalf of its availability zone.
    Reserve(HostName),
}

/// Identifies the holder of a quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaHolder {
    /// A host that admits requests.
    Admission(HostName),
    /// The owner of the fleet bucket on this host, which borrows from reserves.
    Borrower(HostName),
}

impl QuotaHolder {
    /// Returns the host of the holder.
    #[must_use]
    pub const fn host(&self) -> &HostName {
        match self {
            Self::Admission(host) | Self::Borrower(host) => host,
        }
    }
}

/// Orders the successive owners of one bucket; a later owner has a higher epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OwnerEpoch(pub u64);

/// Orders the successive quotas of one holder.
///
/// A holder starts a session only after the quota of the previous session has
/// ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct QuotaSession(pub u64);

/// Token counters of one session; each is monotonic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCounters {
    /// Tokens granted to the holder.
    pub granted: u64,
    /// Tokens spent on admitted requests.
    pub spent: u64,
    /// Tokens returned to the bucket.
    pub returned: u64,
}

impl QuotaCounters {
    /// Returns the tokens that are neither spent nor returned.
    #[must_use]
    pub const fn unspent(self) -> u64 {
        self.granted
            .saturating_sub(self.spent.saturating_add(self.returned))
    }

    /// Returns whether all counters are zero.
    #[must_use]
    pub const fn is_untouched(self) -> bool {
        self.granted == 0 && self.spent == 0 && self.returned == 0
    }
}

/// A holder's report of its counters and request for tokens.
///
/// The same message renews the quota and returns tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// The requesting holder.
    pub holder: QuotaHolder,
    /// The session of the quota.
    pub session: QuotaSession,
    /// The owner epoch in which the quota was granted.
    pub epoch: OwnerEpoch,
    /// The sequence number of the request within its session.
    pub sequence: u64,
    /// The counters of the quota.
    pub counters: QuotaCounters,
    /// Tokens for requests that are waiting now.
    pub needed: u64,
    /// Tokens to prefetch for expected requests.
    pub prefetch: u64,
}

/// The owner's reply to a quota request: tokens, or an estimate of when one is free.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// The requesting holder.
    pub holder: QuotaHolder,
    /// The session of the quota.
    pub session: QuotaSession,
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
    /// The sequence number of the latest request that the owner has handled.
    pub sequence: u64,
    /// The total number of tokens granted in the session.
    pub granted: u64,
    /// The lifetime of the quota, counted from the sending of that request.
    pub quota_ttl: Duration,
    /// The estimated time until a token is free for the holder's next request.
    pub next_token_in: Duration,
}

/// The owner's request that a holder return its idle tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRecall {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// The holder of the tokens.
    pub holder: QuotaHolder,
    /// The session of the quota.
    pub session: QuotaSession,
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
}

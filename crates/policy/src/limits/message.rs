//! Messages between the owner of a team's tokens and the hosts.

use chicoryladder_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The bucket that a message is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TokenPool {
    /// The bucket for the whole fleet.
    Fleet,
    /// The reserve kept by one host for its availability zone.
    Reserve(HostName),
}

/// Who holds a quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum QuotaHolder {
    /// A host that admits requests.
    Admission(HostName),
    /// The fleet owner on this host, which borrows what reserves leave.
    Borrower(HostName),
}

impl QuotaHolder {
    /// The host of the holder.
    #[must_use]
    pub const fn host(&self) -> &HostName {
        match self {
            Self::Admission(host) | Self::Borrower(host) => host,
        }
    }
}

/// Orders the owners of one bucket; a later owner has a higher epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct OwnerEpoch(pub u64);

/// Orders the quotas that one host holds one after the other.
///
/// A host begins a session only after the quota of the one before it ended.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct QuotaSession(pub u64);

/// What became of the tokens of one session; each number only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCounters {
    /// Tokens granted to the host.
    pub granted: u64,
    /// Tokens that admitted a request.
    pub spent: u64,
    /// Tokens given back to the bucket.
    pub returned: u64,
}

impl QuotaCounters {
    /// Tokens neither spent nor returned.
    #[must_use]
    pub const fn unspent(self) -> u64 {
        self.granted
            .saturating_sub(self.spent.saturating_add(self.returned))
    }

    /// Whether no token was ever granted.
    #[must_use]
    pub const fn is_untouched(self) -> bool {
        self.granted == 0 && self.spent == 0 && self.returned == 0
    }
}

/// A host reports its counters and asks for tokens.
///
/// This one message also renews the quota and gives tokens back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// Who asks.
    pub holder: QuotaHolder,
    /// The session of the host's quota.
    pub session: QuotaSession,
    /// The epoch of the owner that granted the quota.
    pub epoch: OwnerEpoch,
    /// Numbers the requests of a session.
    pub sequence: u64,
    /// The counters of the quota.
    pub counters: QuotaCounters,
    /// Tokens for requests that wait now.
    pub needed: u64,
    /// Tokens wanted ahead of demand.
    pub ahead: u64,
}

/// The owner grants tokens, or tells when there will be some.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// Who asked.
    pub holder: QuotaHolder,
    /// The session of the host's quota.
    pub session: QuotaSession,
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
    /// The latest request that the owner has seen.
    pub sequence: u64,
    /// All tokens granted in the session.
    pub granted: u64,
    /// How long the quota lasts after that request was sent.
    pub quota_ttl: Duration,
    /// The time until a token is free for the host's next request.
    pub next_token_in: Duration,
}

/// The owner asks a host to give idle tokens back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRecall {
    /// The team.
    pub team: TeamName,
    /// The bucket.
    pub pool: TokenPool,
    /// Who holds the tokens.
    pub holder: QuotaHolder,
    /// The session of the host's quota.
    pub session: QuotaSession,
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
}

//! Rate and burst of a team, counted over all hosts by token escrow.
//!
//! One owner for each team owns its token bucket. Hosts hold small quotas
//! taken from the bucket ahead of demand and admit from them without asking.
//! The owner counts every token that a host may still hold as outstanding,
//! and keeps `level + outstanding <= burst`. So in every window of length `t`
//! the fleet admits at most `burst + rate * t`, whatever messages are lost,
//! repeated or late.
//!
//! The counters of a quota only rise within a session of a host, so a repeated
//! or reordered message changes nothing. A quota ends at its holder before the
//! owner forgets it. A new owner waits until every quota of the one before
//! it has ended, and starts empty.
//!
//! A part of rate and burst is set aside in reserves, each kept for good by one
//! host that the settings name, so that an availability zone with such a host
//! goes on when it is cut off. No election is needed for a reserve, so none can
//! fail. While the zones are connected, the fleet owner borrows what the
//! reserves leave.

mod amount;
mod demand;
mod fleet;
mod held;
mod lease;
mod limiter;
mod message;
mod owner;
mod quota;
mod split;

pub use amount::{LimitError, RateLimit, TokenAmount};
pub use demand::DemandMeter;
pub use fleet::FleetBucketOwner;
pub use lease::{
    LeaseAction, LeaseClaim, LeaseTimes, LeaseVote, LeaseVoter, OwnerLease, ShardClaim, ShardNumber,
};
pub use limiter::{LimitAdmission, LimiterAction, TeamLimiter, WaiterKey};
pub use message::{
    OwnerEpoch, QuotaCounters, QuotaGrant, QuotaHolder, QuotaRecall, QuotaRequest, QuotaSession,
    TokenPool,
};
pub use owner::{BucketOwner, OwnerAction, QuotaTimes};
pub use quota::TokenQuota;
pub use split::SplitLimit;

//! Fleet-wide rate limits per team, enforced by token escrow.
//!
//! Each team has one token bucket with one owner. Hosts prefetch small quotas of
//! tokens from the bucket and admit requests from them without a round trip. The
//! owner counts every token that a host may still hold as outstanding and
//! maintains `level + outstanding <= burst`. In every window of length `t` the
//! fleet therefore admits at most `burst + rate * t` requests, even if messages
//! are lost, duplicated or delayed.
//!
//! The counters of a quota are monotonic within a session, so duplicated and
//! reordered messages have no effect. A quota expires at its holder before it
//! expires at the owner. A new owner starts with an empty bucket and grants
//! nothing until every quota granted by its predecessor has expired.
//!
//! Part of the rate and burst is set aside in reserves. Each reserve is assigned
//! permanently to one host named in the settings, so an availability zone with
//! such a host keeps admitting requests during a network partition. Reserves need
//! no election that could fail. While the zones are connected, the owner of the
//! fleet bucket borrows unused tokens from the reserves.

mod amount;
mod demand;
mod fleet;
mod lease;
mod limiter;
mod message;
mod owner;
mod quota;
mod quota_record;
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

//! Rate and burst of a team, counted over all hosts by token escrow.
//!
//! One keeper for each team owns its token bucket. Hosts hold small stocks
//! taken from the bucket ahead of demand and admit from them without asking.
//! The keeper counts every token that a host may still hold as outstanding,
//! and keeps `level + outstanding <= burst`. So in every window of length `t`
//! the fleet admits at most `burst + rate * t`, whatever messages are lost,
//! repeated or late.
//!
//! The counters of a stock only rise within a session of a host, so a repeated
//! or reordered message changes nothing. A stock ends at its holder before the
//! keeper forgets it. A new keeper waits until every stock of the one before
//! it has ended, and starts empty.
//!
//! A part of rate and burst is set aside in reserves, each kept for good by one
//! host that the settings name, so that an availability zone with such a host
//! goes on when it is cut off. No election is needed for a reserve, so none can
//! fail. While the zones are connected, the fleet keeper borrows what the
//! reserves leave.

mod amount;
mod demand;
mod fleet;
mod held;
mod keeper;
mod lease;
mod limiter;
mod message;
mod split;
mod stock;

pub use amount::{LimitError, RateLimit, TokenAmount};
pub use demand::DemandMeter;
pub use fleet::FleetKeeper;
pub use keeper::{KeeperAction, KeeperTimes, TokenKeeper};
pub use lease::{
    KeeperLease, LeaseAction, LeaseClaim, LeaseTimes, LeaseVote, LeaseVoter, ShardClaim,
    ShardNumber,
};
pub use limiter::{LimitAdmission, LimiterAction, TeamLimiter, WaiterKey};
pub use message::{
    KeeperEpoch, StockCounters, StockGrant, StockHolder, StockRecall, StockRequest, StockSession,
    TokenPool,
};
pub use split::SplitLimit;
pub use stock::TokenStock;

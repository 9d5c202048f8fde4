//! Replicated fleet state: the fleet document, API keys, the drains of zones and
//! the records of at-most-once requests.
//!
//! [`FleetMachine`] is the deterministic state machine that applies the
//! committed fleet commands of the consensus group. It reads no clock and generates
//! no random values: salts, key ids and operation ids are part of the command, so
//! every host that applies the same log holds byte-identical state. Requests are
//! served from a [`FleetView`], which is cheap to clone and also includes key
//! withdrawals that this host has received but not yet applied from the log.

mod board;
mod claims;
mod command;
mod history;
mod keys;
mod machine;
mod propagation;
mod tombstones;
mod view;

pub use board::{BoardAggregator, BoardCache, ClassReport, StatisticsReport, StatisticsWindow};
pub use claims::{
    AtMostOnceEnd, AtMostOnceName, ClaimOutcome, ClaimRequest, RECORDED_BODY_MAX_BYTES,
    RecordedAnswer, RequestDigest, SettleRequest,
};
pub use command::{
    ApplyDocument, CommandError, FleetCommand, FleetOutcome, GrantKey, KeyRefusal, SetZoneDrain,
    WithdrawKey,
};
pub use keys::{KeyError, KeyGrant, KeyId, KeyRecord, KeySalt, KeyState, KeyText, SecretHash};
pub use machine::{FleetMachine, SnapshotError};
pub use propagation::{HostPosition, KnownHost, PropagationGoal, propagation_report};
pub use tombstones::KeyTombstones;
pub use view::{FleetView, KeyDecision};

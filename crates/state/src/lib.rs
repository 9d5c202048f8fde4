//! Replicated aggregates: the fleet document, the callers' keys and the requests
//! that may run at most once.
//!
//! [`FleetMachine`] turns the committed commands of group 0 into state. It
//! reads no clock and draws no random number: salts, key ids and operation ids
//! come within the command, so every host that applies the same log holds the
//! same state, byte for byte. Requests are served from a [`FleetView`], which
//! is cheap to clone and adds the key withdrawals that this host has heard of
//! before they were logged.

mod board;
mod command;
mod history;
mod keys;
mod ledger;
mod machine;
mod spread;
mod tombstones;
mod view;

pub use board::{BoardAggregator, BoardCache, ClassReport, StatisticsReport, StatisticsWindow};
pub use command::{
    ApplyDocument, CommandError, FleetCommand, FleetOutcome, GrantKey, KeyRefusal, WithdrawKey,
};
pub use keys::{KeyError, KeyGrant, KeyId, KeyRecord, KeySalt, KeyState, KeyText, SecretHash};
pub use ledger::{
    AtMostOnceEnd, AtMostOnceName, ClaimOutcome, ClaimRequest, RECORDED_BODY_MAX_BYTES,
    RecordedAnswer, RequestDigest, SettleRequest,
};
pub use machine::{FleetMachine, SnapshotError};
pub use spread::{HostPosition, KnownHost, PropagationGoal, propagation_report};
pub use tombstones::KeyTombstones;
pub use view::{FleetView, KeyDecision};

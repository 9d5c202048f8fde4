//! Decides which backend server runs which request, and when.
//!
//! One broker at a time serves the whole fleet, on the leader of the control
//! group. Every entry host asks it for a slot before it sends a request, so the
//! broker knows the load of each server exactly, where entry hosts that choose by
//! themselves would choose the same idle server at the same moment. What may be
//! spent on a team's requests is kept in the same place, so one question answers
//! both.
//!
//! Engines know no priorities and cannot take back what they admitted. So the
//! broker lets no more run on an engine than fit its batch, keeps the rest waiting
//! in its own order, and stops a batch item where an online request needs its
//! slot.
//!
//! Nothing here reads a clock or does I/O: calls carry the time, and
//! [`SlotBroker::take_events`] tells what to send.

mod ask;
mod brokerless;
mod directory;
mod grants;
mod placement;
mod pool;
mod rate;
mod slots;

pub use ask::{
    BrokerEvent, PromptPart, RefuseReason, RequesterId, SlotDecision, SlotRequest, WorkKind,
};
pub use brokerless::BrokerlessView;
pub use directory::{CheckInOutcome, ServerCheckIn, ServerPhase, ServerRecord};
pub use grants::{ActiveRun, RunOutcome, RunReport};
pub use rate::{RateLedger, RateTolerance};
pub use slots::{BrokerSettings, SlotBroker};

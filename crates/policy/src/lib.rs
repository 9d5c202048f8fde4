//! Decision logic for rate limits, routing, queues, retries and quarantine.
//!
//! The package performs no I/O, spawns no tasks and reads no clock. Each state
//! machine takes an event and the current instant and returns typed actions for
//! the task that drives it. Random choices use a generator passed in by the
//! caller. Tests can therefore run every state machine under thousands of
//! reproducible schedules and faults, and benchmarks can measure it in isolation.

pub mod limits;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod returns;
pub mod routing;

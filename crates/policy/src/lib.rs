//! Pure decisions: limits, routing, queues, retries and quarantine.
//!
//! Nothing here performs I/O, starts a task or reads a clock. Each part takes
//! an event and the current instant, and returns typed actions for the task
//! that drives it. Randomness comes in as a seeded generator. So every part
//! runs under thousands of schedules and faults in tests, and is measured
//! alone.

pub mod limits;
pub mod quarantine;
pub mod queue;
pub mod retry;
pub mod routing;

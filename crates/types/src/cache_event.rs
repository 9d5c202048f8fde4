//! What an engine tells about its cache of prompt prefixes.
//!
//! The events are hints: they arrive late, and numbers are missing.

use crate::{ServerGeneration, ServerName};
use serde::{Deserialize, Serialize};

/// What happened to one block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One event of the prefix cache of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    /// The number of the event since the engine started; a missing number is a
    /// lost event.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
    /// The hash of the block and of every block before it in the prompt.
    pub block: u64,
}

/// Events of one engine, oldest first.
///
/// Sent as the JSON body of `POST /servers/v1/cache-events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheReport {
    /// The engine.
    pub server: ServerName,
    /// The incarnation whose cache is told about.
    pub generation: ServerGeneration,
    /// The events.
    pub events: Vec<CacheEvent>,
}

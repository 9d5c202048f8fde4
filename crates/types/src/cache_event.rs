//! Events that an engine reports about its prefix cache.
//!
//! The events are hints: they may arrive late or be lost.

use crate::{ServerGeneration, ServerName};
use serde::{Deserialize, Serialize};

/// A change of one block of the prefix cache.
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
    /// The sequence number of the event since the engine started; a gap means that events
    /// were lost.
    pub number: u64,
    /// The change of the block.
    pub change: CacheChange,
    /// The hash of the block and of every block before it in the prompt.
    pub block: u64,
}

/// A batch of events of one engine, oldest first.
///
/// Sent as the JSON body of `POST /servers/v1/cache-events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheReport {
    /// The engine.
    pub server: ServerName,
    /// The incarnation of the engine that the cache belongs to.
    pub generation: ServerGeneration,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

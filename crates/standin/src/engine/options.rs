//! The options of a stand-in engine.

use super::cache_events::EventOptions;
use chicoryladder_types::{
    ModelName, ServerAnnouncement, ServerGeneration, ServerLoad, ServerName, ZoneName,
};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The default time between two announcements.
const DEFAULT_ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// The default maximum age of a reported load.
const DEFAULT_LOAD_LAG: Duration = Duration::from_millis(100);

/// The default maximum number of requests recorded for checks after a run.
const DEFAULT_RECORD_LIMIT: usize = 10_000;

/// The default number of sequences decoded in one batch.
const DEFAULT_SLOTS: u32 = 8;

/// The default length of a response whose request sets no limit, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 16;

/// The default size of the prefix cache, in blocks of 16 tokens.
const DEFAULT_CACHE_BLOCKS: usize = 4_096;

/// The default number of streams that can be resumed.
const DEFAULT_RESUMABLE_STREAMS: usize = 1_024;

/// The simulated computing times of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTiming {
    /// The time to process one prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// The time of one decoding step, which generates one token per sequence.
    pub decode_step: Duration,
    /// The time that each running sequence adds to a decoding step.
    pub decode_per_sequence: Duration,
}

impl Default for EngineTiming {
    fn default() -> Self {
        Self {
            prefill_per_token: Duration::from_micros(20),
            decode_step: Duration::from_millis(5),
            decode_per_sequence: Duration::from_micros(50),
        }
    }
}

/// The options of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name in announcements.
    pub name: ServerName,
    /// The availability zone in announcements.
    pub zone: ZoneName,
    /// The models loaded at the start.
    pub models: Vec<ModelName>,
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The addresses of the entry hosts' server ports, which receive the
    /// announcements.
    pub entry_hosts: Vec<SocketAddr>,
    /// The time between two announcements.
    pub announce_period: Duration,
    /// The incarnation number announced at the start; it increases at each recovery.
    pub generation: ServerGeneration,
    /// The maximum number of sequences decoded in one batch; further requests wait in
    /// the engine's queue.
    pub slots: u32,
    /// The simulated computing times.
    pub timing: EngineTiming,
    /// The maximum age of a reported load; zero reports each change immediately.
    pub load_lag: Duration,
    /// The size of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// How cache events are published; `None` publishes none.
    pub events: Option<EventOptions>,
    /// The number of streams that can be resumed, which are the most recent ones.
    pub resumable_streams: usize,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// The length of a response whose request sets no limit, in tokens.
    pub default_output_tokens: u32,
    /// The maximum number of requests recorded for checks after a run; further ones
    /// are served but not recorded.
    pub record_limit: usize,
}

impl EngineOptions {
    /// The default options of an engine with one model on a free loopback port,
    /// without entry hosts.
    #[must_use]
    pub fn new(name: ServerName, zone: ZoneName, model: ModelName) -> Self {
        Self {
            name,
            zone,
            models: vec![model],
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: Vec::new(),
            announce_period: DEFAULT_ANNOUNCE_PERIOD,
            generation: ServerGeneration(1),
            slots: DEFAULT_SLOTS,
            timing: EngineTiming::default(),
            load_lag: DEFAULT_LOAD_LAG,
            cache_blocks: DEFAULT_CACHE_BLOCKS,
            events: None,
            resumable_streams: DEFAULT_RESUMABLE_STREAMS,
            checks_fencing: true,
            default_output_tokens: DEFAULT_OUTPUT_TOKENS,
            record_limit: DEFAULT_RECORD_LIMIT,
        }
    }

    /// Returns the announcement of an idle engine that listens on `address`.
    pub(super) fn announcement(&self, address: SocketAddr) -> ServerAnnouncement {
        ServerAnnouncement {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address,
            generation: self.generation,
            slots: self.slots,
            models: self.models.clone(),
            services: Vec::new(),
            checks_fencing: self.checks_fencing,
            leaving: false,
            load: ServerLoad::default(),
        }
    }
}

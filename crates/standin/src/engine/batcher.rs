//! Continuous batching over a fixed number of slots.
//!
//! One task owns the running and the waiting sequences. Each step first admits
//! waiting sequences in order of arrival, spends the prefill time of the prompt
//! tokens that are not in the prefix cache, and then generates one token for
//! every running sequence. A sequence that is cancelled, or whose receiver was
//! dropped, loses its slot at the next step.

use super::counters::{CounterSet, add, increment};
use super::prefix_cache::{BLOCK_TOKENS, BlockChange, PrefixCache};
use super::streams::CancelFlag;
use super::{EngineOptions, EngineTiming};
use chicoryladder_types::ServerLoad;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// A request to generate the tokens of one sequence.
#[derive(Debug)]
pub(super) struct SequenceRequest {
    /// The number of tokens to process before the first one that is generated.
    pub(super) prompt_tokens: u32,
    /// The hashes of the prompt's cache blocks.
    pub(super) blocks: Vec<u64>,
    /// The number of the first token to generate.
    pub(super) first_token: u32,
    /// The number of tokens of the complete response.
    pub(super) output_tokens: u32,
    /// Cancels the sequence when it is set.
    pub(super) cancel: CancelFlag,
    /// Receives the number of each token as it is generated; dropped at the end.
    pub(super) tokens: mpsc::UnboundedSender<u32>,
}

impl SequenceRequest {
    fn cancelled(&self) -> bool {
        self.cancel.is_set() || self.tokens.is_closed()
    }
}

#[derive(Debug)]
struct RunningSequence {
    next_token: u32,
    request: SequenceRequest,
}

impl RunningSequence {
    fn ended(&self) -> bool {
        self.next_token >= self.request.output_tokens
    }
}

/// Schedules sequences on the slots of an engine.
pub(super) struct SequenceBatcher {
    slots: usize,
    timing: EngineTiming,
    cache: PrefixCache,
    changes: Option<mpsc::UnboundedSender<BlockChange>>,
    running: Vec<RunningSequence>,
    waiting: VecDeque<SequenceRequest>,
    load: watch::Sender<ServerLoad>,
    counters: Arc<CounterSet>,
}

impl SequenceBatcher {
    pub(super) fn new(
        options: &EngineOptions,
        load: watch::Sender<ServerLoad>,
        changes: Option<mpsc::UnboundedSender<BlockChange>>,
        counters: Arc<CounterSet>,
    ) -> Self {
        Self {
            slots: options.slots as usize,
            timing: options.timing,
            cache: PrefixCache::new(options.cache_blocks),
            changes,
            running: Vec::new(),
            waiting: VecDeque::new(),
            load,
            counters,
        }
    }

    /// Runs steps until every sender of requests is dropped.
    pub(super) async fn run(mut self, mut requests: mpsc::UnboundedReceiver<SequenceRequest>) {
        let mut step_end = Instant::now();
        loop {
            if self.running.is_empty() && self.waiting.is_empty() {
                self.publish_load();
                let Some(request) = requests.recv().await else {
                    return;
                };
                self.waiting.push_back(request);
                step_end = Instant::now();
            }
            while let Ok(request) = requests.try_recv() {
                self.waiting.push_back(request);
            }
            self.drop_cancelled();
            let prefill_time = self.admit();
            self.publish_load();
            step_end += prefill_time + self.decode_time();
            sleep_until(step_end).await;
            // Lets the receivers run even when all step times are zero.
            tokio::task::yield_now().await;
            self.send_tokens();
        }
    }

    fn drop_cancelled(&mut self) {
        let before = self.running.len() + self.waiting.len();
        self.running
            .retain(|sequence| !sequence.request.cancelled());
        self.waiting.retain(|request| !request.cancelled());
        let after = self.running.len() + self.waiting.len();
        for _ in after..before {
            increment(&self.counters.cancelled);
        }
    }

    /// Fills the free slots and returns the total prefill time of the prompts.
    fn admit(&mut self) -> Duration {
        let mut prefill_time = Duration::ZERO;
        while self.running.len() < self.slots {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            prefill_time += self.prefill_time(&request);
            increment(&self.counters.started);
            self.running.push(RunningSequence {
                next_token: request.first_token,
                request,
            });
        }
        prefill_time
    }

    fn prefill_time(&mut self, request: &SequenceRequest) -> Duration {
        let lookup = self.cache.look_up(&request.blocks);
        let hits = u32::try_from(lookup.hits).unwrap_or(u32::MAX);
        let cached = hits.saturating_mul(BLOCK_TOKENS);
        add(&self.counters.prompt_tokens, request.prompt_tokens.into());
        add(&self.counters.cached_tokens, cached.into());
        if let Some(changes) = &self.changes {
            for change in lookup.changes {
                // The send fails only if the publisher has stopped.
                let _ = changes.send(change);
            }
        }
        self.timing.prefill_per_token * request.prompt_tokens.saturating_sub(cached)
    }

    fn decode_time(&self) -> Duration {
        if self.running.is_empty() {
            return Duration::ZERO;
        }
        let sequences = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.timing.decode_step + self.timing.decode_per_sequence * sequences
    }

    fn send_tokens(&mut self) {
        for sequence in &mut self.running {
            // A sequence whose receiver was dropped is removed before the next step.
            let tokens = &sequence.request.tokens;
            if !sequence.ended() && tokens.send(sequence.next_token).is_ok() {
                increment(&self.counters.output_tokens);
                sequence.next_token += 1;
            }
        }
        let before = self.running.len();
        self.running.retain(|sequence| !sequence.ended());
        for _ in self.running.len()..before {
            increment(&self.counters.completed);
        }
    }

    fn publish_load(&self) {
        let load = ServerLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        };
        self.load.send_if_modified(|current| {
            let changed = *current != load;
            *current = load;
            changed
        });
    }
}

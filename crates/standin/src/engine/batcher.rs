//! Continuous batching over a fixed number of slots.
//!
//! One task owns the running and the waiting sequences. Each step first admits
//! waiting sequences in order of arrival, pays for the prompt tokens that are
//! not in the prefix cache, and then gives every running sequence one token. A
//! sequence that is cancelled, or whose receiver is gone, loses its slot at the
//! next step.

use super::counters::{CounterSet, add, count};
use super::prefix_cache::{BLOCK_TOKENS, BlockChange, PrefixCache};
use super::streams::CancelFlag;
use super::{EngineOptions, EngineTiming};
use chicoryladder_types::ServerLoad;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// One request for tokens.
#[derive(Debug)]
pub(super) struct SequenceOrder {
    /// The tokens to process before the first one to send.
    pub(super) prompt_tokens: u32,
    /// The cache blocks of the prompt.
    pub(super) blocks: Vec<u64>,
    /// The number of the first token to send.
    pub(super) first_token: u32,
    /// The number of tokens of the whole answer.
    pub(super) output_tokens: u32,
    /// Ends the sequence when it is set.
    pub(super) cancel: CancelFlag,
    /// Takes the number of each token as it is generated, then closes.
    pub(super) tokens: mpsc::UnboundedSender<u32>,
}

impl SequenceOrder {
    fn cancelled(&self) -> bool {
        self.cancel.is_set() || self.tokens.is_closed()
    }
}

#[derive(Debug)]
struct RunningSequence {
    next_token: u32,
    order: SequenceOrder,
}

impl RunningSequence {
    fn ended(&self) -> bool {
        self.next_token >= self.order.output_tokens
    }
}

/// Owns the slots of an engine.
pub(super) struct SequenceBatcher {
    slots: usize,
    timing: EngineTiming,
    cache: PrefixCache,
    changes: Option<mpsc::UnboundedSender<BlockChange>>,
    running: Vec<RunningSequence>,
    waiting: VecDeque<SequenceOrder>,
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

    /// Runs steps until every sender of orders is gone.
    pub(super) async fn run(mut self, mut orders: mpsc::UnboundedReceiver<SequenceOrder>) {
        let mut step_end = Instant::now();
        loop {
            if self.running.is_empty() && self.waiting.is_empty() {
                self.publish_load();
                let Some(order) = orders.recv().await else {
                    return;
                };
                self.waiting.push_back(order);
                step_end = Instant::now();
            }
            while let Ok(order) = orders.try_recv() {
                self.waiting.push_back(order);
            }
            self.drop_cancelled();
            let prefill_time = self.admit();
            self.publish_load();
            step_end += prefill_time + self.decode_time();
            sleep_until(step_end).await;
            // Lets the receivers run even when the pace is zero.
            tokio::task::yield_now().await;
            self.send_tokens();
        }
    }

    fn drop_cancelled(&mut self) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| !sequence.order.cancelled());
        self.waiting.retain(|order| !order.cancelled());
        let after = self.running.len() + self.waiting.len();
        for _ in after..before {
            count(&self.counters.cancelled);
        }
    }

    /// Fills the free slots and returns the time that the prompts take.
    fn admit(&mut self) -> Duration {
        let mut prefill_time = Duration::ZERO;
        while self.running.len() < self.slots {
            let Some(order) = self.waiting.pop_front() else {
                break;
            };
            prefill_time += self.prefill_time(&order);
            count(&self.counters.started);
            self.running.push(RunningSequence {
                next_token: order.first_token,
                order,
            });
        }
        prefill_time
    }

    fn prefill_time(&mut self, order: &SequenceOrder) -> Duration {
        let lookup = self.cache.look_up(&order.blocks);
        let hits = u32::try_from(lookup.hits).unwrap_or(u32::MAX);
        let cached = hits.saturating_mul(BLOCK_TOKENS);
        add(&self.counters.prompt_tokens, order.prompt_tokens.into());
        add(&self.counters.cached_tokens, cached.into());
        if let Some(changes) = &self.changes {
            for change in lookup.changes {
                // Without a publisher the events are simply not sent.
                let _ = changes.send(change);
            }
        }
        self.timing.prefill_per_token * order.prompt_tokens.saturating_sub(cached)
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
            // A closed receiver is noticed as a cancellation before the next step.
            let tokens = &sequence.order.tokens;
            if !sequence.ended() && tokens.send(sequence.next_token).is_ok() {
                count(&self.counters.output_tokens);
                sequence.next_token += 1;
            }
        }
        let before = self.running.len();
        self.running.retain(|sequence| !sequence.ended());
        for _ in self.running.len()..before {
            count(&self.counters.completed);
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

//! Publishes the events of the prefix cache, with a configurable delay and loss.

use super::prefix_cache::BlockChange;
use crate::announcer::AnnouncerState;
use crate::entry_hosts::EntryHostClient;
use chicoryladder_types::{CacheEvent, CacheReport, ServerName};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// The path on an entry host that accepts cache events.
const EVENTS_PATH: &str = "/servers/v1/cache-events";

/// How an engine publishes the events of its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventOptions {
    /// The time between a change and its event, and between two reports.
    pub delay: Duration,
    /// Drops each event whose number is a multiple of this; 0 drops none.
    pub drop_interval: u64,
}

/// Numbers the changes of one engine's cache and posts them to the entry hosts.
pub(super) struct EventPublisher {
    pub(super) server: ServerName,
    pub(super) options: EventOptions,
    pub(super) hosts: EntryHostClient,
    pub(super) state: watch::Receiver<AnnouncerState>,
    pub(super) changes: mpsc::UnboundedReceiver<BlockChange>,
}

impl EventPublisher {
    /// Publishes until the engine's batcher has stopped.
    pub(super) async fn run(mut self) {
        let mut number = 0;
        while let Some(first) = self.changes.recv().await {
            sleep(self.options.delay).await;
            let mut events = Vec::new();
            let mut next = Some(first);
            while let Some(change) = next {
                number += 1;
                if !self.drops(number) {
                    events.push(CacheEvent {
                        number,
                        change: change.change,
                        block: change.block,
                    });
                }
                next = self.changes.try_recv().ok();
            }
            self.publish(events).await;
        }
    }

    fn drops(&self, number: u64) -> bool {
        let interval = self.options.drop_interval;
        interval != 0 && number.is_multiple_of(interval)
    }

    async fn publish(&self, events: Vec<CacheEvent>) {
        if events.is_empty() {
            return;
        }
        let report = CacheReport {
            server: self.server.clone(),
            generation: self.state.borrow().generation,
            events,
        };
        self.hosts.post_all(EVENTS_PATH, &report).await;
    }
}

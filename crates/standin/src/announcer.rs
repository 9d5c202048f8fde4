//! Periodically announces a stand-in to the entry hosts.

use crate::entry_hosts::EntryHostClient;
use chicoryladder_types::{ModelName, ServerAnnouncement, ServerGeneration, ServerLoad};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

/// The path on an entry host that accepts announcements.
const ANNOUNCE_PATH: &str = "/servers/v1/announce";

/// The variable part of the announcements.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncerState {
    /// Whether announcements are sent; a crashed server sends none.
    pub(crate) enabled: bool,
    /// Whether the server accepts no new work.
    pub(crate) leaving: bool,
    /// The incarnation of the server.
    pub(crate) generation: ServerGeneration,
    /// The loaded models.
    pub(crate) models: Vec<ModelName>,
}

impl AnnouncerState {
    /// Returns the state of a server that has just started.
    pub(crate) fn initial(generation: ServerGeneration, models: Vec<ModelName>) -> Self {
        Self {
            enabled: true,
            leaving: false,
            generation,
            models,
        }
    }
}

/// Sends the announcements of one stand-in to its entry hosts.
#[derive(Debug)]
pub(crate) struct ServerAnnouncer {
    hosts: EntryHostClient,
    template: ServerAnnouncement,
    load: watch::Receiver<ServerLoad>,
}

impl ServerAnnouncer {
    pub(crate) fn new(
        hosts: EntryHostClient,
        template: ServerAnnouncement,
        load: watch::Receiver<ServerLoad>,
    ) -> Self {
        Self {
            hosts,
            template,
            load,
        }
    }

    /// Announces every `period` and at each change of state, until the task is
    /// aborted or the sender of the state is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        period: Duration,
        mut state: watch::Receiver<AnnouncerState>,
    ) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = state.changed() => if changed.is_err() { return },
            }
            let current = state.borrow_and_update().clone();
            self.announce(current).await;
        }
    }

    /// Announces once to every entry host and waits for the responses.
    pub(crate) async fn announce(&self, state: AnnouncerState) {
        if !state.enabled {
            return;
        }
        let announcement = ServerAnnouncement {
            generation: state.generation,
            leaving: state.leaving,
            models: state.models,
            load: *self.load.borrow(),
            ..self.template.clone()
        };
        self.hosts.post_all(ANNOUNCE_PATH, &announcement).await;
    }
}

//! The task that spreads, keeps and logs tombstones.

use super::store::TombstoneStore;
use crate::peers::{PeerDirectory, PeerMessage};
use crate::replica::ReplicaHandle;
use chicoryladder_state::{FleetCommand, KeyId, KeyTombstones, WithdrawKey};
use chicoryladder_types::prelude::*;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

/// The time between two attempts at having tombstones logged.
const PROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// Withdrawals that are proposed at the same time.
const PROPOSALS_MAX: usize = 16;

/// Messages that wait for the task.
const QUEUE_EVENTS: usize = 1024;

enum TombstoneEvent {
    Withdraw(KeyId, oneshot::Sender<Result<(), RequestRefusal>>),
    Received(SocketAddr, KeyTombstones),
    Ready(oneshot::Sender<()>),
}

/// Talks to the task; clones share it.
#[derive(Clone)]
pub(crate) struct TombstoneHandle {
    events: mpsc::Sender<TombstoneEvent>,
}

impl TombstoneHandle {
    /// Withdraws a key on this host; it is spread and logged in the background.
    ///
    /// # Errors
    ///
    /// Fails if this host has a data folder that cannot take the withdrawal,
    /// which is in force on this host all the same.
    pub(crate) async fn withdraw(&self, key_id: KeyId) -> Result<(), RequestRefusal> {
        let (sender, receiver) = oneshot::channel();
        let event = TombstoneEvent::Withdraw(key_id, sender);
        let sent = self.events.send(event).await;
        match (sent, receiver.await) {
            (Ok(()), Ok(result)) => result,
            _ => Err(RequestRefusal::new(
                RefusalReason::Draining,
                RunVerdict::MayHaveRun,
                "this host is shutting down",
            )),
        }
    }

    /// Waits until the withdrawals that were kept before a restart are in force.
    pub(crate) async fn ready(&self) {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(TombstoneEvent::Ready(sender)).await;
        let _ = receiver.await;
    }

    /// Takes withdrawals that another host told; a full queue drops them, and
    /// the other host tells them again.
    pub(crate) fn receive(&self, sender: SocketAddr, tombstones: KeyTombstones) {
        let _ = self
            .events
            .try_send(TombstoneEvent::Received(sender, tombstones));
    }
}

/// Spreads, keeps and logs tombstones.
pub(crate) struct TombstoneTask {
    replica: ReplicaHandle,
    peers: PeerDirectory,
    store: Arc<dyn TombstoneStore>,
    events: mpsc::Receiver<TombstoneEvent>,
    stored: KeyTombstones,
    proposals: JoinSet<()>,
}

impl TombstoneTask {
    /// Reads the withdrawals that were kept.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be read; the host must not serve then.
    pub(crate) fn open(
        replica: ReplicaHandle,
        peers: PeerDirectory,
        store: Arc<dyn TombstoneStore>,
    ) -> io::Result<(Self, TombstoneHandle)> {
        let (sender, events) = mpsc::channel(QUEUE_EVENTS);
        let stored = store.load()?;
        let task = Self {
            replica,
            peers,
            store,
            events,
            stored,
            proposals: JoinSet::new(),
        };
        Ok((task, TombstoneHandle { events: sender }))
    }

    pub(crate) async fn run(mut self) {
        self.replica.merge_tombstones(self.stored.clone()).await;
        let mut ticks = tokio::time::interval(PROPOSE_INTERVAL);
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event).await,
                    None => return,
                },
                _ = ticks.tick() => self.propose_pending().await,
            }
        }
    }

    async fn handle(&mut self, event: TombstoneEvent) {
        match event {
            TombstoneEvent::Withdraw(key_id, sender) => {
                let tombstones = KeyTombstones::from_iter([key_id]);
                self.replica.merge_tombstones(tombstones).await;
                let result = self.store_pending().await;
                self.broadcast();
                self.propose(key_id);
                let _ = sender.send(result);
            }
            TombstoneEvent::Ready(sender) => {
                let _ = sender.send(());
            }
            TombstoneEvent::Received(peer, tombstones) => {
                if self.replica.merge_tombstones(tombstones).await {
                    // A failed write is logged; the teller keeps its own copy.
                    let _ = self.store_pending().await;
                    self.broadcast();
                }
                let position = self.replica.view().position();
                self.peers.send(peer, &PeerMessage::Position(position));
            }
        }
    }

    /// Keeps what is not logged yet, where that has changed.
    async fn store_pending(&mut self) -> Result<(), RequestRefusal> {
        let current = self.replica.view().position().tombstones;
        if current == self.stored {
            return Ok(());
        }
        let store = Arc::clone(&self.store);
        let written = current.clone();
        let saving = tokio::task::spawn_blocking(move || store.save(&written));
        match saving.await {
            Ok(Ok(())) => {
                self.stored = current;
                Ok(())
            }
            Ok(Err(error)) => Err(storage_failed(&error)),
            Err(error) => Err(storage_failed(&error)),
        }
    }

    fn broadcast(&self) {
        let tombstones = self.replica.view().position().tombstones;
        if !tombstones.is_empty() {
            self.peers.broadcast(&PeerMessage::Tombstones(tombstones));
        }
    }

    async fn propose_pending(&mut self) {
        while self.proposals.try_join_next().is_some() {}
        if self.proposals.is_empty() {
            let tombstones = self.replica.view().position().tombstones;
            for key_id in tombstones.iter().take(PROPOSALS_MAX) {
                self.propose(key_id);
            }
        }
        let _ = self.store_pending().await;
    }

    fn propose(&mut self, key_id: KeyId) {
        let replica = self.replica.clone();
        self.proposals.spawn(async move {
            let command = FleetCommand::WithdrawKey(WithdrawKey { key_id });
            if let Err(error) = replica.propose_fleet(command).await {
                log::warn!("keys: the withdrawal of {key_id} is not logged yet: {error}.");
            }
        });
    }
}

fn storage_failed(error: &dyn std::fmt::Display) -> RequestRefusal {
    log::error!("keys: the withdrawals cannot be kept: {error}.");
    RequestRefusal::new(
        RefusalReason::StorageFailed,
        RunVerdict::Ran,
        "the key is withdrawn on this host, but would come back if the host restarted now",
    )
}

//! The task that broadcasts, stores and proposes tombstones.

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

/// The time between two attempts to commit the pending tombstones.
const PROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of withdrawals proposed per attempt.
const PROPOSALS_MAX: usize = 16;

/// The capacity of the task's event queue.
const QUEUE_EVENTS: usize = 1024;

enum TombstoneEvent {
    Withdraw(KeyId, oneshot::Sender<Result<(), RequestRefusal>>),
    Received(SocketAddr, KeyTombstones),
    Ready(oneshot::Sender<()>),
}

/// Handle of the tombstone task; clones share the task.
#[derive(Clone)]
pub(crate) struct TombstoneHandle {
    events: mpsc::Sender<TombstoneEvent>,
}

impl TombstoneHandle {
    /// Withdraws a key on this host; the withdrawal is broadcast and committed in
    /// the background.
    ///
    /// # Errors
    ///
    /// Fails if the withdrawal cannot be stored in this host's data folder; it is in
    /// force on this host nevertheless. Also fails if the host is shutting down.
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

    /// Waits until the withdrawals stored before a restart are in force.
    pub(crate) async fn ready(&self) {
        let (sender, receiver) = oneshot::channel();
        let _ = self.events.send(TombstoneEvent::Ready(sender)).await;
        let _ = receiver.await;
    }

    /// Receives withdrawals from another host; a full queue drops them, and the
    /// other host sends them again.
    pub(crate) fn receive(&self, sender: SocketAddr, tombstones: KeyTombstones) {
        let _ = self
            .events
            .try_send(TombstoneEvent::Received(sender, tombstones));
    }
}

/// Broadcasts, stores and proposes tombstones.
pub(crate) struct TombstoneTask {
    replica: ReplicaHandle,
    peers: PeerDirectory,
    store: Arc<dyn TombstoneStore>,
    events: mpsc::Receiver<TombstoneEvent>,
    stored: KeyTombstones,
    proposals: JoinSet<()>,
}

impl TombstoneTask {
    /// Creates the task with the stored withdrawals.
    ///
    /// # Errors
    ///
    /// Fails if the withdrawals cannot be read; the host must not serve in this case.
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
                    // `storage_failed` logs the error; the sender has its own copy.
                    let _ = self.store_pending().await;
                    self.broadcast();
                }
                let position = self.replica.view().position();
                self.peers.send(peer, &PeerMessage::Position(position));
            }
        }
    }

    /// Stores the uncommitted withdrawals if they have changed.
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
                log::warn!("keys: cannot commit the withdrawal of {key_id}, will retry: {error}.");
            }
        });
    }
}

fn storage_failed(error: &dyn std::fmt::Display) -> RequestRefusal {
    log::error!("keys: cannot store the key withdrawals: {error}.");
    RequestRefusal::new(
        RefusalReason::StorageFailed,
        RunVerdict::Ran,
        "the key is withdrawn on this host, but would come back if the host restarted now",
    )
}

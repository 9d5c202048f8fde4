//! The connections that have not identified themselves, which are bounded in number.
//!
//! A host of the fleet sends its greeting with its first packet. If there are too many
//! connections without one, the oldest is therefore closed, so that silent ones keep no host out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The connections that have not identified themselves; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct UnidentifiedTable {
    max: usize,
    open: Arc<Mutex<OpenConnections>>,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_id: u64,
    by_id: BTreeMap<u64, Arc<Notify>>,
}

impl UnidentifiedTable {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max: max.max(1),
            open: Arc::default(),
        }
    }

    /// Adds a connection, for which the oldest one may be closed.
    pub(crate) fn enter(&self) -> UnidentifiedEntry {
        let closed = Arc::new(Notify::new());
        let mut open = self.open();
        while open.by_id.len() >= self.max {
            if let Some((_, oldest)) = open.by_id.pop_first() {
                oldest.notify_one();
            }
        }
        open.next_id += 1;
        let id = open.next_id;
        open.by_id.insert(id, closed.clone());
        UnidentifiedEntry {
            table: self.clone(),
            id,
            closed,
        }
    }

    fn open(&self) -> MutexGuard<'_, OpenConnections> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a connection in the table until this is dropped.
pub(crate) struct UnidentifiedEntry {
    table: UnidentifiedTable,
    id: u64,
    closed: Arc<Notify>,
}

impl UnidentifiedEntry {
    /// Waits until the connection has to make room for another one.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }
}

impl Drop for UnidentifiedEntry {
    fn drop(&mut self) {
        self.table.open().by_id.remove(&self.id);
    }
}

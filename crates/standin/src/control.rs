//! The control handle of a running stand-in.

use crate::FaultPlan;
use crate::announcer::{AnnouncerState, ServerAnnouncer};
use crate::listener::ListenerControl;
use std::sync::Arc;
use tokio::sync::watch;

/// Controls a running stand-in: its connections, announcements and faults.
#[derive(Clone, Debug)]
pub struct ServerControl {
    pub(crate) listener: ListenerControl,
    pub(crate) state: watch::Sender<AnnouncerState>,
    pub(crate) faults: watch::Sender<FaultPlan>,
    pub(crate) announcer: Arc<ServerAnnouncer>,
}

impl ServerControl {
    /// Replaces the faults that apply to requests from now on.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.faults.send_replace(plan);
    }

    /// Drops every connection, refuses new ones and stops the announcements.
    pub async fn crash(&self) {
        self.state.send_modify(|state| state.enabled = false);
        self.listener.crash().await;
    }

    /// Listens, serves and announces again, as a new incarnation.
    pub async fn recover(&self) {
        self.listener.recover().await;
        self.state.send_modify(|state| {
            state.enabled = true;
            state.leaving = false;
            state.generation = state.generation.next();
        });
    }

    /// Stalls the open connections permanently; new ones are served.
    pub async fn stall_open_connections(&self) {
        self.listener.stall_open_connections().await;
    }

    /// Stalls every connection, and new ones until [`Self::recover`].
    ///
    /// The server still sends its announcements.
    pub async fn stall_all_connections(&self) {
        self.listener.stall_all_connections().await;
    }

    /// Announces that the server accepts no new work; it still serves requests.
    pub fn announce_leaving(&self) {
        self.state.send_modify(|state| state.leaving = true);
    }

    /// Announces to every entry host that the server is leaving, and waits for
    /// the responses.
    pub(crate) async fn announce_leaving_and_wait(&self) {
        self.announce_leaving();
        let state = self.state.borrow().clone();
        self.announcer.announce(state).await;
    }
}

//! Controls a running stand-in: its connections, announcements and faults.

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
    /// Replaces the faults shown on requests from now on.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.faults.send_replace(plan);
    }

    /// Drops every connection, refuses new ones and stops announcing.
    pub async fn crash(&self) {
        self.state.send_modify(|state| state.announces = false);
        self.listener.crash().await;
    }

    /// Listens, answers and announces again, as a new incarnation.
    pub async fn recover(&self) {
        self.listener.recover().await;
        self.state.send_modify(|state| {
            state.announces = true;
            state.leaving = false;
            state.generation = state.generation.next();
        });
    }

    /// Makes the open connections silent for good; new ones work.
    pub async fn stall_open_connections(&self) {
        self.listener.stall_open_connections().await;
    }

    /// Makes every connection silent, new ones too, until [`Self::recover`].
    ///
    /// The server still announces itself.
    pub async fn stall_all_connections(&self) {
        self.listener.stall_all_connections().await;
    }

    /// Announces that the server takes no new work; it still serves requests.
    pub fn announce_leaving(&self) {
        self.state.send_modify(|state| state.leaving = true);
    }

    /// Announces the leaving to every entry host and waits for their answers.
    pub(crate) async fn leave_now(&self) {
        self.announce_leaving();
        let state = self.state.borrow().clone();
        self.announcer.announce(state).await;
    }
}

//! Manages the seat of a process in its group: opens it, resumes it after a restart,
//! and requests another one after it was removed.

use crate::event_log::EventLog;
use crate::process::RETRY_PAUSE;
use crate::seat_opener::SeatOpener;
use chicoryladder_consensus::{SeatEnvelope, StateMachine};
use chicoryladder_group::{BootstrapMembers, GroupHandle, GroupStatus, JoinAnswer};
use chicoryladder_types::{SeatId, TermNumber};
use futures_util::future::BoxFuture;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

/// The time without a leader after which a host checks whether its seat was removed.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Holds the seat of a process, once it has one.
pub(crate) struct SeatCell<M> {
    group: RwLock<Option<GroupHandle<M>>>,
}

impl<M> Default for SeatCell<M> {
    fn default() -> Self {
        Self {
            group: RwLock::new(None),
        }
    }
}

impl<M: Send + 'static> SeatCell<M> {
    /// The handle of the group; `None` without a seat.
    pub(crate) fn group(&self) -> Option<GroupHandle<M>> {
        let group = self.group.read().unwrap_or_else(PoisonError::into_inner);
        group.clone()
    }

    /// The status of the group as the local seat sees it; the default without a seat.
    pub(crate) fn status(&self) -> GroupStatus {
        self.group().map(|group| group.status()).unwrap_or_default()
    }

    /// The term in which this process leads, if it holds the leader lease.
    pub(crate) fn leading_term(&self) -> Option<TermNumber> {
        self.group()?.leading_term()
    }

    /// Delivers a message of another seat; drops it if this process has no seat.
    pub(crate) fn deliver(&self, envelope: SeatEnvelope, sender: SocketAddr) {
        if let Some(group) = self.group() {
            group.deliver(envelope, sender);
        }
    }

    pub(crate) fn set(&self, handle: Option<GroupHandle<M>>) {
        *self.group.write().unwrap_or_else(PoisonError::into_inner) = handle;
    }
}

/// How a process gets a seat in its group.
pub(crate) trait SeatSource: Send + Sync {
    /// The bootstrap members of the group, once they are decided.
    fn bootstrap_members(&self) -> Option<BootstrapMembers>;

    /// Requests a seat from the leader, or checks that the given one is still a member.
    fn request_seat(&self, seat: Option<SeatId>) -> BoxFuture<'_, Option<JoinAnswer>>;

    /// Asks the leader, which may be this process, to replace the given seat.
    fn leave_seat(&self, seat: SeatId) -> BoxFuture<'_, Option<JoinAnswer>>;
}

/// Manages the seat of a process for as long as the process runs.
pub(crate) struct SeatManager<'a, M> {
    pub(crate) cell: &'a SeatCell<M>,
    pub(crate) source: &'a dyn SeatSource,
    pub(crate) opener: SeatOpener,
    pub(crate) log: EventLog,
    pub(crate) first_start: bool,
}

impl<M: StateMachine + Default + 'static> SeatManager<'_, M> {
    /// Bootstraps the group, resumes the seat in the data folder or requests a seat,
    /// and requests another one when the seat was removed.
    pub(crate) async fn run(mut self) {
        loop {
            match self.open().await {
                Ok(Some(handle)) => self.cell.set(Some(handle)),
                Ok(None) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
                Err(error) => {
                    let fields = json!({ "cause": error.to_string() });
                    self.log.note("seat_not_opened", &fields);
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
            let seat = self.cell.status().seat;
            self.log.note("seat_opened", &json!({ "seat": seat.0 }));
            self.first_start = false;
            self.wait_until_removed(seat).await;
            self.log.note("seat_removed", &json!({ "seat": seat.0 }));
            self.cell.set(None);
            if let Err(error) = self.opener.delete_files() {
                log::error!("seat: failed to delete the files of a removed seat: {error}.");
            }
        }
    }

    async fn open(&self) -> io::Result<Option<GroupHandle<M>>> {
        let bootstrap_members = self.source.bootstrap_members();
        let opened = self
            .opener
            .open(bootstrap_members.as_ref(), self.first_start)?;
        // Before the bootstrap members are decided, no host can grant a seat.
        if opened.is_some() || bootstrap_members.is_none() {
            return Ok(opened);
        }
        match self.source.request_seat(None).await {
            Some(JoinAnswer::Granted(seat)) => self.opener.open_granted(seat).map(Some),
            _ => Ok(None),
        }
    }

    /// Waits until the leader confirms that the seat was removed.
    async fn wait_until_removed(&self, seat: SeatId) {
        let clock = &self.opener.clock;
        let mut leader_seen_at = clock.now();
        loop {
            tokio::time::sleep(RETRY_PAUSE).await;
            let status = self.cell.status();
            let now = clock.now();
            if status.leader.is_some() && status.members.iter().any(|m| m.seat == seat) {
                leader_seen_at = now;
                continue;
            }
            if now.saturating_duration_since(leader_seen_at) < LEADERLESS_TIMEOUT {
                continue;
            }
            if let Some(JoinAnswer::Removed) = self.source.request_seat(Some(seat)).await {
                return;
            }
        }
    }
}

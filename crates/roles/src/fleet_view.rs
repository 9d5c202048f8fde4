//! The view of the fleet that a process holds, and its synchronization with the leader.
//!
//! Each process syncs with the leader of the control group several times a second. A
//! view is as fresh as the moment at which its sync request was sent, since the leader
//! held its lease after that. A view never goes back to an older state.

use crate::leader_client::LeaderClient;
use crate::message::{
    Call, ControlAnswer, ControlCall, HostRole, StoreReport, StoreView, SyncAnswer, SyncRequest,
};
use crate::process::ProcessBase;
use chicoryladder_broker::{ActiveRun, ServerCheckIn};
use chicoryladder_plan::{PlanVersion, ServicePlan};
use chicoryladder_types::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The interval between the syncs of a process.
const SYNC_INTERVAL: Duration = Duration::from_millis(350);

/// The timeout of one sync.
const SYNC_TIMEOUT: Duration = Duration::from_millis(450);

/// The pause after a sync that reached no leader.
const SYNC_RETRY_PAUSE: Duration = Duration::from_millis(60);

#[derive(Default)]
struct ViewState {
    plan: Arc<ServicePlan>,
    fresh_at: Option<Instant>,
    directory: (u64, u64),
    servers: Arc<Vec<ServerCheckIn>>,
    reserves: HashMap<TeamName, u32>,
    store: StoreView,
}

/// The view of the fleet that a process holds; clones share it.
#[derive(Clone, Default)]
pub(crate) struct FleetView {
    state: Arc<Mutex<ViewState>>,
    sync_due: Arc<Notify>,
    synced: Arc<Notify>,
}

impl FleetView {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The plan; empty until the first one is received.
    pub(crate) fn plan(&self) -> Arc<ServicePlan> {
        self.state().plan.clone()
    }

    /// The time up to which the view holds every acknowledged change.
    pub(crate) fn fresh_at(&self) -> Option<Instant> {
        self.state().fresh_at
    }

    /// The age of the view; `None` before the first sync since the process started.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let fresh_at = self.state().fresh_at?;
        Some(now.saturating_duration_since(fresh_at))
    }

    pub(crate) fn store(&self) -> StoreView {
        self.state().store.clone()
    }

    /// The servers that the leader does not consider lost.
    pub(crate) fn servers(&self) -> Arc<Vec<ServerCheckIn>> {
        self.state().servers.clone()
    }

    /// Charges a request to this host's reserve of the team; `false` if it is spent.
    pub(crate) fn spend_reserve(&self, team: &TeamName) -> bool {
        match self.state().reserves.get_mut(team) {
            Some(count) if *count > 0 => {
                *count -= 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Triggers the next sync at once.
    pub(crate) fn request_sync(&self) {
        self.sync_due.notify_one();
    }

    /// Triggers a sync and waits for it, at most for `max_wait`.
    pub(crate) async fn refresh(&self, max_wait: Duration) {
        let synced = self.synced.notified();
        self.request_sync();
        // After a timeout the caller goes on with the view as it is.
        let _ = tokio::time::timeout(max_wait, synced).await;
    }

    fn request(&self, base: &ProcessBase, reporter: &SyncReporter) -> SyncRequest {
        let active = (reporter.active)();
        let store = (reporter.store)();
        let state = self.state();
        let identity = base.rpc.identity();
        SyncRequest {
            requester: base.requester(),
            role: reporter.role,
            address: identity.address,
            zone: identity.zone.clone(),
            plan: state.plan.version(),
            directory: state.directory,
            active,
            reserves: state
                .reserves
                .iter()
                .map(|(team, count)| (team.clone(), *count))
                .collect(),
            store,
        }
    }

    fn apply(&self, reply: SyncAnswer, sent_at: Instant) -> Option<PlanVersion> {
        let mut state = self.state();
        let mut new_version = None;
        if let Some(raw) = reply.plan.filter(|raw| raw.version > state.plan.version()) {
            match ServicePlan::try_from(*raw) {
                Ok(plan) => {
                    new_version = Some(plan.version());
                    state.plan = Arc::new(plan);
                }
                Err(error) => {
                    log::error!("view: the plan from the leader is invalid: {error}.");
                    return None;
                }
            }
        }
        if let Some((number, servers)) = reply.directory {
            state.directory = number;
            state.servers = Arc::new(servers);
        }
        for (team, count) in reply.reserves {
            *state.reserves.entry(team).or_default() += count;
        }
        state.store = reply.store;
        state.fresh_at = state.fresh_at.max(Some(sent_at));
        drop(state);
        self.synced.notify_waiters();
        new_version
    }
}

/// Called with the addresses of the control hosts.
type HostsListener = Box<dyn Fn(&[SocketAddr]) + Send + Sync>;

/// The sources of the state that a process reports at each sync, and the callbacks on
/// the replies.
pub(crate) struct SyncReporter {
    pub(crate) role: HostRole,
    /// Returns the active runs.
    pub(crate) active: Box<dyn Fn() -> Vec<ActiveRun> + Send + Sync>,
    /// Returns the report of a store host about its seat; `None` on other hosts.
    pub(crate) store: Box<dyn Fn() -> Option<StoreReport> + Send + Sync>,
    /// Called with the addresses of the control hosts after each sync.
    pub(crate) on_hosts: HostsListener,
    /// Called when a new plan takes effect or the leader is lost or found.
    pub(crate) on_change: Box<dyn Fn(ViewChange) + Send + Sync>,
}

/// A change of the view of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewChange {
    /// A new plan took effect in this process.
    Plan(PlanVersion),
    /// The leader of the control group cannot be reached any more.
    LeaderLost,
    /// The leader of the control group can be reached, for the first time or again.
    LeaderFound,
}

impl SyncReporter {
    /// A reporter that only announces a control host.
    pub(crate) fn control() -> Self {
        Self {
            role: HostRole::Control,
            active: Box::new(Vec::new),
            store: Box::new(|| None),
            on_hosts: Box::new(|_| {}),
            on_change: Box::new(|_| {}),
        }
    }
}

/// Keeps a view up to date with periodic syncs.
pub(crate) async fn run_sync(
    base: ProcessBase,
    client: LeaderClient,
    view: FleetView,
    reporter: SyncReporter,
) {
    let mut has_leader = false;
    loop {
        let sent_at = base.clock.now();
        let request = view.request(&base, &reporter);
        let call = Call::Control(ControlCall::Sync(Box::new(request)));
        let reply = client.call_once(&call, SYNC_TIMEOUT).await;
        let pause = if let Ok(ControlAnswer::Synced(reply)) = reply {
            client.set_hosts(&reply.hosts);
            (reporter.on_hosts)(&reply.hosts);
            if !has_leader {
                has_leader = true;
                (reporter.on_change)(ViewChange::LeaderFound);
            }
            if let Some(version) = view.apply(*reply, sent_at) {
                (reporter.on_change)(ViewChange::Plan(version));
            }
            SYNC_INTERVAL
        } else {
            if has_leader {
                has_leader = false;
                (reporter.on_change)(ViewChange::LeaderLost);
            }
            SYNC_RETRY_PAUSE
        };
        // The pause ends early when a sync is requested.
        let _ = tokio::time::timeout(pause, view.sync_due.notified()).await;
    }
}

//! What a process knows of the fleet, and how it keeps up.
//!
//! Each process exchanges what is new with the leader of the control group several
//! times a second. A view is as fresh as the moment at which the request for it was
//! sent, since the leader held its lease after that. It never goes back.

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

/// The time between two syncs of a process.
const SYNC_INTERVAL: Duration = Duration::from_millis(350);

/// The time for one try of a sync.
const SYNC_TIMEOUT: Duration = Duration::from_millis(450);

/// The pause after a sync that found no leader.
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

/// What a process knows of the fleet; clones share it.
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

    /// The plan, which is empty before the first one was heard of.
    pub(crate) fn plan(&self) -> Arc<ServicePlan> {
        self.state().plan.clone()
    }

    /// Up to when the view holds every acknowledged change.
    pub(crate) fn fresh_at(&self) -> Option<Instant> {
        self.state().fresh_at
    }

    /// How old the view is; `None` before the first sync of this start.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        let fresh_at = self.state().fresh_at?;
        Some(now.saturating_duration_since(fresh_at))
    }

    pub(crate) fn store(&self) -> StoreView {
        self.state().store.clone()
    }

    /// The servers that the leader did not count as lost.
    pub(crate) fn servers(&self) -> Arc<Vec<ServerCheckIn>> {
        self.state().servers.clone()
    }

    /// Pays for a request of a team from the reserve of this host.
    pub(crate) fn spend_reserve(&self, team: &TeamName) -> bool {
        match self.state().reserves.get_mut(team) {
            Some(count) if *count > 0 => {
                *count -= 1;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Has the next sync made at once.
    pub(crate) fn request_sync(&self) {
        self.sync_due.notify_one();
    }

    /// Syncs and waits until that is done, at most for `patience`.
    pub(crate) async fn refresh(&self, max_wait: Duration) {
        let synced = self.synced.notified();
        self.request_sync();
        // The caller looks at the view, whether it is newer or not.
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

    fn apply(&self, answer: SyncAnswer, sent_at: Instant) -> Option<PlanVersion> {
        let mut state = self.state();
        let mut new_version = None;
        if let Some(raw) = answer.plan.filter(|raw| raw.version > state.plan.version()) {
            match ServicePlan::try_from(*raw) {
                Ok(plan) => {
                    new_version = Some(plan.version());
                    state.plan = Arc::new(plan);
                }
                Err(error) => {
                    log::error!("view: the leader's plan breaks a rule: {error}.");
                    return None;
                }
            }
        }
        if let Some((number, servers)) = answer.directory {
            state.directory = number;
            state.servers = Arc::new(servers);
        }
        for (team, count) in answer.reserves {
            *state.reserves.entry(team).or_default() += count;
        }
        state.store = answer.store;
        state.fresh_at = state.fresh_at.max(Some(sent_at));
        drop(state);
        self.synced.notify_waiters();
        new_version
    }
}

/// Told where control hosts are.
type HostsListener = Box<dyn Fn(&[SocketAddr]) + Send + Sync>;

/// What a process reports at each sync.
pub(crate) struct SyncReporter {
    pub(crate) role: HostRole,
    /// The runs under way.
    pub(crate) active: Box<dyn Fn() -> Vec<ActiveRun> + Send + Sync>,
    /// What a store host tells of its seat.
    pub(crate) store: Box<dyn Fn() -> Option<StoreReport> + Send + Sync>,
    /// Told where control hosts are.
    pub(crate) on_hosts: HostsListener,
    /// Told of a new plan, and whether the leader is lost or found again.
    pub(crate) on_change: Box<dyn Fn(ViewChange) + Send + Sync>,
}

/// A change of what a process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewChange {
    /// A plan came into force here.
    Plan(PlanVersion),
    /// The leader of the control group cannot be reached.
    LeaderLost,
    /// It can be reached again.
    LeaderFound,
}

impl SyncReporter {
    /// Reports nothing but that the host is there.
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

/// Keeps a view up to date.
pub(crate) async fn run_sync(
    base: ProcessBase,
    client: LeaderClient,
    view: FleetView,
    reporter: SyncReporter,
) {
    let mut found = false;
    loop {
        let sent_at = base.clock.now();
        let request = view.request(&base, &reporter);
        let call = Call::Control(ControlCall::Sync(Box::new(request)));
        let answer = client.call_once(&call, SYNC_TIMEOUT).await;
        let pause = if let Ok(ControlAnswer::Synced(answer)) = answer {
            client.set_hosts(&answer.hosts);
            (reporter.on_hosts)(&answer.hosts);
            if !found {
                found = true;
                (reporter.on_change)(ViewChange::LeaderFound);
            }
            if let Some(version) = view.apply(*answer, sent_at) {
                (reporter.on_change)(ViewChange::Plan(version));
            }
            SYNC_INTERVAL
        } else {
            if found {
                found = false;
                (reporter.on_change)(ViewChange::LeaderLost);
            }
            SYNC_RETRY_PAUSE
        };
        // Either ends the pause.
        let _ = tokio::time::timeout(pause, view.sync_due.notified()).await;
    }
}

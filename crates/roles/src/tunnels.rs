//! How the processes of a fleet find hosts that open tunnels, and log lost paths.

use crate::event_log::EventLog;
use crate::fleet_view::FleetView;
use crate::process::ProcessBase;
use chicoryladder_broker::ZoneAreas;
use chicoryladder_dialer::{HostFilter, PathLoss, PathObserver, ServerDialer, TunnelHosts};
use chicoryladder_types::AreaName;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The age from which the list of tunnel hosts is renewed before it is used.
const HOSTS_AGE_MAX: Duration = Duration::from_secs(1);

/// The number of syncs for a renewal. The first one may have been under way already, without
/// asking for the list.
const REFRESHES_MAX: usize = 2;

/// The time that one sync of a renewal may take.
const HOSTS_REFRESH_MAX: Duration = Duration::from_millis(50);

/// Creates the dialer of a process.
pub(crate) fn server_dialer(base: &ProcessBase, view: &FleetView, log: &EventLog) -> ServerDialer {
    let hosts = ListedHosts {
        base: base.clone(),
        view: view.clone(),
    };
    let observer = PathLog { log: log.clone() };
    ServerDialer::new(
        base.rpc.clone(),
        base.clock.clone(),
        base.settings.listen.servers_from,
        Arc::new(hosts),
        Arc::new(observer),
    )
}

/// The hosts that the leader of the control group names.
struct ListedHosts {
    base: ProcessBase,
    view: FleetView,
}

impl TunnelHosts for ListedHosts {
    fn zones(&self) -> BoxFuture<'_, Vec<Vec<SocketAddr>>> {
        async move {
            for _ in 0..REFRESHES_MAX {
                let age = self.view.tunnel_hosts_age(self.base.clock.now());
                if age.is_some_and(|age| age <= HOSTS_AGE_MAX) || !self.view.has_leader() {
                    break;
                }
                self.view.refresh(HOSTS_REFRESH_MAX).await;
            }
            let identity = self.base.rpc.identity();
            let mut zones: BTreeMap<(bool, ZoneName), Vec<SocketAddr>> = BTreeMap::new();
            for host in self.view.tunnel_hosts() {
                let is_remote = host.zone != identity.zone;
                let zone = zones.entry((is_remote, host.zone)).or_default();
                zone.push(host.address);
            }
            if zones.is_empty() {
                let mut hosts = self.view.zone_roster().hosts;
                hosts.retain(|host| *host != identity.address);
                return vec![hosts];
            }
            zones.into_values().collect()
        }
        .boxed()
    }
}

/// The hosts through whose tunnels the body of a request with homes may pass. One whose zone is
/// not known is none of them.
pub(crate) struct HomeTunnels {
    pub(crate) homes: BTreeSet<AreaName>,
    pub(crate) areas: ZoneAreas,
    pub(crate) own_zone: ZoneName,
    pub(crate) view: FleetView,
}

impl HostFilter for HomeTunnels {
    fn allows(&self, host: SocketAddr) -> bool {
        let listed = self.view.tunnel_hosts();
        match listed.iter().find(|member| member.address == host) {
            Some(member) => self
                .areas
                .allows_host(&self.homes, &self.own_zone, &member.zone),
            None => self.view.zone_roster().hosts.contains(&host),
        }
    }
}

struct PathLog {
    log: EventLog,
}

impl PathObserver for PathLog {
    fn path_lost(&self, loss: &PathLoss<'_>) {
        let fields = json!({
            "address": loss.server,
            "cause": loss.cause.to_string(),
            "through": loss.through,
            "detours": loss.detours,
        });
        self.log.note("path_lost", &fields);
    }

    fn path_restored(&self, server: SocketAddr) {
        self.log
            .note("path_restored", &json!({ "address": server }));
    }
}

//! Three entry hosts and their backend servers in one process.
//!
//! The demo, the load tool and the whole-system tests run against it. The hosts
//! run the same code as `chicoryladderd` and communicate over loopback; only the
//! process is shared. Their state is kept in a temporary folder that is deleted
//! with the fleet.

mod admin;
mod document;
mod layout;

pub use admin::{GrantedKey, ReasonCounts};
pub use document::experiment_document;
pub use layout::LocalZone;

use crate::client::ApiClient;
use crate::error::CommandError;
use chicoryladder_host::{EntryHost, HostAddresses};
use chicoryladder_standin::load::FleetPlan;
use chicoryladder_standin::{
    EngineHandle, EngineOptions, EngineServer, PlainHandle, PlainOptions, PlainServer,
};
use chicoryladder_types::{ModelName, ServerName, ServiceName};
use layout::FleetLayout;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;

/// The model that the stand-in engines serve.
pub const MODEL: &str = "assistant";

/// The service that the stand-in plain servers offer.
pub const SERVICE: &str = "rent-ledger";

/// How long running requests may take to finish when the fleet stops.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Capacity and speed of the stand-in engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineParameters {
    /// The number of sequences that an engine decodes at once.
    pub slots: u32,
    /// The duration of a decoding step.
    pub decode_step: Duration,
    /// The time to process one prompt token.
    pub prefill_per_token: Duration,
}

impl From<FleetPlan> for EngineParameters {
    fn from(plan: FleetPlan) -> Self {
        Self {
            slots: plan.slots,
            decode_step: plan.decode_step,
            prefill_per_token: plan.prefill_per_token,
        }
    }
}

/// An entry host of the fleet; `running` is `None` after it was killed.
struct LocalHost {
    addresses: HostAddresses,
    running: Option<EntryHost>,
}

/// Three entry hosts in three availability zones, and their backend servers.
pub struct LocalFleet {
    layout: FleetLayout,
    hosts: Vec<LocalHost>,
    engines: Vec<EngineHandle>,
    services: Vec<PlainHandle>,
    admin: ApiClient,
    // The last field, so that the folder is deleted after the hosts are dropped.
    _folder: TempDir,
}

impl LocalFleet {
    /// Starts the hosts, applies a fleet document and waits until it is in force on
    /// every host.
    ///
    /// # Errors
    ///
    /// Fails if a host cannot start or the document is refused.
    pub async fn start(document: &str) -> Result<Self, CommandError> {
        let folder = tempfile::tempdir().map_err(failed)?;
        let layout = FleetLayout::prepare(folder.path())?;
        let mut hosts = Vec::new();
        for zone in LocalZone::ALL {
            let settings = layout.settings(zone)?;
            let host = EntryHost::start(settings).await.map_err(failed)?;
            hosts.push(LocalHost {
                addresses: host.addresses,
                running: Some(host),
            });
        }
        let admin = ApiClient {
            addresses: hosts.iter().map(|host| host.addresses.operators).collect(),
            credential: layout.operator_token.clone(),
            remedy: "the hosts of the local fleet have stopped".to_owned(),
        };
        let fleet = Self {
            layout,
            hosts,
            engines: Vec::new(),
            services: Vec::new(),
            admin,
            _folder: folder,
        };
        fleet.wait_until_ready().await?;
        fleet.apply(document).await?;
        Ok(fleet)
    }

    /// Starts `per_zone` engines in each availability zone.
    ///
    /// # Errors
    ///
    /// Fails if an engine cannot listen.
    pub async fn add_engines(
        &mut self,
        per_zone: u32,
        parameters: EngineParameters,
    ) -> Result<(), CommandError> {
        for zone in LocalZone::ALL {
            for number in 1..=per_zone {
                let name = format!("engine-{}-{number}", zone.name());
                let name = ServerName::try_from(name).map_err(failed)?;
                let model = ModelName::try_from(MODEL).map_err(failed)?;
                let mut options = EngineOptions::new(name, zone.zone_name()?, model);
                options.entry_hosts = self.servers_ports();
                options.slots = parameters.slots;
                options.timing.decode_step = parameters.decode_step;
                options.timing.prefill_per_token = parameters.prefill_per_token;
                let engine = EngineServer::start(options).await.map_err(failed)?;
                self.engines.push(engine);
            }
        }
        Ok(())
    }

    /// Starts a plain service; successive calls rotate through the availability
    /// zones.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot listen.
    pub async fn add_service(&mut self) -> Result<(), CommandError> {
        let count = self.services.len();
        let name = format!("ledger-{}", count + 1);
        let name = ServerName::try_from(name).map_err(failed)?;
        let service = ServiceName::try_from(SERVICE).map_err(failed)?;
        let zone = LocalZone::ALL[count % LocalZone::ALL.len()].zone_name()?;
        let mut options = PlainOptions::new(name, zone, service);
        options.entry_hosts = self.servers_ports();
        let service = PlainServer::start(options).await.map_err(failed)?;
        self.services.push(service);
        Ok(())
    }

    /// Returns the callers' ports of the running hosts.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|host| host.running.is_some());
        running.map(|host| host.addresses.callers).collect()
    }

    /// Returns the engines in the order in which they were started.
    #[must_use]
    pub fn engines(&self) -> &[EngineHandle] {
        &self.engines
    }

    /// Returns the plain services in the order in which they were started.
    #[must_use]
    pub fn services(&self) -> &[PlainHandle] {
        &self.services
    }

    /// Stops a host without draining it, as a crash would.
    pub async fn kill_host(&mut self, zone: LocalZone) {
        if let Some(host) = self.hosts[zone.index()].running.take() {
            host.kill().await;
        }
    }

    /// Restarts a killed host on its data folder.
    ///
    /// # Errors
    ///
    /// Fails if the host cannot start.
    pub async fn restart_host(&mut self, zone: LocalZone) -> Result<(), CommandError> {
        let settings = self.layout.settings(zone)?;
        let host = EntryHost::start(settings).await.map_err(failed)?;
        self.hosts[zone.index()] = LocalHost {
            addresses: host.addresses,
            running: Some(host),
        };
        let operators = self.hosts.iter().map(|host| host.addresses.operators);
        self.admin.addresses = operators.collect();
        Ok(())
    }

    /// Stops the backend servers and the hosts.
    pub async fn stop(self) {
        let engines = self
            .engines
            .into_iter()
            .map(|engine| engine.stop(STOP_GRACE));
        futures_util::future::join_all(engines).await;
        for service in self.services {
            service.stop().await;
        }
        let hosts = self.hosts.into_iter().filter_map(|host| host.running);
        futures_util::future::join_all(hosts.map(EntryHost::shutdown)).await;
    }

    fn servers_ports(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .map(|host| host.addresses.servers)
            .collect()
    }
}

fn failed(error: impl std::fmt::Display) -> CommandError {
    CommandError::failed(error.to_string())
}

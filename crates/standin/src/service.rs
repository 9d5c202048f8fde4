//! A stand-in plain service.
//!
//! It takes any method and path, and counts the runs of each request, so a test
//! can see a charge that ran twice.

mod handler;
mod options;

pub use options::PlainOptions;

use crate::announcer::{AnnouncerState, ServerAnnouncer};
use crate::entry_hosts::EntryHostClient;
use crate::listener::BoundListener;
use crate::record::RequestRecord;
use crate::{FaultPlan, ReceivedRequest, ServerControl, StandinError};
use chicoryladder_types::ServerLoad;
use handler::PlainHandler;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Starts stand-in plain services.
#[derive(Clone, Copy, Debug)]
pub struct PlainServer;

impl PlainServer {
    /// Binds the service's address and starts its tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: PlainOptions) -> Result<PlainHandle, StandinError> {
        let listener = BoundListener::bind(options.address).await?;
        let address = listener.address;
        let state = watch::Sender::new(AnnouncerState::first(options.generation, Vec::new()));
        let faults = watch::Sender::new(FaultPlan::default());
        let load = watch::Sender::new(ServerLoad::default());
        let mut tasks = JoinSet::new();

        let hosts = EntryHostClient::new(options.entry_hosts.clone());
        let template = options.announcement(address);
        let announcer = Arc::new(ServerAnnouncer::new(hosts, template, load.subscribe()));
        let period = options.announce_period;
        tasks.spawn(Arc::clone(&announcer).run(period, state.subscribe()));

        let handler = Arc::new(PlainHandler {
            service_time: options.service_time,
            faults: faults.subscribe(),
            listener: listener.control.clone(),
            load,
            record: RequestRecord::new(options.record_limit),
            runs: Mutex::default(),
        });
        let control = ServerControl {
            listener: listener.control.clone(),
            state,
            faults,
            announcer,
        };
        tasks.spawn(listener.run(handler.clone()));
        let name = options.name;
        log::info!("standin: plain service {name} listens on {address}");
        Ok(PlainHandle {
            address,
            control,
            handler,
            _tasks: tasks,
        })
    }
}

/// A running plain service; dropping it kills the service at once.
#[derive(Debug)]
pub struct PlainHandle {
    address: SocketAddr,
    control: ServerControl,
    handler: Arc<PlainHandler>,
    _tasks: JoinSet<()>,
}

impl PlainHandle {
    /// The address that takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Controls the faults, the connections and the announcements.
    #[must_use]
    pub fn control(&self) -> &ServerControl {
        &self.control
    }

    /// The requests received so far, up to the limit of the options.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.handler.record.snapshot()
    }

    /// How often each request ran, by idempotency key, or by method, path and
    /// body where there is none.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        self.handler.runs()
    }

    /// Announces its leaving and stops.
    pub async fn stop(self) {
        self.control.leave_now().await;
    }
}

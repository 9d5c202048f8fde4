//! A stand-in plain service.
//!
//! It accepts any method and path and counts how often each request ran, so a
//! test can detect a request that was executed twice.

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
        let state = watch::Sender::new(AnnouncerState::initial(options.generation, Vec::new()));
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

/// A running plain service; dropping the handle kills the service immediately.
#[derive(Debug)]
pub struct PlainHandle {
    address: SocketAddr,
    control: ServerControl,
    handler: Arc<PlainHandler>,
    _tasks: JoinSet<()>,
}

impl PlainHandle {
    /// The address on which the service serves requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle of the faults, connections and announcements.
    #[must_use]
    pub fn control(&self) -> &ServerControl {
        &self.control
    }

    /// The requests received so far, up to [`PlainOptions::record_limit`].
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.handler.record.snapshot()
    }

    /// How often each request ran, by idempotency key, or by method, path and
    /// body if the request has no key.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        self.handler.runs()
    }

    /// Announces that the service is leaving and stops.
    pub async fn stop(self) {
        self.control.announce_leaving_and_wait().await;
    }
}

//! A stand-in model engine.
//!
//! It accepts every request in order of arrival, without priorities, and uses
//! continuous batching over a fixed number of slots. The handler turns HTTP
//! requests into sequences, the batcher owns the slots, and the announcer
//! registers the engine with the entry hosts.

mod batcher;
mod cache_events;
mod completion;
mod completion_response;
mod counters;
mod handler;
mod options;
mod orders;
mod prefix_cache;
mod streams;

pub use cache_events::EventOptions;
pub use completion::answer_text;
pub use counters::EngineCounters;
pub use options::{EngineOptions, EngineTiming};

use crate::announcer::{AnnouncerState, ServerAnnouncer};
use crate::entry_hosts::EntryHostClient;
use crate::listener::BoundListener;
use crate::record::RequestRecord;
use crate::{FaultPlan, ReceivedRequest, ServerControl, StandinError};
use batcher::SequenceBatcher;
use cache_events::EventPublisher;
use chicoryladder_types::{ClockSource, ServerLoad, SystemClock};
use counters::CounterSet;
use handler::{EngineHandler, PreviousRequest};
use orders::OrderExecutor;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use streams::StreamStore;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// How often a stopping engine checks whether its requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts stand-in engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineServer;

impl EngineServer {
    /// Binds the engine's address and starts its tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: EngineOptions) -> Result<EngineHandle, StandinError> {
        Self::start_at(options, Arc::new(SystemClock)).await
    }

    /// Like [`Self::start`], with the clock that gives the responses their
    /// creation times.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start_at(
        options: EngineOptions,
        clock: Arc<dyn ClockSource>,
    ) -> Result<EngineHandle, StandinError> {
        let listener = BoundListener::bind(options.address).await?;
        let address = listener.address;
        let models = options.models.clone();
        let state = watch::Sender::new(AnnouncerState::initial(options.generation, models));
        let faults = watch::Sender::new(FaultPlan::default());
        let counters = Arc::new(CounterSet::default());
        let hosts = EntryHostClient::new(options.entry_hosts.clone());
        let (sequences, incoming) = mpsc::unbounded_channel();
        let (load, current_load) = watch::channel(ServerLoad::default());
        let (reporter, reported_load) = watch::channel(ServerLoad::default());
        let mut tasks = JoinSet::new();

        let changes = options.events.map(|events| {
            let (sender, changes) = mpsc::unbounded_channel();
            let publisher = EventPublisher {
                server: options.name.clone(),
                options: events,
                hosts: hosts.clone(),
                state: state.subscribe(),
                changes,
            };
            tasks.spawn(publisher.run());
            sender
        });
        let batcher = SequenceBatcher::new(&options, load, changes, Arc::clone(&counters));
        tasks.spawn(batcher.run(incoming));
        tasks.spawn(report_load(
            options.load_lag,
            current_load.clone(),
            reporter,
        ));

        let template = options.announcement(address);
        let announcer = Arc::new(ServerAnnouncer::new(hosts, template, reported_load.clone()));
        let period = options.announce_period;
        tasks.spawn(Arc::clone(&announcer).run(period, state.subscribe()));

        let handler = Arc::new(EngineHandler {
            clock,
            default_output_tokens: options.default_output_tokens,
            sequences,
            reported_load,
            faults: faults.subscribe(),
            counters: Arc::clone(&counters),
            listener: listener.control.clone(),
            record: RequestRecord::new(options.record_limit),
            previous: PreviousRequest::default(),
            streams: StreamStore::new(options.resumable_streams),
            orders: OrderExecutor::new(options.checks_fencing, state.clone()),
        });
        let control = ServerControl {
            listener: listener.control.clone(),
            state,
            faults,
            announcer,
        };
        tasks.spawn(listener.run(handler.clone()));
        log::info!("standin: engine {} listens on {address}", options.name);
        Ok(EngineHandle {
            address,
            control,
            counters,
            handler,
            load: current_load,
            _tasks: tasks,
        })
    }
}

/// Copies the load to the reporter once per `lag`, so a reported load is at most
/// that old.
async fn report_load(
    lag: Duration,
    mut load: watch::Receiver<ServerLoad>,
    reporter: watch::Sender<ServerLoad>,
) {
    if lag.is_zero() {
        while load.changed().await.is_ok() {
            reporter.send_replace(*load.borrow_and_update());
        }
        return;
    }
    let mut ticks = interval(lag);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        reporter.send_replace(*load.borrow());
    }
}

/// A running stand-in engine; dropping the handle kills the engine immediately.
pub struct EngineHandle {
    address: SocketAddr,
    control: ServerControl,
    counters: Arc<CounterSet>,
    handler: Arc<EngineHandler>,
    load: watch::Receiver<ServerLoad>,
    _tasks: JoinSet<()>,
}

impl fmt::Debug for EngineHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineHandle")
            .field("address", &self.address)
            .field("counters", &self.counters())
            .finish_non_exhaustive()
    }
}

impl EngineHandle {
    /// The address on which the engine serves requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The control handle of the faults, connections and announcements.
    #[must_use]
    pub fn control(&self) -> &ServerControl {
        &self.control
    }

    /// The counters of the engine since its start.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.counters.snapshot()
    }

    /// The current load, without the lag of the reported load.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        *self.load.borrow()
    }

    /// The requests received so far, up to [`EngineOptions::record_limit`].
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.handler.record.snapshot()
    }

    /// Announces that the engine is leaving, waits up to `grace` for the running
    /// requests, and stops.
    pub async fn stop(self, grace: Duration) {
        self.control.announce_leaving_and_wait().await;
        let idle = async {
            while self.load() != ServerLoad::default() {
                sleep(STOP_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(grace, idle).await.is_err() {
            let address = self.address;
            log::warn!("standin: engine at {address} stops while requests are still running");
        }
    }
}

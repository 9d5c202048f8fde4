//! A stand-in model engine.
//!
//! It admits every request as it comes, batches continuously over its slots and
//! knows no priorities. Its handler turns HTTP into sequences, its batcher owns
//! the slots, and its announcer tells the entry hosts about it.

mod batcher;
mod completion;
mod counters;
mod handler;
mod options;
mod reply;

pub use completion::answer_text;
pub use counters::EngineCounters;
pub use options::{EngineOptions, EnginePace};

use crate::announcer::{AnnouncerState, ServerAnnouncer};
use crate::listener::{BoundListener, ListenerControl};
use crate::record::RequestRecord;
use crate::{FaultPlan, ReceivedRequest, StandinError};
use batcher::SequenceBatcher;
use chicoryladder_types::ServerLoad;
use counters::CounterSet;
use handler::{EngineHandler, PreviousRequest, SharedHandler};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// How often a stopping engine looks whether its requests have ended.
const STOP_POLL: Duration = Duration::from_millis(5);

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
        let listener = BoundListener::bind(options.address).await?;
        let address = listener.address;
        let control = listener.control.clone();
        let state = watch::Sender::new(AnnouncerState {
            announces: true,
            leaving: false,
            generation: options.generation,
        });
        let faults = watch::Sender::new(FaultPlan::default());
        let counters = Arc::new(CounterSet::default());
        let (sequences, incoming) = mpsc::unbounded_channel();
        let (load, current_load) = watch::channel(ServerLoad::default());
        let (reporter, reported_load) = watch::channel(ServerLoad::default());
        let announcer = Arc::new(ServerAnnouncer::new(
            options.entry_hosts.clone(),
            options.announcement(address),
            reported_load.clone(),
        ));
        let batcher = SequenceBatcher::new(&options, load, Arc::clone(&counters));
        let handler = Arc::new(EngineHandler {
            models: options.models.clone(),
            default_output_tokens: options.default_output_tokens,
            sequences,
            reported_load,
            faults: faults.subscribe(),
            counters: Arc::clone(&counters),
            listener: control.clone(),
            record: RequestRecord::new(options.record_limit),
            previous: PreviousRequest::default(),
        });

        let mut tasks = JoinSet::new();
        tasks.spawn(batcher.run(incoming));
        tasks.spawn(report_load(
            options.load_lag,
            current_load.clone(),
            reporter,
        ));
        tasks.spawn(listener.run(Arc::new(SharedHandler(Arc::clone(&handler)))));
        let period = options.announce_period;
        tasks.spawn(Arc::clone(&announcer).run(period, state.subscribe()));
        log::info!("standin: engine {} listens on {address}", options.name);
        Ok(EngineHandle {
            address,
            control,
            state,
            faults,
            counters,
            handler,
            announcer,
            load: current_load,
            _tasks: tasks,
        })
    }
}

/// Copies the load to the reporter once per `lag`, so a report is up to one lag old.
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

/// Controls a running stand-in engine; dropping it kills the engine at once.
#[derive(Debug)]
pub struct EngineHandle {
    address: SocketAddr,
    control: ListenerControl,
    state: watch::Sender<AnnouncerState>,
    faults: watch::Sender<FaultPlan>,
    counters: Arc<CounterSet>,
    handler: Arc<EngineHandler>,
    announcer: Arc<ServerAnnouncer>,
    load: watch::Receiver<ServerLoad>,
    _tasks: JoinSet<()>,
}

impl EngineHandle {
    /// The address that takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the engine has done so far.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.counters.snapshot()
    }

    /// The load at this moment, without the lag of the reports.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        *self.load.borrow()
    }

    /// The requests received so far, up to the limit of the options.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.handler.record.snapshot()
    }

    /// Replaces the faults shown on requests from now on.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.faults.send_replace(plan);
    }

    /// Drops every connection, refuses new ones and stops announcing.
    pub async fn crash(&self) {
        self.state.send_modify(|state| state.announces = false);
        self.control.crash().await;
    }

    /// Listens, answers and announces again, as a new incarnation.
    pub async fn recover(&self) {
        self.control.recover().await;
        self.state.send_modify(|state| {
            state.announces = true;
            state.leaving = false;
            state.generation = state.generation.next();
        });
    }

    /// Makes the open connections silent for good; new ones work.
    pub async fn silence_open(&self) {
        self.control.silence_open().await;
    }

    /// Makes every connection silent, new ones too, until [`Self::recover`].
    pub async fn silence_all(&self) {
        self.control.silence_all().await;
    }

    /// Announces that the engine takes no new work; it still serves requests.
    pub fn leave(&self) {
        self.state.send_modify(|state| state.leaving = true);
    }

    /// Leaves, waits up to `grace` for the requests being served, and stops.
    pub async fn stop(self, grace: Duration) {
        self.leave();
        let state = *self.state.borrow();
        self.announcer.announce(state).await;
        let idle = async {
            while self.load() != ServerLoad::default() {
                sleep(STOP_POLL).await;
            }
        };
        if tokio::time::timeout(grace, idle).await.is_err() {
            log::warn!(
                "standin: engine at {} stops with requests running",
                self.address
            );
        }
    }
}

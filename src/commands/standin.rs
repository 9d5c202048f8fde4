//! `chicoryladder standin`: stand-in backend servers as processes.

use crate::error::CommandError;
use crate::logging::start_logging;
use bpaf::Bpaf;
use chicoryladder_standin::{EngineOptions, EngineServer, PlainOptions, PlainServer, StandinError};
use chicoryladder_types::{
    ClockSource, ModelName, ServerGeneration, ServerName, ServiceName, SystemClock, ZoneName,
};
use log::LevelFilter;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// The longest wait for running requests after a signal to stop.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// Which stand-in to run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(standin_options), ignore_rustdoc)]
pub enum StandinOptions {
    /// Run a stand-in model engine until it gets a signal to stop
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_arguments))] EngineArguments),
    /// Run a stand-in plain service until it gets a signal to stop
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_arguments))] ServiceArguments),
}

/// What both kinds of stand-ins need.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(server_arguments), ignore_rustdoc)]
pub struct ServerArguments {
    /// The name of the server, unique in the fleet
    #[bpaf(argument("NAME"))]
    name: ServerName,
    /// The availability zone of the server
    #[bpaf(argument("ZONE"))]
    zone: ZoneName,
    /// The address to listen on; a free loopback port if absent
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// The servers port of an entry host that hears the announcements; may be repeated
    #[bpaf(argument("ADDRESS"), some("name at least one --entry-host ADDRESS"))]
    entry_host: Vec<SocketAddr>,
}

/// The options of `standin engine`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_arguments), ignore_rustdoc)]
pub struct EngineArguments {
    #[bpaf(external(server_arguments))]
    server: ServerArguments,
    /// The model that the engine serves
    #[bpaf(argument("MODEL"))]
    model: ModelName,
    /// Sequences decoded together; 8 if absent
    #[bpaf(argument("COUNT"), fallback(8))]
    slots: u32,
    /// The time of one decoding step in milliseconds; 5 if absent
    #[bpaf(argument("MS"), fallback(5))]
    decode_step_ms: u64,
    /// Take orders with an old fencing number
    ignore_fencing: bool,
}

/// The options of `standin service`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_arguments), ignore_rustdoc)]
pub struct ServiceArguments {
    #[bpaf(external(server_arguments))]
    server: ServerArguments,
    /// The service that the server offers
    #[bpaf(argument("SERVICE"))]
    service: ServiceName,
}

impl StandinOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        start_logging(LevelFilter::Info)
            .map_err(|error| CommandError::failed(error.to_string()))?;
        match self {
            Self::Engine(arguments) => arguments.run().await,
            Self::Service(arguments) => arguments.run().await,
        }
    }
}

impl EngineArguments {
    async fn run(self) -> Result<(), CommandError> {
        let ServerArguments {
            name,
            zone,
            listen,
            entry_host,
        } = self.server;
        let mut options = EngineOptions::new(name, zone, self.model);
        options.address = listen;
        options.entry_hosts = entry_host;
        options.generation = generation();
        options.slots = self.slots;
        options.timing.decode_step = Duration::from_millis(self.decode_step_ms);
        options.checks_fencing = !self.ignore_fencing;
        let engine = EngineServer::start(options).await.map_err(start_error)?;
        println!("listening on {}", engine.address());
        stop_signal().await?;
        engine.stop(STOP_GRACE).await;
        Ok(())
    }
}

impl ServiceArguments {
    async fn run(self) -> Result<(), CommandError> {
        let ServerArguments {
            name,
            zone,
            listen,
            entry_host,
        } = self.server;
        let mut options = PlainOptions::new(name, zone, self.service);
        options.address = listen;
        options.entry_hosts = entry_host;
        options.generation = generation();
        let service = PlainServer::start(options).await.map_err(start_error)?;
        println!("listening on {}", service.address());
        stop_signal().await?;
        service.stop().await;
        Ok(())
    }
}

/// A generation that rises with each start of the process.
fn generation() -> ServerGeneration {
    let age = SystemClock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    ServerGeneration(u64::try_from(millis).unwrap_or(u64::MAX))
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn start_error(error: StandinError) -> CommandError {
    CommandError::failed(error.to_string())
}

async fn stop_signal() -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::failed(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

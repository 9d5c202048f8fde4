//! `chicoryladder standin`: runs a stand-in backend server.

use crate::error::CommandError;
use crate::logging::start_logging;
use bpaf::Bpaf;
use chicoryladder_standin::{
    EngineOptions, EngineServer, FaultPlan, PlainOptions, PlainServer, StandinError,
};
use chicoryladder_types::{
    ClockSource, ModelName, ServerGeneration, ServerName, ServiceName, SystemClock, ZoneName,
};
use log::LevelFilter;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// How long running requests may take to finish after a stop signal.
const STOP_GRACE: Duration = Duration::from_secs(30);

/// The subcommands of `standin`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(standin_options), ignore_rustdoc)]
pub enum StandinOptions {
    /// Run a stand-in model engine until SIGTERM or SIGINT
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_arguments))] EngineArguments),
    /// Run a stand-in plain service until SIGTERM or SIGINT
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_arguments))] ServiceArguments),
}

/// The options that both kinds of stand-ins have.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(server_arguments), ignore_rustdoc)]
pub struct ServerArguments {
    /// Name of the server, unique in the fleet
    #[bpaf(argument("NAME"))]
    name: ServerName,
    /// Availability zone of the server
    #[bpaf(argument("ZONE"))]
    zone: ZoneName,
    /// Address to listen on; default: a free loopback port
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Servers' port of an entry host to announce the server to; may be repeated
    #[bpaf(argument("ADDRESS"), some("name at least one --entry-host ADDRESS"))]
    entry_host: Vec<SocketAddr>,
    /// Say in every response, but not in announcements, that the server leaves
    says_leaving: bool,
}

/// The options of `standin engine`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(engine_arguments), ignore_rustdoc)]
pub struct EngineArguments {
    #[bpaf(external(server_arguments))]
    server: ServerArguments,
    /// Model that the engine serves
    #[bpaf(argument("MODEL"))]
    model: ModelName,
    /// Number of sequences decoded at once; default 8
    #[bpaf(argument("COUNT"), fallback(8))]
    slots: u32,
    /// Duration of a decoding step in milliseconds; default 5
    #[bpaf(argument("MS"), fallback(5))]
    decode_step_ms: u64,
    /// Accept orders with a stale fencing number
    ignore_fencing: bool,
}

/// The options of `standin service`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(service_arguments), ignore_rustdoc)]
pub struct ServiceArguments {
    #[bpaf(external(server_arguments))]
    server: ServerArguments,
    /// Service that the server offers
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
            says_leaving,
        } = self.server;
        let mut options = EngineOptions::new(name, zone, self.model);
        options.address = listen;
        options.entry_hosts = entry_host;
        options.generation = generation_from_clock();
        options.slots = self.slots;
        options.timing.decode_step = Duration::from_millis(self.decode_step_ms);
        options.checks_fencing = !self.ignore_fencing;
        let engine = EngineServer::start(options)
            .await
            .map_err(to_command_error)?;
        engine.control().set_faults(fault_plan(says_leaving));
        println!("listening on {}", engine.address());
        wait_for_stop_signal().await?;
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
            says_leaving,
        } = self.server;
        let mut options = PlainOptions::new(name, zone, self.service);
        options.address = listen;
        options.entry_hosts = entry_host;
        options.generation = generation_from_clock();
        let service = PlainServer::start(options)
            .await
            .map_err(to_command_error)?;
        service.control().set_faults(fault_plan(says_leaving));
        println!("listening on {}", service.address());
        wait_for_stop_signal().await?;
        service.stop().await;
        Ok(())
    }
}

fn fault_plan(says_leaving: bool) -> FaultPlan {
    FaultPlan {
        says_leaving,
        ..FaultPlan::default()
    }
}

/// Returns the wall-clock time in milliseconds as a generation that increases with
/// each start of the process.
fn generation_from_clock() -> ServerGeneration {
    let age = SystemClock.wall().duration_since(SystemTime::UNIX_EPOCH);
    let millis = age.unwrap_or_default().as_millis();
    ServerGeneration(u64::try_from(millis).unwrap_or(u64::MAX))
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as a function of map_err"
)]
fn to_command_error(error: StandinError) -> CommandError {
    CommandError::failed(error.to_string())
}

async fn wait_for_stop_signal() -> Result<(), CommandError> {
    let failed = |error: std::io::Error| CommandError::failed(error.to_string());
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

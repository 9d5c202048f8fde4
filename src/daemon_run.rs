//! Runs an entry host until a signal stops it.

use chicoryladder_host::{EntryHost, HostError};
use chicoryladder_roles::ProcessError;
use chicoryladder_settings::HostSettings;
use std::io;
use tokio::signal::unix::{SignalKind, signal};

/// Why a host or process could not run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The async runtime or a signal handler could not be set up.
    #[error("the async runtime or a signal handler could not be set up")]
    System(#[from] io::Error),
    /// The host could not start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The process of a role could not start.
    #[error(transparent)]
    Process(#[from] ProcessError),
}

/// Runs a host until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Fails if the host cannot start.
pub fn run_host(settings: HostSettings) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: HostSettings) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = settings.host.name.clone();
    let host = EntryHost::start(settings).await?;
    log::info!("host: {name} has started.");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    host.shutdown().await;
    Ok(())
}

//! Runs the processes of a fleet whose entry, control and store roles run on
//! separate hosts.

use crate::daemon_run::RunError;
use chicoryladder_platform::{CallerAdapter, ControlAdapter, ServerAdapter};
use chicoryladder_roles::{ControlHost, EntryHost, ProcessError, StoreHost};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::{BootClock, ClockSource};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// The role of a process in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Accepts callers' requests.
    Entry,
    /// Holds the plan and the records of hosts and servers, and assigns slots.
    Control,
    /// Stores batch jobs and runs their items.
    Store,
}

enum RunningHost {
    Entry(EntryHost),
    Control(ControlHost),
    Store(StoreHost),
}

impl RunningHost {
    async fn start(role: ProcessRole, settings: ProcessSettings) -> Result<Self, ProcessError> {
        let clock: Arc<dyn ClockSource> = Arc::new(BootClock::new());
        let servers = Arc::new(ServerAdapter);
        let control = Arc::new(ControlAdapter);
        Ok(match role {
            ProcessRole::Entry => {
                let callers = Arc::new(CallerAdapter);
                Self::Entry(EntryHost::start(settings, callers, servers, clock).await?)
            }
            ProcessRole::Control => {
                Self::Control(ControlHost::start(settings, control, clock).await?)
            }
            ProcessRole::Store => {
                Self::Store(StoreHost::start(settings, servers, control, clock).await?)
            }
        })
    }

    async fn shutdown(self) {
        match self {
            Self::Entry(host) => host.shutdown().await,
            Self::Control(host) => host.shutdown().await,
            Self::Store(host) => host.shutdown().await,
        }
    }
}

/// Runs a process until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Fails if the process cannot start.
pub fn run_process(
    role: ProcessRole,
    settings: ProcessSettings,
    path: &Path,
) -> Result<(), RunError> {
    // Each host has a fraction of a core, so waking other worker threads costs
    // more than running in parallel gains.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(role, settings, path.to_owned()))
}

async fn serve(
    role: ProcessRole,
    settings: ProcessSettings,
    path: PathBuf,
) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let host = RunningHost::start(role, settings).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reload_settings(&path),
        }
    }
    host.shutdown().await;
    Ok(())
}

/// Reads the settings file again and applies its log level. All other settings,
/// such as addresses and data folders, take effect when the process restarts.
fn reload_settings(path: &Path) {
    match ProcessSettings::read(path) {
        Ok(settings) => {
            log::set_max_level(settings.host.log_level);
            log::info!("daemon: reloaded the log level from {}.", path.display());
        }
        Err(error) => log::error!(
            "daemon: the settings cannot be reloaded, the old ones stay in force: {error}."
        ),
    }
}

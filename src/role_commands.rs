//! Running the processes of a fleet whose roles have hosts of their own.

use crate::daemon_run::RunError;
use chicoryladder_platform::{CallerAdapter, ControlAdapter, ServerAdapter};
use chicoryladder_roles::{ControlHost, EntryHost, ProcessError, StoreHost};
use chicoryladder_settings::ProcessSettings;
use chicoryladder_types::{BootClock, ClockSource};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// What a process of a fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Takes callers' requests.
    Entry,
    /// Holds the plan, hosts and servers, and gives out slots.
    Control,
    /// Holds batch jobs and runs their items.
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
    // One thread: a host has a part of a core, and wake-ups of others cost more
    // than they bring.
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
            _ = reload.recv() => note_reload(&path),
        }
    }
    host.shutdown().await;
    Ok(())
}

/// Reads the settings again. Only the level of the log may change while a process
/// runs; addresses and data folders take effect at its next start.
fn note_reload(path: &Path) {
    match ProcessSettings::read(path) {
        Ok(settings) => {
            log::set_max_level(settings.host.log_level);
            log::info!("daemon: read {} again.", path.display());
        }
        Err(error) => log::error!("daemon: keeps its settings: {error}."),
    }
}

//! The entry host daemon.

use chicoryladder::daemon::{DaemonCommand, check, check_settings, daemon_options};
use chicoryladder::{CommandError, CommandExit, run_host, start_logging};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match daemon_options().run() {
        DaemonCommand::Check { settings_file } => check(&settings_file),
        DaemonCommand::Run { settings_file } => run(&settings_file),
    };
    let exit = result.map_or_else(CommandError::report, |()| CommandExit::Done);
    exit.into()
}

fn run(path: &Path) -> Result<(), CommandError> {
    let settings = check_settings(path)?;
    start_logging(settings.host.log_level).map_err(|error| CommandError::caused(&error))?;
    run_host(settings).map_err(|error| CommandError::caused(&error))
}

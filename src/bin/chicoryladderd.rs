//! The entry host daemon.

use chicoryladder::daemon::{DaemonCommand, check, check_settings, daemon_options};
use chicoryladder::{CommandError, CommandExit};
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
    let _settings = check_settings(path)?;
    Err(CommandError::failed("the host cannot run yet"))
}

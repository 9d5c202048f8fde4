//! The daemon that runs hosts of a fleet.

use chicoryladder::daemon::{DaemonCommand, check, check_process, check_settings, daemon_options};
use chicoryladder::{CommandError, CommandExit, ProcessRole, run_host, run_process, start_logging};
use chicoryladder_settings::ProcessSettings;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match daemon_options().run() {
        DaemonCommand::Check { settings_file } => check(&settings_file),
        DaemonCommand::CheckProcess { settings_file } => check_process(&settings_file),
        DaemonCommand::Entry { settings_file } => run_role(ProcessRole::Entry, &settings_file),
        DaemonCommand::Control { settings_file } => run_role(ProcessRole::Control, &settings_file),
        DaemonCommand::Store { settings_file } => run_role(ProcessRole::Store, &settings_file),
        DaemonCommand::Run { settings_file } => run(&settings_file),
    };
    let exit = result.map_or_else(CommandError::report, |()| CommandExit::Done);
    exit.into()
}

fn run(path: &Path) -> Result<(), CommandError> {
    let settings = check_settings(path)?;
    start_logging(settings.host.log_level)
        .map_err(|error| CommandError::from_source_chain(&error))?;
    run_host(settings).map_err(|error| CommandError::from_source_chain(&error))
}

fn run_role(role: ProcessRole, path: &Path) -> Result<(), CommandError> {
    let settings = ProcessSettings::read(path)?;
    start_logging(settings.host.log_level)
        .map_err(|error| CommandError::from_source_chain(&error))?;
    run_process(role, settings, path).map_err(|error| CommandError::from_source_chain(&error))
}

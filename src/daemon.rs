//! The command line of `chicoryladderd`.

use crate::error::CommandError;
use bpaf::Bpaf;
use chicoryladder_settings::{HostSettings, ProcessSettings};
use chicoryladder_types::prelude::*;
use std::path::{Path, PathBuf};

/// The entry host daemon
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(daemon_options))]
pub enum DaemonCommand {
    /// Check a settings file and report every fault
    #[bpaf(command("check"))]
    Check {
        /// The settings file of the host
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the process of an entry host
    #[bpaf(command("entry"))]
    Entry {
        /// The settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the process of a control host
    #[bpaf(command("control"))]
    Control {
        /// The settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the process of a store host
    #[bpaf(command("store"))]
    Store {
        /// The settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Check the settings file of the process of a role
    #[bpaf(command("check-process"))]
    CheckProcess {
        /// The settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the host
    Run {
        /// The settings file of the host
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
}

/// Checks a settings file, and that the files it names can be read.
///
/// # Errors
///
/// Fails with every fault of the settings, or with the files that cannot be read.
pub fn check_settings(path: &Path) -> Result<HostSettings, CommandError> {
    let settings = HostSettings::read(path)?;
    let files = [&settings.peers.secret_file, &settings.operators.token_file];
    let is_absent = |file: &&&PathBuf| std::fs::File::open(file).is_err();
    let paths: Vec<PathBuf> = files.iter().filter(is_absent).copied().cloned().collect();
    if !paths.is_empty() {
        return Err(CommandError::AbsentFiles { paths });
    }
    Ok(settings)
}

/// Runs `chicoryladderd check`.
///
/// # Errors
///
/// Fails as [`check_settings`] does.
pub fn check(path: &Path) -> Result<(), CommandError> {
    let settings = check_settings(path)?;
    tell_can_start(path, &settings.host.name, &settings.host.zone);
    Ok(())
}

/// Runs `chicoryladderd check-process`.
///
/// # Errors
///
/// Fails with every fault of the settings.
pub fn check_process(path: &Path) -> Result<(), CommandError> {
    let settings = ProcessSettings::read(path)?;
    tell_can_start(path, &settings.host.name, &settings.host.zone);
    Ok(())
}

fn tell_can_start(path: &Path, host: &HostName, zone: &ZoneName) {
    println!("{}: host {host} in zone {zone} can start", path.display());
}

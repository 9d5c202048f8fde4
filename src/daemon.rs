//! The command line of `chicoryladderd`.

use crate::error::CommandError;
use bpaf::Bpaf;
use chicoryladder_settings::{HostSettings, ProcessSettings};
use chicoryladder_types::prelude::*;
use std::path::{Path, PathBuf};

/// Run the processes of a chicoryladder fleet
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(daemon_options))]
pub enum DaemonCommand {
    /// Check a settings file for `run` and report every error
    #[bpaf(command("check"))]
    Check {
        /// Settings file of the host
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the entry role of a fleet whose roles run on separate hosts
    #[bpaf(command("entry"))]
    Entry {
        /// Settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the control role of a fleet whose roles run on separate hosts
    #[bpaf(command("control"))]
    Control {
        /// Settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run the store role of a fleet whose roles run on separate hosts
    #[bpaf(command("store"))]
    Store {
        /// Settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Check the settings file of an entry, control or store process
    #[bpaf(command("check-process"))]
    CheckProcess {
        /// Settings file of the process
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
    /// Run a host of a fleet that consists of entry hosts only
    Run {
        /// Settings file of the host
        #[bpaf(long("settings"), argument("FILE"))]
        settings_file: PathBuf,
    },
}

/// Checks a settings file, and that the secret and token files that it names can
/// be read.
///
/// # Errors
///
/// Fails with every error in the settings, or with the paths of the files that
/// cannot be read.
pub fn check_settings(path: &Path) -> Result<HostSettings, CommandError> {
    let settings = HostSettings::read(path)?;
    let files = [&settings.peers.secret_file, &settings.operators.token_file];
    let is_unreadable = |file: &&&PathBuf| std::fs::File::open(file).is_err();
    let paths: Vec<PathBuf> = files
        .iter()
        .filter(is_unreadable)
        .copied()
        .cloned()
        .collect();
    if !paths.is_empty() {
        return Err(CommandError::UnreadableFiles { paths });
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
    print_valid(path, &settings.host.name, &settings.host.zone);
    Ok(())
}

/// Runs `chicoryladderd check-process`.
///
/// # Errors
///
/// Fails with every error in the settings.
pub fn check_process(path: &Path) -> Result<(), CommandError> {
    let settings = ProcessSettings::read(path)?;
    print_valid(path, &settings.host.name, &settings.host.zone);
    Ok(())
}

fn print_valid(path: &Path, host: &HostName, zone: &ZoneName) {
    println!("{}: host {host} in zone {zone} can start", path.display());
}

//! The entry host daemon.

use bpaf::Bpaf;
use chicoryladder_settings::HostSettings;
use miette::{IntoDiagnostic, Report};
use std::path::PathBuf;

/// Runs an entry host.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(daemon_options))]
struct DaemonOptions {
    /// The settings file of the host
    #[bpaf(long("settings"), argument("FILE"))]
    settings: PathBuf,
}

fn main() -> Result<(), Report> {
    let options = daemon_options().run();
    let settings = HostSettings::read(&options.settings)?;
    chicoryladder::start_logging(settings.host.log_level).into_diagnostic()?;
    chicoryladder::run_host(settings).into_diagnostic()
}

//! Commands of the chicoryladder binaries.

mod daemon_run;
mod logging;

pub use daemon_run::run_host;
pub use logging::start_logging;

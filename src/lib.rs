//! The commands of the chicoryladder binaries.
//!
//! [`daemon`] is the command line of `chicoryladderd`, [`commands`] that of
//! `chicoryladder`. Both turn every failure into a [`CommandError`], which has
//! an exit code and advice for the user.

pub mod access;
pub mod client;
pub mod commands;
pub mod daemon;
mod daemon_run;
mod error;
pub mod local_fleet;
mod logging;
mod operation;
pub mod output;
mod role_commands;

pub use daemon_run::{RunError, run_host};
pub use error::{CommandError, CommandExit};
pub use logging::start_logging;
pub use role_commands::{ProcessRole, run_process};

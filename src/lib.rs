//! Commands of the chicoryladder binaries.
//!
//! [`daemon`] is the command line of `chicoryladderd`, [`commands`] that of
//! `chicoryladder`. Both turn every failure into a [`CommandError`], which
//! knows its exit code and its remedy.

pub mod access;
pub mod client;
pub mod commands;
pub mod daemon;
mod error;
mod operation;
pub mod output;

pub use error::{CommandError, CommandExit};

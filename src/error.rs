//! Failures of commands and their exit codes.

use chicoryladder_settings::{SettingsError, SettingsReport};
use chicoryladder_types::admin::ConflictAnswer;
use miette::Diagnostic;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended, as its exit code.
///
/// The codes are part of the command line's interface and never change their
/// meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CommandExit {
    /// Everything was done.
    Done = 0,
    /// Something unforeseen failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// An input file cannot be read or has faults.
    Faulty = 3,
    /// Another change took the expected revision.
    Conflict = 4,
    /// The host refused the request.
    Refused = 5,
    /// No host answered.
    Unreachable = 6,
    /// The work was accepted, but is not complete yet.
    Incomplete = 7,
    /// The compared documents differ.
    Differs = 8,
    /// A job ended with items that have no result.
    ItemsFailed = 9,
}

impl From<CommandExit> for ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum CommandError {
    /// A settings file cannot be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] Box<SettingsError>),
    /// A fleet document has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] Box<SettingsReport>),
    /// A file cannot be read or written.
    #[error("cannot use the file {}: {cause}", path.display())]
    #[diagnostic(help("check the path and the permissions"))]
    File {
        /// The path.
        path: PathBuf,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// Files that settings name cannot be read.
    #[error("{} cannot be read", names(paths))]
    #[diagnostic(help("create them, or correct their paths in the settings"))]
    AbsentFiles {
        /// The paths.
        paths: Vec<PathBuf>,
    },
    /// Another change took the expected revision.
    #[error(
        "revision {} was taken by operation {}, revision {} is in force now",
        conflict.expected_revision.next(),
        conflict.winner.as_ref().map_or("(unknown)", |id| id.as_str()),
        conflict.current_revision
    )]
    #[diagnostic(help(
        "read the winner's document with `chicoryladder get`, merge and apply again"
    ))]
    Conflict {
        /// Who won.
        conflict: Box<ConflictAnswer>,
    },
    /// The host refused the request.
    #[error("the host refused: {message} ({code}, status {status})")]
    #[diagnostic(help("{remedy}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason code.
        code: String,
        /// One sentence from the host.
        message: String,
        /// What to do about it.
        remedy: &'static str,
    },
    /// No host answered.
    #[error("no host answered: {detail}")]
    #[diagnostic(help("{remedy}"))]
    Unreachable {
        /// What was tried and what came of it.
        detail: String,
        /// What to do about it.
        remedy: String,
    },
    /// The work was accepted, but is not complete yet.
    #[error("{message}")]
    #[diagnostic(help("{remedy}"))]
    Incomplete {
        /// What is missing.
        message: String,
        /// What to do about it.
        remedy: String,
    },
    /// A job ended with items that have no result.
    #[error("{count} of {total} items have no result")]
    #[diagnostic(help("the result lines with an `error` tell why"))]
    ItemsFailed {
        /// Items without a result.
        count: u64,
        /// All items.
        total: u64,
    },
    /// The compared documents differ.
    #[error("{count} differences")]
    Differs {
        /// How many.
        count: usize,
    },
    /// Something unforeseen failed.
    #[error("{message}")]
    Failed {
        /// What failed.
        message: String,
    },
}

impl CommandError {
    /// A failure without a kind of its own.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed {
            message: message.into(),
        }
    }

    /// A failure that had no other name, with all of its causes.
    pub fn caused(error: &dyn std::error::Error) -> Self {
        let mut message = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            message.push_str(": ");
            message.push_str(&cause.to_string());
            source = cause.source();
        }
        Self::Failed { message }
    }

    /// The exit code that goes with the failure.
    #[must_use]
    pub const fn exit(&self) -> CommandExit {
        match self {
            Self::Settings(_)
            | Self::Document(_)
            | Self::File { .. }
            | Self::AbsentFiles { .. } => CommandExit::Faulty,
            Self::Conflict { .. } => CommandExit::Conflict,
            Self::Refused { .. } => CommandExit::Refused,
            Self::Unreachable { .. } => CommandExit::Unreachable,
            Self::Incomplete { .. } => CommandExit::Incomplete,
            Self::ItemsFailed { .. } => CommandExit::ItemsFailed,
            Self::Differs { .. } => CommandExit::Differs,
            Self::Failed { .. } => CommandExit::Failed,
        }
    }

    /// Prints the failure to standard error and gives its exit code.
    #[must_use]
    pub fn report(self) -> CommandExit {
        let exit = self.exit();
        eprintln!("{:?}", miette::Report::new(self));
        exit
    }
}

impl From<SettingsError> for CommandError {
    fn from(error: SettingsError) -> Self {
        Self::Settings(Box::new(error))
    }
}

impl From<SettingsReport> for CommandError {
    fn from(report: SettingsReport) -> Self {
        Self::Document(Box::new(report))
    }
}

fn names(paths: &[PathBuf]) -> String {
    let names: Vec<String> = paths.iter().map(|p| p.display().to_string()).collect();
    names.join(" and ")
}

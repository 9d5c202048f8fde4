//! Errors of commands and their exit codes.

use chicoryladder_settings::{SettingsError, SettingsReport};
use chicoryladder_types::admin::ConflictAnswer;
use miette::Diagnostic;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a command.
///
/// The codes are part of the command line's interface; their meaning must not
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum CommandExit {
    /// The command succeeded.
    Done = 0,
    /// Any failure without a code of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// An input file cannot be read or is invalid.
    InvalidInput = 3,
    /// Another change was applied on top of the expected revision first.
    Conflict = 4,
    /// The host refused the request.
    Refused = 5,
    /// No host responded.
    Unreachable = 6,
    /// The request was accepted, but its effect is not complete yet.
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
    /// A settings file is invalid or cannot be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] Box<SettingsError>),
    /// A fleet document is invalid.
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
    /// Files that the settings name cannot be read.
    #[error("{} cannot be read", join_paths(paths))]
    #[diagnostic(help("create them, or correct their paths in the settings"))]
    UnreadableFiles {
        /// The paths.
        paths: Vec<PathBuf>,
    },
    /// Another change was applied on top of the expected revision first.
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
        /// The conflict as the host reports it, with the operation that won.
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
        /// The message of the host.
        message: String,
        /// Advice for the user.
        remedy: &'static str,
    },
    /// No host responded.
    #[error("no host answered: {detail}")]
    #[diagnostic(help("{remedy}"))]
    Unreachable {
        /// The addresses that were tried and why each failed.
        detail: String,
        /// Advice for the user.
        remedy: String,
    },
    /// The request was accepted, but its effect is not complete yet.
    #[error("{message}")]
    #[diagnostic(help("{remedy}"))]
    Incomplete {
        /// What is not complete yet.
        message: String,
        /// Advice for the user.
        remedy: String,
    },
    /// A job ended with items that have no result.
    #[error("{count} of {total} items have no result")]
    #[diagnostic(help("the `error` field of a result line says why it has no result"))]
    ItemsFailed {
        /// The number of items without a result.
        count: u64,
        /// The number of items of the job.
        total: u64,
    },
    /// The compared documents differ.
    #[error("{count} differences")]
    Differs {
        /// The number of differences.
        count: usize,
    },
    /// Any other failure.
    #[error("{message}")]
    Failed {
        /// What failed.
        message: String,
    },
}

impl CommandError {
    /// Creates a failure that has only a message.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed {
            message: message.into(),
        }
    }

    /// Creates a failure whose message is that of `error` and of all its sources.
    pub fn from_source_chain(error: &dyn std::error::Error) -> Self {
        let mut message = error.to_string();
        let mut source = error.source();
        while let Some(cause) = source {
            message.push_str(": ");
            message.push_str(&cause.to_string());
            source = cause.source();
        }
        Self::Failed { message }
    }

    /// Returns the exit code of the error.
    #[must_use]
    pub const fn exit(&self) -> CommandExit {
        match self {
            Self::Settings(_)
            | Self::Document(_)
            | Self::File { .. }
            | Self::UnreadableFiles { .. } => CommandExit::InvalidInput,
            Self::Conflict { .. } => CommandExit::Conflict,
            Self::Refused { .. } => CommandExit::Refused,
            Self::Unreachable { .. } => CommandExit::Unreachable,
            Self::Incomplete { .. } => CommandExit::Incomplete,
            Self::ItemsFailed { .. } => CommandExit::ItemsFailed,
            Self::Differs { .. } => CommandExit::Differs,
            Self::Failed { .. } => CommandExit::Failed,
        }
    }

    /// Prints the error to standard error and returns its exit code.
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

fn join_paths(paths: &[PathBuf]) -> String {
    let names: Vec<String> = paths.iter().map(|p| p.display().to_string()).collect();
    names.join(" and ")
}

//! Faults of a settings text, collected into one report.

use miette::{Diagnostic, NamedSource, SourceSpan};
use std::path::PathBuf;

/// Why settings could not be read.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("check that the file exists and may be read by this user"))]
    Unreadable {
        /// The path that was tried.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: std::io::Error,
    },
    /// The text has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] SettingsReport),
}

/// Every fault found in one settings text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{name} has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
pub struct SettingsReport {
    /// The name of the text, such as its file name.
    pub name: String,
    /// The text itself, for excerpts.
    #[source_code]
    excerpt: NamedSource<String>,
    /// The faults, in the order of their lines.
    #[related]
    pub faults: Vec<SettingsFault>,
}

impl SettingsReport {
    /// A report on `text`; sorts the faults by place.
    #[must_use]
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<SettingsFault>) -> Self {
        faults.sort_by_key(|fault| fault.span.offset());
        Self {
            name: name.to_owned(),
            excerpt: NamedSource::new(name, text.to_owned()),
            faults,
        }
    }

    /// The faults as plain text, one `name:line: problem; remedy` a line.
    #[must_use]
    pub fn to_lines(&self) -> String {
        let describe = |fault: &SettingsFault| {
            let SettingsFault {
                line,
                problem,
                remedy,
                ..
            } = fault;
            format!("{}:{line}: {problem}; {remedy}\n", self.name)
        };
        self.faults.iter().map(describe).collect()
    }
}

/// One fault of a settings text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("line {line}: {problem}")]
#[diagnostic(help("{remedy}"))]
pub struct SettingsFault {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
    /// The place in the text.
    #[label("here")]
    pub span: SourceSpan,
}

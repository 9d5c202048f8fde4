//! Faults found in a settings text, and the report that lists them.

use miette::{Diagnostic, NamedSource, SourceSpan};
use std::path::PathBuf;

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("check that the file exists and may be read by this user"))]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: std::io::Error,
    },
    /// The text is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(#[from] SettingsReport),
}

/// All faults found in one settings text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("{name} has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
pub struct SettingsReport {
    /// The name of the text, such as its file name.
    pub name: String,
    /// The text, from which excerpts are shown.
    #[source_code]
    excerpt: NamedSource<String>,
    /// The faults, sorted by their location.
    #[related]
    pub faults: Vec<SettingsFault>,
}

impl SettingsReport {
    /// Creates a report on `text`; sorts the faults by location.
    #[must_use]
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<SettingsFault>) -> Self {
        faults.sort_by_key(|fault| fault.span.offset());
        Self {
            name: name.to_owned(),
            excerpt: NamedSource::new(name, text.to_owned()),
            faults,
        }
    }

    /// Formats the faults as plain text, one `name:line: problem; remedy` per line.
    #[must_use]
    pub fn to_lines(&self) -> String {
        let format_fault = |fault: &SettingsFault| {
            let SettingsFault {
                line,
                problem,
                remedy,
                ..
            } = fault;
            format!("{}:{line}: {problem}; {remedy}\n", self.name)
        };
        self.faults.iter().map(format_fault).collect()
    }
}

/// One fault in a settings text.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("line {line}: {problem}")]
#[diagnostic(help("{remedy}"))]
pub struct SettingsFault {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
    /// The location in the text.
    #[label("here")]
    pub span: SourceSpan,
}

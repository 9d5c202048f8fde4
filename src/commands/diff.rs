//! `chicoryladder diff`.

use super::get::{fetch_fleet, read_fleet};
use crate::access::{OperatorAccess, operator_access, read_text};
use crate::error::CommandError;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use chicoryladder_settings::{DocumentChange, FleetDocument};
use std::path::{Path, PathBuf};

/// The options of `diff`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(diff_options), ignore_rustdoc)]
pub struct DiffOptions {
    #[bpaf(external(operator_access))]
    access: OperatorAccess,
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Fleet document to compare
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

impl DiffOptions {
    pub(super) async fn run(self) -> Result<(), CommandError> {
        let newer = read_document(&self.file)?;
        let client = self.access.client()?;
        let answer = fetch_fleet(&client).await?;
        let changes = read_fleet(&answer)?.diff(&newer);
        self.output.print(&changes, |changes| describe(changes))?;
        match changes.len() {
            0 => Ok(()),
            count => Err(CommandError::Differs { count }),
        }
    }
}

/// Reads and validates a fleet document.
pub(super) fn read_document(file: &Path) -> Result<FleetDocument, CommandError> {
    let text = read_text(file)?;
    Ok(FleetDocument::parse(&file.display().to_string(), &text)?)
}

/// Formats the changes, one per line.
pub(super) fn describe(changes: &[DocumentChange]) -> String {
    if changes.is_empty() {
        return "no differences".to_owned();
    }
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

//! Output of commands as text or JSON.

use crate::error::CommandError;
use bpaf::Bpaf;
use serde::Serialize;
use std::str::FromStr;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Lines and tables for people.
    Text,
    /// One JSON value for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("the output format is `text` or `json`"),
        }
    }
}

/// The option for the output format.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(generate(output_options), ignore_rustdoc)]
pub struct OutputOptions {
    /// Output format: `text` or `json`
    #[bpaf(
        long("output"),
        argument("FORMAT"),
        fallback(OutputFormat::Text),
        complete(complete_format)
    )]
    pub format: OutputFormat,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "bpaf passes a reference")]
fn complete_format(_typed: &OutputFormat) -> Vec<(&'static str, Option<&'static str>)> {
    vec![("text", Some("for people")), ("json", Some("for programs"))]
}

impl OutputOptions {
    /// Prints `value` as JSON, or as the text that `describe` returns for it.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        describe: impl FnOnce(&T) -> String,
    ) -> Result<(), CommandError> {
        let text = match self.format {
            OutputFormat::Text => describe(value),
            OutputFormat::Json => serde_json::to_string_pretty(value)
                .map_err(|error| CommandError::failed(error.to_string()))?,
        };
        println!("{}", text.trim_end());
        Ok(())
    }

    /// Whether the output format is text.
    #[must_use]
    pub fn is_text(self) -> bool {
        self.format == OutputFormat::Text
    }
}

/// Formats rows as aligned columns under `headings`.
#[must_use]
pub fn table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(headings[column].chars().count())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(headings.to_vec())];
    lines.extend(
        rows.iter()
            .map(|row| line(row.iter().map(String::as_str).collect())),
    );
    lines.join("\n")
}

//! `chicoryladder explain`: from the id of a request, job or item to what decided it.

use crate::error::CommandError;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// How far before the first line on an id a change of belief may matter.
const BELIEF_WINDOW_MS: u64 = 10_000;

/// Events by which a process tells that it believes something else from then on.
const BELIEF_EVENTS: &[&str] = &[
    "control_found",
    "control_lost",
    "fleet_changes",
    "leadership_begins",
    "leadership_lost",
    "membership_changes",
    "plan_in_force",
    "seat_opened",
    "seat_removed",
    "server_added",
    "server_leaves",
    "started",
    "stopped",
    "stopping",
];

/// Fields by which a line names what it is about.
const ID_FIELDS: &[&str] = &["request", "job", "item"];

/// The options of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(explain_options), ignore_rustdoc)]
pub struct ExplainOptions {
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// The id of a request, a job or an item
    #[bpaf(positional("ID"))]
    id: String,
    /// The logs of processes, one file each
    #[bpaf(positional("FILE"), some("name at least one log file"))]
    files: Vec<PathBuf>,
}

/// One line of a log.
#[derive(Clone, Debug, Serialize)]
struct LogLine {
    time_ms: u64,
    /// The file that the line stands in.
    source: String,
    event: String,
    /// Whether the line names the id; others are changes of belief before it.
    is_about_id: bool,
    fields: Map<String, Value>,
}

impl ExplainOptions {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let mut lines = Vec::new();
        for file in &self.files {
            lines.extend(read_lines(file)?);
        }
        let walk = walk(lines, &self.id);
        if walk.is_empty() {
            let message = format!("no log names {}", self.id);
            return Err(CommandError::failed(message));
        }
        self.output.print(&walk, |walk| describe(walk))
    }
}

fn read_lines(file: &Path) -> Result<Vec<LogLine>, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|cause| CommandError::File {
        path: file.to_owned(),
        cause,
    })?;
    let source = file.file_stem().unwrap_or_default().to_string_lossy();
    // Other lines, such as those of a start that failed, are no events.
    let lines = text.lines().filter_map(|line| parse_line(line, &source));
    Ok(lines.collect())
}

fn parse_line(line: &str, source: &str) -> Option<LogLine> {
    let line = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let time_ms = fields.remove("time_ms")?.as_u64()?;
    let event = fields.remove("event")?.as_str()?.to_owned();
    // The file tells the part already.
    fields.remove("part");
    Some(LogLine {
        time_ms,
        source: source.to_owned(),
        event,
        is_about_id: false,
        fields,
    })
}

fn names(line: &LogLine, id: &str) -> bool {
    let is_id = |field: &&str| line.fields.get(*field).is_some_and(|value| value == id);
    ID_FIELDS.iter().any(is_id)
}

/// The lines on an id, in the order of time, with what the processes that wrote them
/// had begun to believe shortly before.
fn walk(mut lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    for line in &mut lines {
        line.is_about_id = names(line, id);
    }
    let about: Vec<&LogLine> = lines.iter().filter(|line| line.is_about_id).collect();
    let Some(first) = about.iter().map(|line| line.time_ms).min() else {
        return Vec::new();
    };
    let last = about.iter().map(|line| line.time_ms).max().unwrap_or(first);
    let sources: BTreeSet<String> = about.iter().map(|line| line.source.clone()).collect();
    let from = first.saturating_sub(BELIEF_WINDOW_MS);
    let matters = |line: &LogLine| {
        let is_belief = BELIEF_EVENTS.contains(&line.event.as_str());
        let leads = line.event.starts_with("leadership") || line.event.starts_with("server_");
        let is_near = line.time_ms >= from && line.time_ms <= last;
        is_belief && is_near && (leads || sources.contains(&line.source))
    };
    lines.retain(|line| line.is_about_id || matters(line));
    lines.sort_by_key(|line| line.time_ms);
    lines
}

fn describe(walk: &[LogLine]) -> String {
    let describe_line = |line: &LogLine| {
        let mark = if line.is_about_id { "*" } else { " " };
        let field = |(name, value): (&String, &Value)| match value {
            Value::Null => None,
            Value::String(text) => Some(format!("{name}={text:?}")),
            other => Some(format!("{name}={other}")),
        };
        let fields: Vec<String> = line.fields.iter().filter_map(field).collect();
        let LogLine {
            time_ms,
            source,
            event,
            ..
        } = line;
        format!("{mark} {time_ms} {source} {event} {}", fields.join(" "))
    };
    let lines: Vec<String> = walk.iter().map(describe_line).collect();
    lines.join("\n")
}

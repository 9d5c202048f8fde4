//! `chicoryladder explain`: traces a request, job or item through event logs.
//!
//! The output lists the events that name the id, and the state changes of the fleet
//! shortly before them that may have caused the outcome.

use crate::error::CommandError;
use crate::output::{OutputOptions, output_options};
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// State changes are included from this long before the first event that names the id.
const STATE_WINDOW_MS: u64 = 10_000;

/// Events by which a process logs that its view of the fleet has changed.
const STATE_EVENTS: &[&str] = &[
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
    "server_leaving",
    "server_limit",
    "started",
    "stopped",
    "stopping",
];

/// Fields that contain the id of the request, job or item, or of the attempt whose stream a
/// request takes up.
const ID_FIELDS: &[&str] = &["request", "job", "item", "takes_up"];

/// The options of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(explain_options), ignore_rustdoc)]
pub struct ExplainOptions {
    #[bpaf(external(output_options))]
    output: OutputOptions,
    /// Id of a request, job or item
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files, one for each process
    #[bpaf(positional("FILE"), some("name at least one log file"))]
    files: Vec<PathBuf>,
}

/// An event of a log.
#[derive(Clone, Debug, Serialize)]
struct LogLine {
    time_ms: u64,
    /// The name of the log file without its extension.
    source: String,
    event: String,
    /// Whether the event names the id. In a timeline, all others are state changes.
    is_about_id: bool,
    fields: Map<String, Value>,
}

impl ExplainOptions {
    pub(super) fn run(self) -> Result<(), CommandError> {
        let mut lines = Vec::new();
        for file in &self.files {
            lines.extend(read_lines(file)?);
        }
        let timeline = build_timeline(lines, &self.id);
        if timeline.is_empty() {
            let message = format!("no log names {}", self.id);
            return Err(CommandError::failed(message));
        }
        self.output.print(&timeline, |timeline| describe(timeline))
    }
}

fn read_lines(file: &Path) -> Result<Vec<LogLine>, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|cause| CommandError::File {
        path: file.to_owned(),
        cause,
    })?;
    let source = file.file_stem().unwrap_or_default().to_string_lossy();
    // Skips lines that are no events, such as those of a failed start.
    let lines = text.lines().filter_map(|line| parse_line(line, &source));
    Ok(lines.collect())
}

fn parse_line(line: &str, source: &str) -> Option<LogLine> {
    let line = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(line).ok()?;
    let time_ms = fields.remove("time_ms")?.as_u64()?;
    let event = fields.remove("event")?.as_str()?.to_owned();
    // Redundant, as the source names the process.
    fields.remove("part");
    Some(LogLine {
        time_ms,
        source: source.to_owned(),
        event,
        is_about_id: false,
        fields,
    })
}

fn names_id(line: &LogLine, id: &str) -> bool {
    let is_id = |field: &&str| line.fields.get(*field).is_some_and(|value| value == id);
    ID_FIELDS.iter().any(is_id)
}

/// Returns the events that name `id` and the state changes near them, in order of
/// time.
///
/// Changes of leadership and of servers are taken from every log, others only from
/// the logs that name the id.
fn build_timeline(mut lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    for line in &mut lines {
        line.is_about_id = names_id(line, id);
    }
    let about: Vec<&LogLine> = lines.iter().filter(|line| line.is_about_id).collect();
    let Some(first) = about.iter().map(|line| line.time_ms).min() else {
        return Vec::new();
    };
    let last = about.iter().map(|line| line.time_ms).max().unwrap_or(first);
    let sources: BTreeSet<String> = about.iter().map(|line| line.source.clone()).collect();
    let from = first.saturating_sub(STATE_WINDOW_MS);
    let is_relevant = |line: &LogLine| {
        let is_state_change = STATE_EVENTS.contains(&line.event.as_str());
        let is_fleet_wide =
            line.event.starts_with("leadership") || line.event.starts_with("server_");
        let is_near = line.time_ms >= from && line.time_ms <= last;
        is_state_change && is_near && (is_fleet_wide || sources.contains(&line.source))
    };
    lines.retain(|line| line.is_about_id || is_relevant(line));
    lines.sort_by_key(|line| line.time_ms);
    lines
}

fn describe(timeline: &[LogLine]) -> String {
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
    let lines: Vec<String> = timeline.iter().map(describe_line).collect();
    lines.join("\n")
}

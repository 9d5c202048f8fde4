//! The structured event log: one JSON object per line on standard output.
//!
//! Each line records a decision with its inputs, or a change of the process's state.
//! Writing never blocks: lines are buffered in a bounded channel for a writer thread.
//! Routine lines are limited per second, so that they do not displace lines on
//! failures; omitted lines are counted.

use serde_json::{Map, Value, json};
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// The capacity of the buffer, in lines; further lines are omitted and counted.
const BUFFER_LINES: usize = 4_096;

/// The maximum number of routine lines per second.
const ROUTINE_LINES_PER_SECOND: u32 = 50;

/// The time for which lines are collected before they are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Which lines are omitted first when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPriority {
    /// A refusal, a failure, or a change of state; not limited per second.
    Notable,
    /// Work that succeeded; limited per second.
    Routine,
}

#[derive(Debug, Default)]
struct LineQuota {
    second: u64,
    routine: u32,
    omitted: u64,
}

/// Writes structured lines; clones share the writer and its limits.
#[derive(Clone)]
pub struct EventLog {
    part: &'static str,
    lines: SyncSender<String>,
    quota: Arc<Mutex<LineQuota>>,
}

impl EventLog {
    /// Starts a log on standard output for a part of the program, such as `control`.
    ///
    /// # Errors
    ///
    /// Fails if the writer thread cannot be started.
    pub fn start(part: &'static str) -> std::io::Result<Self> {
        let (lines, receiver) = sync_channel(BUFFER_LINES);
        std::thread::Builder::new()
            .name("event-log".to_owned())
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            part,
            lines,
            quota: Arc::default(),
        })
    }

    /// Writes a line with the given event name and fields.
    pub fn write(&self, priority: EventPriority, event: &str, fields: &Value) {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let time = since_epoch.unwrap_or_default();
        let Some(omitted) = self.admit(priority, time.as_secs()) else {
            return;
        };
        let mut line = Map::new();
        line.insert("time_ms".into(), json!(millis(time)));
        line.insert("part".into(), json!(self.part));
        line.insert("event".into(), json!(event));
        if omitted > 0 {
            line.insert("left_out".into(), json!(omitted));
        }
        if let Value::Object(fields) = fields {
            line.extend(fields.clone());
        }
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        if self.lines.try_send(text).is_err() {
            self.quota().omitted += 1;
        }
    }

    /// Writes a notable line.
    pub fn note(&self, event: &str, fields: &Value) {
        self.write(EventPriority::Notable, event, fields);
    }

    /// Writes a routine line.
    pub fn routine(&self, event: &str, fields: &Value) {
        self.write(EventPriority::Routine, event, fields);
    }

    /// Returns how many lines were omitted before this one, or `None` if it is omitted
    /// itself.
    fn admit(&self, priority: EventPriority, second: u64) -> Option<u64> {
        let mut quota = self.quota();
        if quota.second != second {
            quota.second = second;
            quota.routine = 0;
        }
        if priority == EventPriority::Routine {
            if quota.routine >= ROUTINE_LINES_PER_SECOND {
                quota.omitted += 1;
                return None;
            }
            quota.routine += 1;
        }
        Some(std::mem::take(&mut quota.omitted))
    }

    fn quota(&self) -> std::sync::MutexGuard<'_, LineQuota> {
        self.quota.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Writes lines in batches until every clone of the log is dropped.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut output = std::io::stdout().lock();
        // An error means that standard output is closed; there is no other place to
        // report it.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
    }
}

//! The structured log: one JSON object a line on standard output.
//!
//! A line tells of one decision, with its inputs, or of a change in what the
//! process believes. Writing never blocks: lines wait in a bounded buffer for a
//! thread of their own. Lines on served requests are bounded a second, so that
//! lines on failures always find room; what was left out is counted.

use serde_json::{Map, Value, json};
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Lines that wait to be written; more are left out and counted.
const BUFFER_LINES: usize = 4_096;

/// Lines on served requests that are written in a second.
const ROUTINE_LINES_PER_SECOND: u32 = 50;

/// The longest time that a line waits for others to be written with it.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// How much a line matters when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPriority {
    /// A refusal, a failure, or a change of belief.
    Notable,
    /// Work that went as usual.
    Routine,
}

#[derive(Debug, Default)]
struct LineQuota {
    second: u64,
    routine: u32,
    omitted: u64,
}

/// Writes structured lines; clones write to the same place.
#[derive(Clone)]
pub struct EventLog {
    part: &'static str,
    lines: SyncSender<String>,
    quota: Arc<Mutex<LineQuota>>,
}

impl EventLog {
    /// A log on standard output for a part of the program.
    ///
    /// # Errors
    ///
    /// Fails if the operating system gives no thread.
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

    /// Writes a line of the given event and fields.
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

    /// Writes a line that matters.
    pub fn note(&self, event: &str, fields: &Value) {
        self.write(EventPriority::Notable, event, fields);
    }

    /// Writes a line on work that went as usual.
    pub fn routine(&self, event: &str, fields: &Value) {
        self.write(EventPriority::Routine, event, fields);
    }

    /// Whether a line may be written, and how many were left out before it.
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

/// Writes lines until every log is dropped.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut output = std::io::stdout().lock();
        // Nobody reads the log of a process whose output is closed.
        let _ = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
    }
}

//! The file format of recorded arrivals.
//!
//! One arrival per line: `offset_ms,prompt_tokens,output_tokens`, three integers,
//! with the offset measured from the start of the trace. Blank lines and lines
//! that begin with `#` are ignored. The lines may be in any order.

use std::time::Duration;

/// One recorded arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceArrival {
    /// The time since the start of the trace.
    pub offset: Duration,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The length of the response, in tokens.
    pub output_tokens: u32,
}

/// A line that is not a recorded arrival.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: expected `offset_ms,prompt_tokens,output_tokens`, found `{found}`")]
pub struct TraceError {
    /// The line number, counted from 1.
    pub line: usize,
    /// The text of the line.
    pub found: String,
}

/// Parses a trace.
///
/// # Errors
///
/// Fails with the first line that is not an arrival.
pub fn parse_trace(text: &str) -> Result<Vec<TraceArrival>, TraceError> {
    let mut arrivals = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let arrival = parse_line(line).ok_or_else(|| TraceError {
            line: index + 1,
            found: line.to_owned(),
        })?;
        arrivals.push(arrival);
    }
    Ok(arrivals)
}

fn parse_line(line: &str) -> Option<TraceArrival> {
    let mut fields = line.split(',').map(str::trim);
    let offset_ms = fields.next()?.parse().ok()?;
    let prompt_tokens = fields.next()?.parse().ok()?;
    let output_tokens = fields.next()?.parse().ok()?;
    if fields.next().is_some() {
        return None;
    }
    Some(TraceArrival {
        offset: Duration::from_millis(offset_ms),
        prompt_tokens,
        output_tokens,
    })
}

//! A parser of server-sent events in a streamed completion.

/// The data of the last event.
const END_DATA: &str = "[DONE]";

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StreamEvent {
    /// The text of one token.
    Token(String),
    /// The code of an error that replaces the rest of the response.
    Error(String),
    /// The end marker.
    End,
}

/// Splits chunks into complete events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    pending: Vec<u8>,
}

impl EventSplitter {
    /// Adds one chunk and returns the events that it completes.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Vec<StreamEvent> {
        self.pending.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(end) = self.pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.pending.drain(..=end).collect();
            events.extend(parse_line(String::from_utf8_lossy(&line).trim()));
        }
        events
    }
}

fn parse_line(line: &str) -> Option<StreamEvent> {
    let data = line.strip_prefix("data:")?.trim();
    if data == END_DATA {
        return Some(StreamEvent::End);
    }
    let value: serde_json::Value = serde_json::from_str(data).ok()?;
    if let Some(error) = value.get("error") {
        let code = error["code"].as_str().unwrap_or("unknown");
        return Some(StreamEvent::Error(code.to_owned()));
    }
    let choice = &value["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or(choice["text"].as_str());
    Some(StreamEvent::Token(text.unwrap_or_default().to_owned()))
}

//! Completion requests and the text that answers them.
//!
//! The answer repeats the words of the prompt, so a test can tell from the text
//! alone whether a caller got the whole answer to its own request.

use serde::Deserialize;
use serde_json::Value;

/// The text of a token when the prompt has no words.
const EMPTY_PROMPT_WORD: &str = "empty";

/// The bytes of prompt text that make one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// Which of the two completion interfaces a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    Chat,
    Text,
}

/// A completion request, reduced to what an engine needs.
#[derive(Clone, Debug)]
pub(super) struct CompletionOrder {
    pub(super) kind: CompletionKind,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) output_tokens: Option<u32>,
    pub(super) stream: bool,
}

/// Why a body is not a completion request.
#[derive(Debug, thiserror::Error)]
pub(super) enum CompletionError {
    #[error("the body is not a completion request: {0}")]
    BadBody(#[from] serde_json::Error),
    #[error("the body has neither messages nor a prompt")]
    NoPrompt,
}

#[derive(Debug, Deserialize)]
struct RawCompletion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<RawMessage>,
    prompt: Option<Value>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct RawMessage {
    #[serde(default)]
    content: Value,
}

impl TryFrom<(CompletionKind, &[u8])> for CompletionOrder {
    type Error = CompletionError;

    fn try_from((kind, body): (CompletionKind, &[u8])) -> Result<Self, CompletionError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        let prompt = match kind {
            CompletionKind::Chat if raw.messages.is_empty() => {
                return Err(CompletionError::NoPrompt);
            }
            CompletionKind::Chat => join_messages(&raw.messages),
            CompletionKind::Text => {
                content_text(raw.prompt.as_ref().ok_or(CompletionError::NoPrompt)?)
            }
        };
        Ok(Self {
            kind,
            model: raw.model,
            prompt,
            output_tokens: raw.max_completion_tokens.or(raw.max_tokens),
            stream: raw.stream,
        })
    }
}

fn join_messages(messages: &[RawMessage]) -> String {
    let texts: Vec<String> = messages
        .iter()
        .map(|message| content_text(&message.content))
        .collect();
    texts.join(" ")
}

/// The text of a content value: a string, or a list of parts with text.
fn content_text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Array(parts) => {
            let texts: Vec<String> = parts
                .iter()
                .map(|part| content_text(part.get("text").unwrap_or(part)))
                .collect();
            texts.join(" ")
        }
        _ => String::new(),
    }
}

/// The length of a prompt, in tokens.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The words that the tokens of an answer repeat.
#[derive(Clone, Debug)]
pub(super) struct AnswerWords(Vec<String>);

impl AnswerWords {
    pub(super) fn new(prompt: &str) -> Self {
        let mut words: Vec<String> = prompt.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() {
            words.push(EMPTY_PROMPT_WORD.to_owned());
        }
        Self(words)
    }

    /// The text of one token.
    pub(super) fn token(&self, number: u32) -> String {
        let index = number as usize % self.0.len();
        if number == 0 {
            self.0[index].clone()
        } else {
            format!(" {}", self.0[index])
        }
    }
}

/// The whole text with which a stand-in engine answers a prompt.
///
/// The prompt is the content of all messages, joined by spaces.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let words = AnswerWords::new(prompt);
    (0..tokens).map(|number| words.token(number)).collect()
}

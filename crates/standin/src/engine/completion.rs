//! Completion requests and the text generated for them.
//!
//! The text repeats the words of the prompt, so a test can tell from the text
//! alone whether a caller received the complete response to its own request.

use serde::Deserialize;
use serde_json::Value;

/// The text of each token when the prompt has no words.
const EMPTY_PROMPT_WORD: &str = "empty";

/// The bytes of prompt text that count as one token.
pub(super) const BYTES_PER_TOKEN: usize = 4;

/// The completion interface that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionKind {
    Chat,
    Text,
}

/// The parameters of a completion request that the engine uses.
#[derive(Clone, Debug)]
pub(super) struct CompletionParams {
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
    InvalidBody(#[from] serde_json::Error),
    #[error("the body has neither messages nor a prompt")]
    MissingPrompt,
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

impl TryFrom<(CompletionKind, &[u8])> for CompletionParams {
    type Error = CompletionError;

    fn try_from((kind, body): (CompletionKind, &[u8])) -> Result<Self, CompletionError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        let prompt = match kind {
            CompletionKind::Chat if raw.messages.is_empty() => {
                return Err(CompletionError::MissingPrompt);
            }
            CompletionKind::Chat => join_messages(&raw.messages),
            CompletionKind::Text => {
                content_text(raw.prompt.as_ref().ok_or(CompletionError::MissingPrompt)?)
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

/// Returns the text of a content value: a string, or a list of parts with text.
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

/// Returns the length of a prompt, in tokens.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// The words of a prompt, which the generated tokens repeat in a cycle.
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

    /// Returns the text of the token with the given number, counted from 0.
    pub(super) fn token(&self, number: u32) -> String {
        let index = number as usize % self.0.len();
        if number == 0 {
            self.0[index].clone()
        } else {
            format!(" {}", self.0[index])
        }
    }
}

/// Returns the complete text that a stand-in engine generates for a prompt.
///
/// The prompt is the content of all messages, joined by spaces.
#[must_use]
pub fn answer_text(prompt: &str, tokens: u32) -> String {
    let words = AnswerWords::new(prompt);
    (0..tokens).map(|number| words.token(number)).collect()
}

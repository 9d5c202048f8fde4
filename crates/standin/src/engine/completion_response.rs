//! Completion responses in the format of the public API, complete or streamed.

use super::completion::{AnswerWords, CompletionKind, CompletionParams, prompt_tokens};
use crate::response::{ResponseBody, json_response, stream_body};
use bytes::Bytes;
use chicoryladder_types::ClockSource;
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use std::io;
use tokio::sync::mpsc;

/// The last event of a streamed response.
const END_MARKER: &str = "data: [DONE]\n\n";

/// The parts of a response that are known before its first token.
#[derive(Clone, Debug)]
pub(super) struct CompletionResponse {
    kind: CompletionKind,
    id: String,
    model: String,
    created_s: u64,
    words: AnswerWords,
    prompt_tokens: u32,
    output_tokens: u32,
}

impl CompletionResponse {
    pub(super) fn new(
        params: &CompletionParams,
        request_id: &str,
        output_tokens: u32,
        clock: &dyn ClockSource,
    ) -> Self {
        let prefix = match params.kind {
            CompletionKind::Chat => "chatcmpl",
            CompletionKind::Text => "cmpl",
        };
        Self {
            kind: params.kind,
            id: format!("{prefix}-{request_id}"),
            model: params.model.clone(),
            created_s: clock.since_epoch().as_secs(),
            words: AnswerWords::new(&params.prompt),
            prompt_tokens: prompt_tokens(&params.prompt),
            output_tokens,
        }
    }

    /// Waits for all tokens and responds with the complete text, or with half of the
    /// body if it is to be truncated; `None` if the sequence was cancelled before its
    /// end.
    pub(super) async fn complete(
        self,
        mut tokens: mpsc::UnboundedReceiver<u32>,
        truncates_after: Option<u32>,
    ) -> Option<Response<ResponseBody>> {
        let mut text = String::new();
        let mut generated = 0;
        while let Some(number) = tokens.recv().await {
            text.push_str(&self.words.token(number));
            generated += 1;
        }
        if generated < self.output_tokens {
            return None;
        }
        let value = self.completion_value(&text);
        if truncates_after.is_some_and(|limit| limit < self.output_tokens) {
            return Some(truncated_response(&value));
        }
        Some(json_response(StatusCode::OK, &value))
    }

    /// Responds with one server-sent event per token, starting at `next_token`. With
    /// `truncates_after`, the stream ends before that token and without its end marker.
    pub(super) fn streamed(
        self,
        tokens: mpsc::UnboundedReceiver<u32>,
        next_token: u32,
        truncates_after: Option<u32>,
    ) -> Response<ResponseBody> {
        let state = StreamState {
            completion: self,
            tokens,
            truncates_after,
            next_token,
            ended: false,
        };
        let chunks = futures_util::stream::unfold(state, StreamState::next_chunk);
        let mut response = Response::new(stream_body(chunks));
        let event_stream = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, event_stream);
        let no_cache = HeaderValue::from_static("no-cache");
        response.headers_mut().insert(CACHE_CONTROL, no_cache);
        response
    }

    fn completion_value(&self, text: &str) -> Value {
        let choice = match self.kind {
            CompletionKind::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }),
            CompletionKind::Text => json!({
                "index": 0, "text": text, "finish_reason": "stop",
            }),
        };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion",
            CompletionKind::Text => "text_completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.output_tokens,
                "total_tokens": self.prompt_tokens + self.output_tokens,
            },
        })
    }

    fn token_event(&self, number: u32) -> String {
        let text = self.words.token(number);
        let last = number + 1 >= self.output_tokens;
        let finish_reason = if last { json!("stop") } else { Value::Null };
        let choice = match self.kind {
            CompletionKind::Chat => json!({
                "index": 0, "delta": { "content": text }, "finish_reason": finish_reason,
            }),
            CompletionKind::Text => json!({
                "index": 0, "text": text, "finish_reason": finish_reason,
            }),
        };
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion.chunk",
            CompletionKind::Text => "text_completion",
        };
        let value = json!({
            "id": self.id,
            "object": object,
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        });
        format!("id: {number}\ndata: {value}\n\n")
    }
}

/// The state of a streamed response between two chunks.
struct StreamState {
    completion: CompletionResponse,
    tokens: mpsc::UnboundedReceiver<u32>,
    truncates_after: Option<u32>,
    next_token: u32,
    ended: bool,
}

impl StreamState {
    async fn next_chunk(mut self) -> Option<(Result<Frame<Bytes>, io::Error>, Self)> {
        if self.ended {
            return None;
        }
        let number = self.tokens.recv().await;
        if self.is_truncated() {
            return None;
        }
        let chunk = if let Some(number) = number {
            self.next_token = number + 1;
            Ok(self.completion.token_event(number))
        } else {
            self.ended = true;
            self.end_marker()
        };
        let frame = chunk.map(|chunk| Frame::data(Bytes::from(chunk)));
        Some((frame, self))
    }

    fn is_truncated(&self) -> bool {
        self.truncates_after
            .is_some_and(|limit| self.next_token >= limit)
    }

    /// Returns the end marker, or an error if the sequence was cancelled before its
    /// end.
    fn end_marker(&self) -> Result<String, io::Error> {
        if self.next_token < self.completion.output_tokens {
            return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
        }
        Ok(END_MARKER.to_owned())
    }
}

/// Builds a response that declares the full content length, but whose connection
/// closes after half of the body.
fn truncated_response(value: &Value) -> Response<ResponseBody> {
    let text = value.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let closed = Err(io::Error::from(io::ErrorKind::ConnectionAborted));
    let chunks = futures_util::stream::iter([Ok(Frame::data(half)), closed]);
    let mut response = Response::new(stream_body(chunks));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(text.len()));
    response
}

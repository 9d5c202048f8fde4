//! Runs and times one chat completion or one request to a plain service.

use super::caller::{CallerClient, CallerRequest};
use super::outcome::{FailureKind, RefusedRequest, RequestEnd, ServedTimes};
use super::sse::{EventSplitter, StreamEvent};
use crate::answer_text;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::Instant;

/// The path of chat completions.
pub(super) const CHAT_PATH: &str = "/v1/chat/completions";

/// A chat completion to send; it determines the response of a stand-in engine.
#[derive(Clone, Debug)]
pub(super) struct ChatCall {
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) output_tokens: u32,
    pub(super) streamed: bool,
}

impl ChatCall {
    pub(super) fn body(&self) -> Value {
        json!({
            "model": self.model,
            "stream": self.streamed,
            "max_tokens": self.output_tokens,
            "messages": [{ "role": "user", "content": self.prompt }],
        })
    }

    pub(super) fn expected_text(&self) -> String {
        answer_text(&self.prompt, self.output_tokens)
    }

    /// Sends the call and measures the latency of its response from `intended`.
    pub(super) async fn run(
        &self,
        client: &CallerClient,
        request: CallerRequest<'_>,
        intended: Instant,
    ) -> RequestEnd {
        let ended = if self.streamed {
            self.run_streamed(client, request, intended).await
        } else {
            self.run_unstreamed(client, request, intended).await
        };
        match ended {
            Ok(times) => RequestEnd::Served(times),
            Err(end) => end,
        }
    }

    async fn run_unstreamed(
        &self,
        client: &CallerClient,
        request: CallerRequest<'_>,
        intended: Instant,
    ) -> Result<ServedTimes, RequestEnd> {
        let body = client.send_and_collect(request).await?;
        let total = intended.elapsed();
        let wrong = RequestEnd::Failed(FailureKind::WrongAnswer);
        let value: Value = serde_json::from_slice(&body).map_err(|_| wrong.clone())?;
        let text = value["choices"][0]["message"]["content"].as_str();
        if text != Some(&self.expected_text()) {
            return Err(wrong);
        }
        Ok(ServedTimes {
            total,
            tokens: self.output_tokens.into(),
            ..ServedTimes::default()
        })
    }

    async fn run_streamed(
        &self,
        client: &CallerClient,
        request: CallerRequest<'_>,
        intended: Instant,
    ) -> Result<ServedTimes, RequestEnd> {
        let response = client.send(request).await?;
        let mut stream = TimedStream::new(intended);
        let mut body = response.into_body();
        while let Some(chunk) = next_chunk(&mut body).await? {
            stream.push_chunk(&chunk)?;
        }
        if !stream.ended {
            return Err(RequestEnd::Failed(FailureKind::Truncated));
        }
        if stream.text != self.expected_text() {
            return Err(RequestEnd::Failed(FailureKind::WrongAnswer));
        }
        stream.times.total = intended.elapsed();
        Ok(stream.times)
    }
}

/// Sends a request to a plain service and measures the latency of its response
/// from `intended`.
pub(super) async fn run_service(
    client: &CallerClient,
    request: CallerRequest<'_>,
    intended: Instant,
) -> RequestEnd {
    match client.send_and_collect(request).await {
        Ok(_) => RequestEnd::Served(ServedTimes {
            total: intended.elapsed(),
            ..ServedTimes::default()
        }),
        Err(end) => end,
    }
}

async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, RequestEnd> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestEnd::Failed(FailureKind::Truncated))?;
        if let Ok(chunk) = frame.into_data() {
            return Ok(Some(chunk));
        }
    }
    Ok(None)
}

struct TimedStream {
    intended: Instant,
    last_token: Option<Instant>,
    splitter: EventSplitter,
    text: String,
    ended: bool,
    times: ServedTimes,
}

impl TimedStream {
    fn new(intended: Instant) -> Self {
        Self {
            intended,
            last_token: None,
            splitter: EventSplitter::default(),
            text: String::new(),
            ended: false,
            times: ServedTimes::default(),
        }
    }

    fn push_chunk(&mut self, chunk: &[u8]) -> Result<(), RequestEnd> {
        let now = Instant::now();
        for event in self.splitter.push(chunk) {
            match event {
                StreamEvent::Token(token) => self.record_token(&token, now),
                StreamEvent::End => self.ended = true,
                StreamEvent::Error(reason) => {
                    let verdict = String::new();
                    return Err(RequestEnd::Refused(RefusedRequest { reason, verdict }));
                }
            }
        }
        Ok(())
    }

    fn record_token(&mut self, token: &str, now: Instant) {
        self.text.push_str(token);
        self.times.tokens += 1;
        match self.last_token.replace(now) {
            Some(last) => self.times.between_tokens.push(now - last),
            None => self.times.first_token = Some(now - self.intended),
        }
    }
}

/// Returns the time left of a timeout that began at the intended start.
pub(super) fn time_left(intended: Instant, timeout: Duration) -> Duration {
    timeout.saturating_sub(intended.elapsed())
}

//! One batch job: submit, wait for its end, and check each item's result.

use super::caller::{CallerClient, CallerRequest};
use super::chat::{CHAT_PATH, ChatCall};
use super::outcome::{FailureKind, JobTimes, RequestEnd};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The path of the batch API.
pub(super) const BATCHES_PATH: &str = "/v1/batches";

/// The time between two looks at the state of a job.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// A batch job to submit.
#[derive(Clone, Debug, Default)]
pub(super) struct BatchCall {
    /// The items that an engine can do.
    pub(super) items: Vec<ChatCall>,
    /// The number of further items, which have no messages.
    pub(super) bad_items: usize,
}

#[derive(Debug, Deserialize)]
struct JobStatus {
    id: String,
    status: String,
}

impl BatchCall {
    /// The items as JSONL.
    pub(super) fn body(&self) -> Bytes {
        let good = self.items.iter().map(ChatCall::body);
        let bad = std::iter::repeat_n(json!({}), self.bad_items);
        let mut text = String::new();
        for (number, body) in good.chain(bad).enumerate() {
            let line = json!({
                "custom_id": item_id(number),
                "method": "POST",
                "url": CHAT_PATH,
                "body": body,
            });
            text.push_str(&line.to_string());
            text.push('\n');
        }
        text.into()
    }

    /// Submits the job and times it from `intended`.
    pub(super) async fn run(
        &self,
        client: &CallerClient,
        request: CallerRequest<'_>,
        intended: Instant,
    ) -> RequestEnd {
        match self.try_run(client, request, intended).await {
            Ok(times) => RequestEnd::JobDone(times),
            Err(end) => end,
        }
    }

    async fn try_run(
        &self,
        client: &CallerClient,
        request: CallerRequest<'_>,
        intended: Instant,
    ) -> Result<JobTimes, RequestEnd> {
        let mut job = parse_status(&client.whole(request.clone()).await?)?;
        let path = format!("{BATCHES_PATH}/{}", job.id);
        let poll = CallerRequest {
            method: Method::GET,
            path: &path,
            idempotency_key: None,
            body: Bytes::new(),
            ..request
        };
        while job.status == "in_progress" {
            sleep(POLL_PERIOD).await;
            match client.whole(poll.clone()).await {
                Ok(body) => job = parse_status(&body)?,
                // A lost status answer says nothing about the job; ask again.
                Err(end) => log::debug!("load: status of job {} failed: {end:?}", job.id),
            }
        }
        let whole = intended.elapsed();
        let path = format!("{path}/results");
        let results = CallerRequest {
            path: &path,
            ..poll
        };
        let results = client.whole(results).await?;
        Ok(self.check_results(&results, whole))
    }

    fn check_results(&self, results: &[u8], whole: Duration) -> JobTimes {
        let mut lines: HashMap<String, u64> = HashMap::new();
        let mut completed = 0;
        for line in results.split(|byte| *byte == b'\n') {
            let Ok(value) = serde_json::from_slice::<Value>(line) else {
                continue;
            };
            let id = value["custom_id"].as_str().unwrap_or_default();
            *lines.entry(id.to_owned()).or_default() += 1;
            completed += u64::from(value["response"]["status_code"] == 200);
        }
        let total = self.items.len() + self.bad_items;
        let once = (0..total).filter(|number| lines.get(&item_id(*number)) == Some(&1));
        let once = once.count() as u64;
        JobTimes {
            whole,
            completed,
            failed: once.saturating_sub(completed),
            not_once: total as u64 - once,
        }
    }
}

fn item_id(number: usize) -> String {
    format!("item-{number}")
}

fn parse_status(body: &[u8]) -> Result<JobStatus, RequestEnd> {
    serde_json::from_slice(body).map_err(|_| RequestEnd::Failed(FailureKind::WrongAnswer))
}

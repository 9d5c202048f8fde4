//! Runs one batch job: submits it, polls its status until it ends and checks the
//! results of its items.

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

/// The interval between two status requests for a job.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A batch job to submit.
#[derive(Clone, Debug, Default)]
pub(super) struct BatchCall {
    /// The valid items.
    pub(super) items: Vec<ChatCall>,
    /// The number of further items, which are invalid since they have no messages.
    pub(super) bad_items: usize,
}

#[derive(Debug, Deserialize)]
struct JobStatus {
    id: String,
    status: String,
}

impl BatchCall {
    /// Returns the request body: the valid and then the invalid items, one JSON object
    /// per line.
    pub(super) fn body(&self) -> Bytes {
        let valid = self.items.iter().map(ChatCall::body);
        let invalid = std::iter::repeat_n(json!({}), self.bad_items);
        let mut text = String::new();
        for (number, body) in valid.chain(invalid).enumerate() {
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

    /// Submits the job, waits for its end and reads its results; `intended` is the
    /// scheduled start, from which the time is measured.
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
        let mut job = parse_status(&client.send_and_collect(request.clone()).await?)?;
        let path = format!("{BATCHES_PATH}/{}", job.id);
        let poll = CallerRequest {
            method: Method::GET,
            path: &path,
            idempotency_key: None,
            body: Bytes::new(),
            ..request
        };
        while job.status == "in_progress" {
            sleep(POLL_INTERVAL).await;
            match client.send_and_collect(poll.clone()).await {
                Ok(body) => job = parse_status(&body)?,
                // A failed status request says nothing about the job; poll again.
                Err(end) => log::debug!("load: status request for job {} failed: {end:?}", job.id),
            }
        }
        let total = intended.elapsed();
        let path = format!("{path}/results");
        let results = CallerRequest {
            path: &path,
            ..poll
        };
        let results = client.send_and_collect(results).await?;
        Ok(self.check_results(&results, total))
    }

    /// Counts the items by result; an item without exactly one line in the results
    /// counts as `not_once`.
    fn check_results(&self, results: &[u8], total: Duration) -> JobTimes {
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
        let item_count = self.items.len() + self.bad_items;
        let exactly_once =
            (0..item_count).filter(|number| lines.get(&item_id(*number)) == Some(&1));
        let exactly_once = exactly_once.count() as u64;
        JobTimes {
            total,
            completed,
            failed: exactly_once.saturating_sub(completed),
            not_once: item_count as u64 - exactly_once,
        }
    }
}

fn item_id(number: usize) -> String {
    format!("item-{number}")
}

fn parse_status(body: &[u8]) -> Result<JobStatus, RequestEnd> {
    serde_json::from_slice(body).map_err(|_| RequestEnd::Failed(FailureKind::WrongAnswer))
}

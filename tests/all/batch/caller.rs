//! A client of the batch API.

use crate::fixture::{
    DOCUMENT, FleetFixture, GrantedKey, HttpAnswer, HttpRequest, chat_body, eventually, send,
};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// A client that calls one host with one key.
pub(crate) struct BatchCaller {
    address: SocketAddr,
    key: String,
}

impl BatchCaller {
    pub(crate) fn new(fleet: &FleetFixture, host: usize, key: &GrantedKey) -> Self {
        Self {
            address: fleet.ports(host).callers,
            key: key.text.clone(),
        }
    }

    pub(crate) async fn try_submit(&self, name: &str, items: &str) -> HttpAnswer {
        let request = HttpRequest::post(self.address, "/v1/batches", items.to_owned())
            .with_key(&self.key)
            .with_field("chicoryladder-class", "digest")
            .with_field("idempotency-key", name);
        send(request).await.unwrap()
    }

    /// Submits a job and returns its id.
    pub(crate) async fn submit(&self, name: &str, items: &str) -> String {
        let answer = self.try_submit(name, items).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()["id"].as_str().unwrap().to_owned()
    }

    /// Waits until the host accepts the key.
    pub(crate) async fn wait_until_known(&self) {
        let known = || async {
            let path = format!("/v1/batches/{:032x}", 0);
            let request = HttpRequest::get(self.address, &path).with_key(&self.key);
            send(request).await.unwrap().reason() == Some("unknown_job")
        };
        eventually("the host accepts the key", known).await;
    }

    pub(crate) async fn status(&self, job: &str) -> Option<serde_json::Value> {
        let path = format!("/v1/batches/{job}");
        let request = HttpRequest::get(self.address, &path).with_key(&self.key);
        let answer = send(request).await.ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    pub(crate) async fn wait_completed(&self, job: &str) {
        let completed = || async {
            let status = self.status(job).await;
            status.is_some_and(|status| status["status"] == "completed")
        };
        eventually("the job is completed", completed).await;
    }

    pub(crate) async fn cancel(&self, job: &str) -> serde_json::Value {
        let path = format!("/v1/batches/{job}/cancel");
        let request = HttpRequest::post(self.address, &path, "").with_key(&self.key);
        let answer = send(request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()
    }

    /// The result lines available so far.
    pub(crate) async fn results(&self, job: &str) -> Vec<serde_json::Value> {
        let path = format!("/v1/batches/{job}/results");
        let request = HttpRequest::get(self.address, &path).with_key(&self.key);
        let answer = send(request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        let text = answer.text();
        let lines = text.lines().map(serde_json::from_str);
        lines.collect::<Result<_, _>>().unwrap()
    }

    /// The error code of each item, empty if it succeeded; panics if an item has
    /// more than one result.
    pub(crate) async fn outcomes(&self, job: &str) -> BTreeMap<String, String> {
        let mut outcomes = BTreeMap::new();
        for line in self.results(job).await {
            let name = line["custom_id"].as_str().unwrap().to_owned();
            let code = line["error"]["code"].as_str().unwrap_or_default();
            let earlier = outcomes.insert(name, code.to_owned());
            assert!(earlier.is_none(), "two results: {line}");
        }
        outcomes
    }
}

/// The lines of a job with `count` chat items of `tokens` completion tokens each.
pub(crate) fn chat_items(count: usize, tokens: u32) -> String {
    items(count, "/v1/chat/completions", |_| chat_body(tokens, false))
}

/// The lines of a job with `count` items, all for the path `url`.
pub(crate) fn items(count: usize, url: &str, body: impl Fn(usize) -> String) -> String {
    let mut lines = String::new();
    for item in 0..count {
        let body = body(item);
        writeln!(
            lines,
            r#"{{"custom_id":"item-{item}","method":"POST","url":"{url}","body":{body}}}"#
        )
        .unwrap();
    }
    lines
}

/// The example document, with charges also allowed in the batch class `digest`.
pub(crate) fn charge_document() -> String {
    DOCUMENT.replace(
        "to = service rent-ledger\nclasses = receipt",
        "to = service rent-ledger\nclasses = receipt, digest",
    )
}

/// The body of the charge of an item.
pub(crate) fn charge(item: usize) -> String {
    format!(r#"{{"stall":{item},"rupees":120}}"#)
}

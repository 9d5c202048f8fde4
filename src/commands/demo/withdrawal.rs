//! Probes every host with a key repeatedly, before and after its withdrawal.

use crate::client::{ApiClient, ApiRequest};
use crate::local_fleet::MODEL;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The time within which a withdrawn key must stop working.
pub(super) const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// How long the key is probed after that limit.
const PROBE_AFTER_LIMIT: Duration = Duration::from_millis(500);

/// The interval between two probes of a host.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// Counts of the responses to requests with the withdrawn key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WithdrawalRecord {
    /// Requests served before the withdrawal.
    pub served_before: u64,
    /// Requests served after the withdrawal, within the limit.
    pub served_within_limit: u64,
    /// Requests served after the limit.
    pub served_after_limit: u64,
    /// Requests refused after the limit.
    pub refused_after_limit: u64,
}

impl WithdrawalRecord {
    fn count_response(&mut self, served: bool, age: Option<Duration>) {
        match age {
            None => self.served_before += u64::from(served),
            Some(age) if age <= WITHDRAWAL_LIMIT => self.served_within_limit += u64::from(served),
            Some(_) if served => self.served_after_limit += 1,
            Some(_) => self.refused_after_limit += 1,
        }
    }

    fn add(&mut self, other: Self) {
        self.served_before += other.served_before;
        self.served_within_limit += other.served_within_limit;
        self.served_after_limit += other.served_after_limit;
        self.refused_after_limit += other.refused_after_limit;
    }
}

/// The running probes of a key, one for each host.
pub(super) struct WithdrawalProbe {
    withdrawn_at: watch::Sender<Option<Instant>>,
    probes: JoinSet<WithdrawalRecord>,
}

impl WithdrawalProbe {
    pub(super) fn start(callers: Vec<SocketAddr>, key: &str) -> Self {
        let withdrawn_at = watch::Sender::new(None);
        let mut probes = JoinSet::new();
        for address in callers {
            let client = ApiClient {
                addresses: vec![address],
                credential: key.to_owned(),
                remedy: String::new(),
            };
            probes.spawn(probe_host(client, withdrawn_at.subscribe()));
        }
        Self {
            withdrawn_at,
            probes,
        }
    }

    pub(super) fn mark_withdrawn(&self) {
        self.withdrawn_at.send_replace(Some(Instant::now()));
    }

    /// Waits until every host was probed past the limit and returns the counts.
    pub(super) async fn finish(mut self) -> WithdrawalRecord {
        let withdrawn_at = *self.withdrawn_at.borrow();
        if let Some(withdrawn_at) = withdrawn_at {
            sleep_until(withdrawn_at + WITHDRAWAL_LIMIT + PROBE_AFTER_LIMIT).await;
        }
        // The probes end when the sender is dropped.
        drop(self.withdrawn_at);
        let mut record = WithdrawalRecord::default();
        while let Some(ended) = self.probes.join_next().await {
            record.add(ended.unwrap_or_default());
        }
        record
    }
}

async fn probe_host(
    client: ApiClient,
    withdrawn_at: watch::Receiver<Option<Instant>>,
) -> WithdrawalRecord {
    let mut record = WithdrawalRecord::default();
    let body = json!({
        "model": MODEL,
        "max_tokens": 1,
        "messages": [{ "role": "user", "content": "probe" }],
    });
    let Ok(request) = ApiRequest::new(Method::POST, "/v1/chat/completions").with_json(&body) else {
        return record;
    };
    while withdrawn_at.has_changed().is_ok() {
        // The age is taken at the start of a request, as one that starts before
        // the withdrawal may be served after it.
        let age = withdrawn_at.borrow().map(|since| since.elapsed());
        if let Ok(answer) = client.send(&request).await {
            record.count_response(answer.status.is_success(), age);
        }
        sleep(PROBE_PERIOD).await;
    }
    record
}

//! Uses a key on every host, again and again, before and after its withdrawal.

use crate::client::{ApiClient, ApiRequest};
use crate::local_fleet::MODEL;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// The time after a withdrawal within which the key must stop working.
pub(super) const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// The time for which the key is used after that.
const WATCH_AFTER_LIMIT: Duration = Duration::from_millis(500);

/// The time between two uses on one host.
const PROBE_PERIOD: Duration = Duration::from_millis(100);

/// What the uses of a withdrawn key showed.
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
    fn note(&mut self, served: bool, age: Option<Duration>) {
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

/// The running uses of one key.
pub(super) struct WithdrawalProbe {
    withdrawn: watch::Sender<Option<Instant>>,
    probes: JoinSet<WithdrawalRecord>,
}

impl WithdrawalProbe {
    pub(super) fn start(callers: Vec<SocketAddr>, key: &str) -> Self {
        let withdrawn = watch::Sender::new(None);
        let mut probes = JoinSet::new();
        for address in callers {
            let client = ApiClient {
                addresses: vec![address],
                credential: key.to_owned(),
                remedy: String::new(),
            };
            probes.spawn(probe_host(client, withdrawn.subscribe()));
        }
        Self { withdrawn, probes }
    }

    pub(super) fn note_withdrawn(&self) {
        self.withdrawn.send_replace(Some(Instant::now()));
    }

    /// Waits until the key was used past the limit on every host.
    pub(super) async fn finish(mut self) -> WithdrawalRecord {
        let withdrawn = *self.withdrawn.borrow();
        if let Some(withdrawn) = withdrawn {
            sleep_until(withdrawn + WITHDRAWAL_LIMIT + WATCH_AFTER_LIMIT).await;
        }
        // The probes end when the sender is gone.
        drop(self.withdrawn);
        let mut record = WithdrawalRecord::default();
        while let Some(ended) = self.probes.join_next().await {
            record.add(ended.unwrap_or_default());
        }
        record
    }
}

async fn probe_host(
    client: ApiClient,
    withdrawn: watch::Receiver<Option<Instant>>,
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
    while withdrawn.has_changed().is_ok() {
        // A request counts by its start, so one that began before the
        // withdrawal may end after it.
        let age = withdrawn.borrow().map(|since| since.elapsed());
        if let Ok(answer) = client.send(&request).await {
            record.note(answer.status.is_success(), age);
        }
        sleep(PROBE_PERIOD).await;
    }
    record
}

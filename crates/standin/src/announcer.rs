//! Announces a stand-in to entry hosts and renews the announcement.

use bytes::Bytes;
use chicoryladder_types::{ServerAnnouncement, ServerGeneration, ServerLoad};
use futures_util::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// The path of the announcement on an entry host.
const ANNOUNCE_PATH: &str = "/servers/v1/announce";

/// The longest wait for an entry host to take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the announcements say at present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncerState {
    /// Whether announcements are sent at all; a crashed server sends none.
    pub(crate) announces: bool,
    /// Whether the server takes no new work.
    pub(crate) leaving: bool,
    /// The incarnation of the server.
    pub(crate) generation: ServerGeneration,
}

/// Sends the announcements of one stand-in to its entry hosts.
#[derive(Debug)]
pub(crate) struct ServerAnnouncer {
    client: Client<HttpConnector, Full<Bytes>>,
    entry_hosts: Vec<SocketAddr>,
    template: ServerAnnouncement,
    load: watch::Receiver<ServerLoad>,
}

impl ServerAnnouncer {
    pub(crate) fn new(
        entry_hosts: Vec<SocketAddr>,
        template: ServerAnnouncement,
        load: watch::Receiver<ServerLoad>,
    ) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self {
            client,
            entry_hosts,
            template,
            load,
        }
    }

    /// Announces every `period` and at each change of state, until it is aborted
    /// or the state's sender is gone.
    pub(crate) async fn run(
        self: Arc<Self>,
        period: Duration,
        mut state: watch::Receiver<AnnouncerState>,
    ) {
        let mut ticks = interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = state.changed() => if changed.is_err() { return },
            }
            let current = *state.borrow_and_update();
            self.announce(current).await;
        }
    }

    /// Announces once to every entry host and waits for their answers.
    pub(crate) async fn announce(&self, state: AnnouncerState) {
        if !state.announces {
            return;
        }
        let announcement = ServerAnnouncement {
            generation: state.generation,
            leaving: state.leaving,
            load: *self.load.borrow(),
            ..self.template.clone()
        };
        let Ok(body) = serde_json::to_vec(&announcement) else {
            return;
        };
        let body = Bytes::from(body);
        let posts = self
            .entry_hosts
            .iter()
            .map(|host| self.post(*host, body.clone()));
        join_all(posts).await;
    }

    async fn post(&self, host: SocketAddr, body: Bytes) {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        let Ok(uri) = format!("http://{host}{ANNOUNCE_PATH}").parse() else {
            return;
        };
        *request.uri_mut() = uri;
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        let answered = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|e| e.to_string())?;
            let status = response.status();
            // The body is read to its end so that the connection can be used again.
            let _ = response.into_body().collect().await;
            if status.is_success() {
                Ok(())
            } else {
                Err(format!("status {status}"))
            }
        };
        match timeout(ANNOUNCE_TIMEOUT, answered).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::debug!("standin: announcement to {host} failed: {error}"),
            Err(_) => log::debug!("standin: announcement to {host} timed out"),
        }
    }
}

//! An HTTP client that posts reports to the server ports of the entry hosts.

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The longest wait for an entry host to accept a post, and to send the body of
/// its response.
const POST_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason why a post failed.
#[derive(Debug, thiserror::Error)]
enum PostError {
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Send(#[from] hyper_util::client::legacy::Error),
    #[error("status {0}")]
    Status(hyper::StatusCode),
    #[error("no response within {POST_TIMEOUT:?}")]
    Timeout(#[from] tokio::time::error::Elapsed),
}

/// Posts to every entry host that a stand-in reports to.
#[derive(Clone, Debug)]
pub(crate) struct EntryHostClient {
    client: Client<HttpConnector, Full<Bytes>>,
    hosts: Vec<SocketAddr>,
}

impl EntryHostClient {
    pub(crate) fn new(hosts: Vec<SocketAddr>) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, hosts }
    }

    /// Posts a value as JSON to each host; a failure is logged and not retried.
    pub(crate) async fn post_all(&self, path: &str, value: &impl Serialize) {
        let body = match serde_json::to_vec(value) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!("standin: cannot serialize the body for {path}: {error}");
                return;
            }
        };
        let posts = self
            .hosts
            .iter()
            .map(|host| self.post(*host, path, body.clone()));
        join_all(posts).await;
    }

    async fn post(&self, host: SocketAddr, path: &str, body: Bytes) {
        if let Err(error) = self.try_post(host, path, body).await {
            log::debug!("standin: post to {host}{path} failed: {error}");
        }
    }

    async fn try_post(&self, host: SocketAddr, path: &str, body: Bytes) -> Result<(), PostError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{host}{path}"))
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(body))?;
        let response = timeout(POST_TIMEOUT, self.client.request(request)).await??;
        let status = response.status();
        // The body is read to its end so that the connection can be reused.
        let _ = timeout(POST_TIMEOUT, response.into_body().collect()).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(PostError::Status(status))
        }
    }
}

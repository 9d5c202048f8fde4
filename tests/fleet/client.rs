//! A minimal HTTP client for callers and operators.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A response as received.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body was received to its end.
    pub(crate) complete: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    /// Whether the status guarantees that the request has not run.
    pub(crate) fn guarantees_not_run(&self) -> bool {
        matches!(self.status.as_u16(), 408 | 421 | 429 | 503)
    }
}

/// A request that is sent on a new connection.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) fields: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
    pub(crate) timeout: Duration,
}

impl Call {
    pub(crate) fn new(address: SocketAddr, method: Method, path: &str) -> Self {
        Self {
            address,
            method,
            path: path.to_owned(),
            fields: vec![("host", "walks.example".to_owned())],
            body: Bytes::new(),
            timeout: Duration::from_secs(10),
        }
    }

    pub(crate) fn field(mut self, name: &'static str, value: &str) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }

    pub(crate) fn key(self, key: &str) -> Self {
        self.field("authorization", &format!("Bearer {key}"))
    }

    pub(crate) fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Sends the request; `None` if the connection fails or the response does not end
    /// within the time-out.
    pub(crate) async fn send(&self) -> Option<Answer> {
        tokio::time::timeout(self.timeout, self.exchange())
            .await
            .ok()?
    }

    async fn exchange(&self) -> Option<Answer> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .ok()?;
        let connection = tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path);
        for (name, value) in &self.fields {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(self.body.clone()))
            .expect("a valid request");
        let response = sender.send_request(request).await.ok()?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let complete = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            }
        };
        connection.abort();
        Some(Answer {
            status: parts.status,
            headers: parts.headers,
            body: bytes.into(),
            complete,
        })
    }
}

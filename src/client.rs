//! The HTTP client of the commands.
//!
//! Hosts are tried in order until one responds. This is safe for every command:
//! a request either only reads, or carries an operation id or idempotency key,
//! so that a resend returns the result of the first execution.

mod answer;
mod connection;

pub use answer::ApiAnswer;

use crate::error::CommandError;
use connection::exchange;
use hyper::Method;
use hyper::body::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request to one host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP client that fails over between hosts.
#[derive(Clone, Debug)]
pub struct ApiClient {
    /// Addresses of the hosts, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// The bearer credential.
    pub credential: String,
    /// Advice to show if no host responds.
    pub remedy: String,
}

/// A request that any host can serve.
#[derive(Clone, Debug)]
pub struct ApiRequest<'a> {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: &'a str,
    /// Header fields other than the credential.
    pub fields: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl<'a> ApiRequest<'a> {
    /// Creates a request without a body.
    #[must_use]
    pub fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            fields: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Sets a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialized.
    pub fn with_json(mut self, value: &impl Serialize) -> Result<Self, CommandError> {
        let bytes =
            serde_json::to_vec(value).map_err(|error| CommandError::failed(error.to_string()))?;
        self.body = Bytes::from(bytes);
        self.fields
            .push(("content-type", "application/json".to_owned()));
        Ok(self)
    }
}

impl ApiClient {
    /// Sends a request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if no host responds, if the host refuses the request, or if the
    /// response cannot be parsed.
    pub async fn call<T: DeserializeOwned>(
        &self,
        request: &ApiRequest<'_>,
    ) -> Result<T, CommandError> {
        self.send(request).await?.checked()?.json()
    }

    /// Sends a request to each host in order until one responds.
    ///
    /// # Errors
    ///
    /// Fails if no host responds.
    pub async fn send(&self, request: &ApiRequest<'_>) -> Result<ApiAnswer, CommandError> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            let attempt = exchange(*address, &self.credential, request);
            match tokio::time::timeout(ANSWER_TIMEOUT, attempt).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(failure)) => failures.push(format!("{address}: {failure}")),
                Err(_) => failures.push(format!("{address}: no response in time")),
            }
        }
        Err(CommandError::Unreachable {
            detail: failures.join(", "),
            remedy: self.remedy.clone(),
        })
    }
}

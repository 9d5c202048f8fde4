//! The HTTP client of the commands.
//!
//! Hosts are tried in turn until one answers. That is safe for every command:
//! each request is either a read, or carries an operation id or idempotency
//! key under which a resend gets the first answer.

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

/// The longest wait for the answer of one host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests to one of several hosts.
#[derive(Clone, Debug)]
pub struct ApiClient {
    /// The hosts, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// The bearer credential.
    pub credential: String,
    /// What to check if no host answers.
    pub remedy: String,
}

/// One request, to be sent to any host.
#[derive(Clone, Debug)]
pub struct ApiRequest<'a> {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: &'a str,
    /// Header fields besides the credential.
    pub fields: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl<'a> ApiRequest<'a> {
    /// A request without a body.
    #[must_use]
    pub fn new(method: Method, path: &'a str) -> Self {
        Self {
            method,
            path,
            fields: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the value has no JSON form.
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
    /// Sends a request and reads the JSON answer.
    ///
    /// # Errors
    ///
    /// Fails if no host answers, or with the host's refusal.
    pub async fn call<T: DeserializeOwned>(
        &self,
        request: &ApiRequest<'_>,
    ) -> Result<T, CommandError> {
        self.send(request).await?.checked()?.json()
    }

    /// Sends a request to the first host that answers.
    ///
    /// # Errors
    ///
    /// Fails if none does.
    pub async fn send(&self, request: &ApiRequest<'_>) -> Result<ApiAnswer, CommandError> {
        let mut failures = Vec::new();
        for address in &self.addresses {
            let attempt = exchange(*address, &self.credential, request);
            match tokio::time::timeout(ANSWER_TIMEOUT, attempt).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(failure)) => failures.push(format!("{address}: {failure}")),
                Err(_) => failures.push(format!("{address}: no answer in time")),
            }
        }
        Err(CommandError::Unreachable {
            detail: failures.join(", "),
            remedy: self.remedy.clone(),
        })
    }
}

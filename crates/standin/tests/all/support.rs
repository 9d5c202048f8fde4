//! An HTTP client and stand-in options for the tests.

use bytes::Bytes;
use chicoryladder_standin::{EngineOptions, EngineTiming, PlainOptions};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// A client that keeps connections open between requests.
pub(crate) struct TestClient(Client<HttpConnector, Full<Bytes>>);

impl TestClient {
    pub(crate) fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response<Bytes>, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())));
        let response = self.0.request(request.unwrap()).await;
        let (parts, body) = response.map_err(|error| error.to_string())?.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }

    pub(crate) async fn chat(
        &self,
        address: SocketAddr,
        id: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> Result<Response<Bytes>, String> {
        let body = serde_json::json!({
            "model": "m", "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let headers = [("x-request-id", id)];
        let path = "/v1/chat/completions";
        self.send(Method::POST, address, path, &headers, &body.to_string())
            .await
    }
}

/// Options of an engine without simulated computing times.
pub(crate) fn fast_engine(name: &str) -> EngineOptions {
    let name = name.try_into().unwrap();
    let zone = "a".try_into().unwrap();
    let mut options = EngineOptions::new(name, zone, "m".try_into().unwrap());
    options.timing = EngineTiming {
        prefill_per_token: Duration::ZERO,
        decode_step: Duration::ZERO,
        decode_per_sequence: Duration::ZERO,
    };
    options.load_lag = Duration::ZERO;
    options
}

/// Options of a plain service that offers the service `ledger`.
pub(crate) fn plain_service(name: &str) -> PlainOptions {
    let name = name.try_into().unwrap();
    let zone = "a".try_into().unwrap();
    PlainOptions::new(name, zone, "ledger".try_into().unwrap())
}

/// Returns the text of a streamed chat response and whether it has its end marker.
pub(crate) fn stream_text(body: &Bytes) -> (String, bool) {
    let body = std::str::from_utf8(body).unwrap();
    let mut text = String::new();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return (text, true);
        }
        let value: serde_json::Value = serde_json::from_str(data).unwrap();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap());
    }
    (text, false)
}

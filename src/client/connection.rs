//! A request over a connection of its own.

use super::{ApiAnswer, ApiRequest};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper::header::{AUTHORIZATION, HOST};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Why a request to one host failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
    #[error("the request is malformed: {0}")]
    Malformed(#[from] hyper::http::Error),
}

/// Sends `request` over a new connection and reads the complete response.
pub(super) async fn exchange(
    address: SocketAddr,
    credential: &str,
    request: &ApiRequest<'_>,
) -> Result<ApiAnswer, ExchangeError> {
    let message = build(address, credential, request)?;
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(message).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok(ApiAnswer { status, body })
}

fn build(
    address: SocketAddr,
    credential: &str,
    request: &ApiRequest<'_>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(request.path)
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, format!("Bearer {credential}"));
    for (name, value) in &request.fields {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(request.body.clone()))
}

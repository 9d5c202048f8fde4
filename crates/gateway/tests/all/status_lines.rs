//! Responses whose status line has no valid status.

use crate::raw::{RawAnswer, raw_server};
use chicoryladder_gateway::{ServerClient, ServerRequest};
use chicoryladder_types::prelude::*;
use hyper::{HeaderMap, Method};
use std::time::Duration;

const ID: RequestId = RequestId::new(7);

const STATUSES: [&str; 9] = [
    "000", "000 OK", "001 OK", "099 OK", "99 OK", "1000 OK", "2e2 OK", "-20 OK", "OK",
];

/// Guards against an answer with status 000, and the like, that a caller gets as an answer.
#[tokio::test]
async fn a_response_without_a_valid_status_is_the_servers_fault() {
    for status in STATUSES {
        let text =
            format!("HTTP/1.1 {status}\r\nx-request-id: {ID}\r\ncontent-length: 2\r\n\r\n{{}}");
        let request = ServerRequest {
            address: raw_server(RawAnswer::Bytes(text)).await,
            id: ID,
            requires_id: true,
            method: Method::POST,
            path_and_query: "/v1/completions".to_owned(),
            headers: HeaderMap::new(),
            body: "{}".into(),
            first_byte_timeout: Duration::from_secs(10),
        };
        let failure = ServerClient::new().send(&request).await.unwrap_err();
        assert_eq!(failure.verdict, RunVerdict::MayHaveRun, "{status}");
        assert_eq!(failure.reason, RetryReason::ResponseMismatched, "{status}");
    }
}

//! HTTP service for announcements of backend servers.

use crate::answer::json_answer;
use crate::body::AnswerBody;
use crate::body_reader::{BodyLimits, read_body};
use crate::listener::HttpService;
use crate::ports::ServerPort;
use chicoryladder_types::ServerAnnouncement;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// The limits on an announcement.
const ANNOUNCEMENT_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 64 * 1024,
    timeout: Duration::from_secs(5),
};

/// Handles requests on the TCP port for backend servers.
pub struct ServerService {
    /// Receives the announcements.
    pub port: Arc<dyn ServerPort>,
    /// The time within which a server has to renew its announcement.
    pub renew_within: Duration,
}

/// The response to an announcement.
#[derive(Serialize)]
struct AnnounceAnswer {
    renew_within_ms: u128,
}

impl HttpService for ServerService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.route(request).boxed()
    }
}

impl ServerService {
    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/servers/v1/announce") => self.announce(request).await,
            (_, "/servers/v1/announce") => Err(RequestRefusal::not_run(
                RefusalReason::WrongMethod,
                "this path takes POST",
            )),
            (_, path) => Err(RequestRefusal::not_run(
                RefusalReason::UnknownRoute,
                format!("this port has no path {path}"),
            )),
        }
    }

    async fn announce(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let (parts, body) = request.into_parts();
        let body = read_body(&parts.extensions, body, ANNOUNCEMENT_LIMITS).await?;
        let announcement: ServerAnnouncement = serde_json::from_slice(&body).map_err(|error| {
            let detail = format!("the announcement is malformed: {error}");
            RequestRefusal::not_run(RefusalReason::BadRequest, detail)
        })?;
        self.port.announce(announcement);
        let answer = AnnounceAnswer {
            renew_within_ms: self.renew_within.as_millis(),
        };
        Ok(json_answer(200, &answer))
    }
}

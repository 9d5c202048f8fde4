//! HTTP service for operators.

use crate::answer::typed_answer;
use crate::body::AnswerBody;
use crate::body_reader::{BodyLimits, read_body};
use crate::credentials::bearer_key;
use crate::listener::{HttpService, RemoteAddress};
use crate::ports::{AdminRequest, OperatorPort};
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use std::sync::Arc;
use std::time::Duration;
use subtle::ConstantTimeEq;

/// The path prefix of the administration API.
const ADMIN_ROOT: &str = "/admin/v1/";

/// The limits on the body of an operator's request.
const ADMIN_BODY_LIMITS: BodyLimits = BodyLimits {
    max_bytes: 8 * 1024 * 1024,
    timeout: Duration::from_secs(10),
};

/// The path of the status board page.
const BOARD_PATH: &str = "/board";

/// The status board page. It is served without authentication, since it contains
/// no data: its script fetches the data with the operator's token.
const BOARD_PAGE: &str = include_str!("board.html");

/// Handles requests on the TCP port for operators.
pub struct OperatorService {
    /// Handles authenticated requests.
    pub port: Arc<dyn OperatorPort>,
    /// The bearer token that operators present.
    pub token: String,
}

impl HttpService for OperatorService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        self.route(request).boxed()
    }
}

impl OperatorService {
    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, RequestRefusal> {
        let path = request.uri().path().to_owned();
        if path == BOARD_PATH {
            return board_page(request.method());
        }
        self.authenticate(request.headers())?;
        if path == "/metrics" {
            let kind = "text/plain; version=0.0.4";
            return Ok(typed_answer(200, kind, self.port.metrics().into_bytes()));
        }
        let Some(admin_path) = path.strip_prefix(ADMIN_ROOT) else {
            let detail = format!("this port has no path {path}");
            return Err(RequestRefusal::not_run(RefusalReason::UnknownRoute, detail));
        };
        let method = request.method().clone();
        let (parts, body) = request.into_parts();
        let body = read_body(&parts.extensions, body, ADMIN_BODY_LIMITS).await?;
        let request = AdminRequest {
            method,
            path: admin_path.to_owned(),
            body,
            remote: parts
                .extensions
                .get::<RemoteAddress>()
                .map(|remote| remote.0),
        };
        self.port.admin(request).await
    }

    fn authenticate(&self, fields: &HeaderMap) -> Result<(), RequestRefusal> {
        let presented = bearer_key(fields).ok_or_else(|| {
            let detail = "operators present their token as a bearer key";
            RequestRefusal::not_run(RefusalReason::MissingKey, detail)
        })?;
        if presented.as_bytes().ct_eq(self.token.as_bytes()).into() {
            return Ok(());
        }
        let detail = "the operator token is wrong";
        Err(RequestRefusal::not_run(RefusalReason::UnknownKey, detail))
    }
}

fn board_page(method: &Method) -> Result<Response<AnswerBody>, RequestRefusal> {
    if method == Method::GET {
        let kind = "text/html; charset=utf-8";
        return Ok(typed_answer(200, kind, BOARD_PAGE.as_bytes().to_vec()));
    }
    let detail = format!("this path takes GET, not {method}");
    Err(RequestRefusal::not_run(RefusalReason::WrongMethod, detail))
}

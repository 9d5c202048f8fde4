//! The product's own HTTP calls on the port of operators and servers: `GET /explain/...`. All
//! others are those of the platform.

use super::question::{EXPLAIN_PATH, PlacementQuestion, RawQuestion};
use super::relay::ControlRelay;
use crate::message::{ControlAnswer, ControlCall};
use chicoryladder_gateway::{AnswerBody, HttpService, bearer_key, bytes_body, refusal_answer};
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Response};
use std::sync::Arc;

/// Answers questions, and passes all other calls on.
pub(super) struct ExplainService {
    pub(super) relay: Arc<ControlRelay>,
    /// The calls of the platform.
    pub(super) calls: Arc<dyn HttpService>,
}

impl HttpService for ExplainService {
    fn call(
        &self,
        request: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        if !request.uri().path().starts_with(EXPLAIN_PATH) {
            return self.calls.call(request);
        }
        let (head, _) = request.into_parts();
        async move {
            let answer = self.answer(&head).await;
            Ok(answer.unwrap_or_else(|refusal| refusal_answer(&refusal)))
        }
        .boxed()
    }
}

impl ExplainService {
    async fn answer(&self, head: &request::Parts) -> Result<Response<AnswerBody>, RequestRefusal> {
        if head.method != Method::GET {
            let detail = "questions are asked with GET";
            return Err(RequestRefusal::not_run(RefusalReason::WrongMethod, detail));
        }
        let raw = RawQuestion {
            path: head.uri.path(),
            query: head.uri.query().unwrap_or_default(),
            key: bearer_key(&head.headers).filter(|key| !key.is_empty()),
            own_zone: &self.relay.base.settings.host.zone,
        };
        let question = PlacementQuestion::try_from(raw).map_err(|error| error.refusal())?;
        let call = ControlCall::Explain(Box::new(question));
        match self.relay.relay(call).await {
            Ok(ControlAnswer::Explained(report)) => {
                let mut response = Response::new(bytes_body(report));
                let kind = HeaderValue::from_static("application/json");
                response.headers_mut().insert(CONTENT_TYPE, kind);
                Ok(response)
            }
            Ok(ControlAnswer::QuestionRefused(error)) => Err(error.refusal()),
            Ok(_) | Err(_) => {
                let detail = "no leader of the control group answered";
                Err(RequestRefusal::not_run(RefusalReason::NoQuorum, detail))
            }
        }
    }
}

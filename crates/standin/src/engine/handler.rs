//! Turns HTTP requests to an engine into sequences and builds the responses.

use super::batcher::SequenceRequest;
use super::completion::{CompletionKind, CompletionParams, prompt_tokens};
use super::completion_response::CompletionResponse;
use super::counters::{CounterSet, increment};
use super::orders::OrderExecutor;
use super::prefix_cache::prompt_blocks;
use super::streams::{AcceptedRequest, CancelFlag, StreamStore};
use crate::listener::{ConnectionDrop, ListenerControl, RequestHandler};
use crate::record::RequestRecord;
use crate::response::{ResponseBody, add_header, error_response, json_response};
use crate::{FaultPlan, ReceivedRequest};
use chicoryladder_types::{ClockSource, RunVerdict, ServerLoad, headers};
use futures_util::future::BoxFuture;
use hyper::{Method, Response, StatusCode};
use serde_json::json;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};

/// The prefix of a stream's path; the request id follows.
const STREAMS_PREFIX: &str = "/v1/streams/";

/// The header field with the id of the last event that a resuming caller received.
const LAST_EVENT_ID: &str = "last-event-id";

/// The id of a mismatched response when there was no earlier request.
const UNRELATED_REQUEST_ID: &str = "ffffffffffffffffffffffffffffffff";

/// The prompt of a mismatched response when there was no earlier request.
const UNRELATED_PROMPT: &str = "foreign";

/// Handles the HTTP requests to one engine.
pub(super) struct EngineHandler {
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) default_output_tokens: u32,
    pub(super) sequences: mpsc::UnboundedSender<SequenceRequest>,
    pub(super) reported_load: watch::Receiver<ServerLoad>,
    pub(super) faults: watch::Receiver<FaultPlan>,
    pub(super) counters: Arc<CounterSet>,
    pub(super) listener: ListenerControl,
    pub(super) record: RequestRecord,
    pub(super) previous: PreviousRequest,
    pub(super) streams: StreamStore,
    pub(super) orders: OrderExecutor,
}

/// The previous request, which is answered instead of the current one while
/// [`FaultPlan::mismatches_response`] is set.
#[derive(Debug, Default)]
pub(super) struct PreviousRequest(Mutex<Option<AcceptedRequest>>);

impl PreviousRequest {
    fn replace(&self, request: &AcceptedRequest) -> Option<AcceptedRequest> {
        let mut previous = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        previous.replace(request.clone())
    }
}

impl RequestHandler for EngineHandler {
    fn handle(
        self: Arc<Self>,
        request: ReceivedRequest,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, ConnectionDrop>> {
        Box::pin(async move { self.respond(request).await })
    }
}

impl EngineHandler {
    async fn respond(
        &self,
        request: ReceivedRequest,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        self.record.push(&request);
        let mut response = match (&request.method, request.route()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, &request).await?
            }
            (&Method::POST, "/v1/completions") => {
                self.complete(CompletionKind::Text, &request).await?
            }
            (&Method::GET, "/orders") => self.orders.report_state(),
            (&Method::POST, "/orders") => self.orders.handle(&request),
            (&Method::GET, "/v1/models") => self.model_list(),
            (&Method::GET, "/healthz") => json_response(StatusCode::OK, &json!({ "status": "ok" })),
            (method, route) => match route.strip_prefix(STREAMS_PREFIX) {
                Some(id) if method == Method::GET => self.resume(id, &request).await?,
                Some(id) if method == Method::DELETE => self.cancel(id),
                _ => not_found_response("no such route"),
            },
        };
        let load = *self.reported_load.borrow();
        add_header(&mut response, headers::SERVER_LOAD, &load.to_string());
        if self.faults.borrow().says_leaving {
            add_header(&mut response, headers::SERVER_LEAVING, "1");
        }
        Ok(response)
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        request: &ReceivedRequest,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        increment(&self.counters.received);
        let faults = self.faults.borrow().clone();
        if faults.refuses {
            increment(&self.counters.refused);
            return Ok(not_run_response(request));
        }
        if faults.crashes_on(&request.body) {
            increment(&self.counters.crashes);
            self.listener.crash().await;
            return Err(ConnectionDrop);
        }
        let params = match CompletionParams::try_from((kind, request.body.as_ref())) {
            Ok(params) => params,
            Err(error) => {
                let message = error.to_string();
                return Ok(error_response(
                    StatusCode::BAD_REQUEST,
                    "bad_request",
                    &message,
                ));
            }
        };
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let accepted = AcceptedRequest {
            id: id.to_owned(),
            params,
            cancel: CancelFlag::default(),
        };
        let previous = self.previous.replace(&accepted);
        let effective_request = if faults.mismatches_response {
            previous.unwrap_or_else(|| unrelated_request(&accepted))
        } else {
            accepted
        };
        self.generate(effective_request, 0, &faults).await
    }

    /// Streams the tokens after the last one that the caller received.
    async fn resume(
        &self,
        id: &str,
        request: &ReceivedRequest,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        let Some(mut accepted) = self.streams.get(id) else {
            return Ok(not_found_response("no such stream"));
        };
        let seen: Option<u32> = request
            .header(LAST_EVENT_ID)
            .and_then(|number| number.parse().ok());
        let first_token = seen.map_or(0, |number| number.saturating_add(1));
        accepted.cancel.set();
        accepted.cancel = CancelFlag::default();
        let faults = self.faults.borrow().clone();
        self.generate(accepted, first_token, &faults).await
    }

    fn cancel(&self, id: &str) -> Response<ResponseBody> {
        let Some(accepted) = self.streams.get(id) else {
            return not_found_response("no such stream");
        };
        accepted.cancel.set();
        json_response(StatusCode::OK, &json!({ "id": id, "cancelled": true }))
    }

    async fn generate(
        &self,
        accepted: AcceptedRequest,
        first_token: u32,
        faults: &FaultPlan,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        if accepted.params.stream {
            self.streams.insert(&accepted);
        }
        let AcceptedRequest { id, params, cancel } = accepted;
        let output_tokens = params.output_tokens.unwrap_or(self.default_output_tokens);
        let (sender, tokens) = mpsc::unbounded_channel();
        let sequence = SequenceRequest {
            prompt_tokens: prompt_tokens(&params.prompt).saturating_add(first_token),
            blocks: prompt_blocks(&params.prompt),
            first_token,
            output_tokens,
            cancel,
            tokens: sender,
        };
        self.sequences.send(sequence).map_err(|_| ConnectionDrop)?;
        if let Some(delay) = faults.delay {
            tokio::time::sleep(delay).await;
        }
        let completion = CompletionResponse::new(&params, &id, output_tokens, self.clock.as_ref());
        let truncates_after = faults.truncates_after;
        let mut response = if params.stream {
            completion.streamed(tokens, first_token, truncates_after)
        } else {
            completion
                .complete(tokens, truncates_after)
                .await
                .ok_or(ConnectionDrop)?
        };
        add_header(&mut response, headers::REQUEST_ID, &id);
        Ok(response)
    }

    fn model_list(&self) -> Response<ResponseBody> {
        let models = self.orders.models();
        let models: Vec<_> = models
            .iter()
            .map(|model| json!({ "id": model.as_str(), "object": "model" }))
            .collect();
        json_response(StatusCode::OK, &json!({ "object": "list", "data": models }))
    }
}

fn not_run_response(request: &ReceivedRequest) -> Response<ResponseBody> {
    let message = "the engine takes no request at present";
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
    let verdict = RunVerdict::NotRun.as_str();
    add_header(&mut response, headers::SERVER_VERDICT, verdict);
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    add_header(&mut response, headers::REQUEST_ID, id);
    response
}

fn not_found_response(message: &str) -> Response<ResponseBody> {
    error_response(StatusCode::NOT_FOUND, "not_found", message)
}

fn unrelated_request(accepted: &AcceptedRequest) -> AcceptedRequest {
    AcceptedRequest {
        id: UNRELATED_REQUEST_ID.to_owned(),
        params: CompletionParams {
            prompt: UNRELATED_PROMPT.to_owned(),
            ..accepted.params.clone()
        },
        cancel: CancelFlag::default(),
    }
}

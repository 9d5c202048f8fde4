//! Turns HTTP requests to an engine into sequences and answers.

use super::batcher::SequenceOrder;
use super::completion::{CompletionKind, CompletionOrder, prompt_tokens};
use super::counters::{CounterSet, count};
use super::orders::OrderBook;
use super::prefix_cache::prompt_blocks;
use super::reply::CompletionReply;
use super::streams::{AcceptedRequest, CancelFlag, StreamStore};
use crate::answer::{AnswerBody, add_header, error_answer, json_answer};
use crate::listener::{ConnectionDrop, ListenerControl, RequestHandler};
use crate::record::RequestRecord;
use crate::{FaultPlan, ReceivedRequest};
use chicoryladder_types::{ClockSource, RunVerdict, ServerLoad, headers};
use futures_util::future::BoxFuture;
use hyper::{Method, Response, StatusCode};
use serde_json::json;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, watch};

/// The path of a stream, before its request id.
const STREAMS_PREFIX: &str = "/v1/streams/";

/// Names the last event that a resuming caller has seen.
const LAST_EVENT_ID: &str = "last-event-id";

/// The id of a crossed answer when no request came before.
const FOREIGN_REQUEST_ID: &str = "ffffffffffffffffffffffffffffffff";

/// The prompt of a crossed answer when no request came before.
const FOREIGN_PROMPT: &str = "foreign";

/// Answers the requests to one engine.
pub(super) struct EngineHandler {
    pub(super) clock: Arc<dyn ClockSource>,
    pub(super) default_output_tokens: u32,
    pub(super) sequences: mpsc::UnboundedSender<SequenceOrder>,
    pub(super) reported_load: watch::Receiver<ServerLoad>,
    pub(super) faults: watch::Receiver<FaultPlan>,
    pub(super) counters: Arc<CounterSet>,
    pub(super) listener: ListenerControl,
    pub(super) record: RequestRecord,
    pub(super) previous: PreviousRequest,
    pub(super) streams: StreamStore,
    pub(super) orders: OrderBook,
}

/// The request before the present one, whose answer a crossing server sends.
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
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, ConnectionDrop>> {
        Box::pin(async move { self.answer(request).await })
    }
}

impl EngineHandler {
    async fn answer(
        &self,
        request: ReceivedRequest,
    ) -> Result<Response<AnswerBody>, ConnectionDrop> {
        self.record.push(&request);
        let mut response = match (&request.method, request.route()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, &request).await?
            }
            (&Method::POST, "/v1/completions") => {
                self.complete(CompletionKind::Text, &request).await?
            }
            (&Method::GET, "/orders") => self.orders.read_back(),
            (&Method::POST, "/orders") => self.orders.take(&request),
            (&Method::GET, "/v1/models") => self.model_list(),
            (&Method::GET, "/healthz") => json_answer(StatusCode::OK, &json!({ "status": "ok" })),
            (method, route) => match route.strip_prefix(STREAMS_PREFIX) {
                Some(id) if method == Method::GET => self.resume(id, &request).await?,
                Some(id) if method == Method::DELETE => self.cancel(id),
                _ => unknown_answer("no such route"),
            },
        };
        let load = *self.reported_load.borrow();
        add_header(&mut response, headers::SERVER_LOAD, &load.to_string());
        Ok(response)
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        request: &ReceivedRequest,
    ) -> Result<Response<AnswerBody>, ConnectionDrop> {
        count(&self.counters.received);
        let faults = self.faults.borrow().clone();
        if faults.refuses {
            count(&self.counters.refused);
            return Ok(not_run_answer(request));
        }
        if faults.crashes_on(&request.body) {
            count(&self.counters.crashes);
            self.listener.crash().await;
            return Err(ConnectionDrop);
        }
        let order = match CompletionOrder::try_from((kind, request.body.as_ref())) {
            Ok(order) => order,
            Err(error) => {
                let message = error.to_string();
                return Ok(error_answer(
                    StatusCode::BAD_REQUEST,
                    "bad_request",
                    &message,
                ));
            }
        };
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let accepted = AcceptedRequest {
            id: id.to_owned(),
            order,
            cancel: CancelFlag::default(),
        };
        let previous = self.previous.replace(&accepted);
        let answered = if faults.mismatches_response {
            previous.unwrap_or_else(|| foreign_request(&accepted))
        } else {
            accepted
        };
        self.generate(answered, 0, &faults).await
    }

    /// Streams the tokens after the last one that the caller has seen.
    async fn resume(
        &self,
        id: &str,
        request: &ReceivedRequest,
    ) -> Result<Response<AnswerBody>, ConnectionDrop> {
        let Some(mut accepted) = self.streams.get(id) else {
            return Ok(unknown_answer("no such stream"));
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

    fn cancel(&self, id: &str) -> Response<AnswerBody> {
        let Some(accepted) = self.streams.get(id) else {
            return unknown_answer("no such stream");
        };
        accepted.cancel.set();
        json_answer(StatusCode::OK, &json!({ "id": id, "cancelled": true }))
    }

    async fn generate(
        &self,
        accepted: AcceptedRequest,
        first_token: u32,
        faults: &FaultPlan,
    ) -> Result<Response<AnswerBody>, ConnectionDrop> {
        if accepted.order.stream {
            self.streams.insert(&accepted);
        }
        let AcceptedRequest { id, order, cancel } = accepted;
        let output_tokens = order.output_tokens.unwrap_or(self.default_output_tokens);
        let (sender, tokens) = mpsc::unbounded_channel();
        let sequence = SequenceOrder {
            prompt_tokens: prompt_tokens(&order.prompt).saturating_add(first_token),
            blocks: prompt_blocks(&order.prompt),
            first_token,
            output_tokens,
            cancel,
            tokens: sender,
        };
        self.sequences.send(sequence).map_err(|_| ConnectionDrop)?;
        if let Some(delay) = faults.delay {
            tokio::time::sleep(delay).await;
        }
        let reply = CompletionReply::new(&order, &id, output_tokens, self.clock.as_ref());
        let truncates_after = faults.truncates_after;
        let mut response = if order.stream {
            reply.streamed(tokens, first_token, truncates_after)
        } else {
            reply
                .whole(tokens, truncates_after)
                .await
                .ok_or(ConnectionDrop)?
        };
        add_header(&mut response, headers::REQUEST_ID, &id);
        Ok(response)
    }

    fn model_list(&self) -> Response<AnswerBody> {
        let models = self.orders.models();
        let models: Vec<_> = models
            .iter()
            .map(|model| json!({ "id": model.as_str(), "object": "model" }))
            .collect();
        json_answer(StatusCode::OK, &json!({ "object": "list", "data": models }))
    }
}

fn not_run_answer(request: &ReceivedRequest) -> Response<AnswerBody> {
    let message = "the engine takes no request at present";
    let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
    let verdict = RunVerdict::NotRun.as_str();
    add_header(&mut response, headers::SERVER_VERDICT, verdict);
    let id = request.header(headers::REQUEST_ID).unwrap_or_default();
    add_header(&mut response, headers::REQUEST_ID, id);
    response
}

fn unknown_answer(message: &str) -> Response<AnswerBody> {
    error_answer(StatusCode::NOT_FOUND, "not_found", message)
}

fn foreign_request(accepted: &AcceptedRequest) -> AcceptedRequest {
    AcceptedRequest {
        id: FOREIGN_REQUEST_ID.to_owned(),
        order: CompletionOrder {
            prompt: FOREIGN_PROMPT.to_owned(),
            ..accepted.order.clone()
        },
        cancel: CancelFlag::default(),
    }
}

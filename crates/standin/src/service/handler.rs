//! Executes the requests to a plain service and counts how often each one ran.

use crate::listener::{ConnectionDrop, ListenerControl, RequestHandler};
use crate::record::RequestRecord;
use crate::response::{ResponseBody, add_header, error_response, json_response};
use crate::{FaultPlan, ReceivedRequest};
use chicoryladder_types::{RunVerdict, ServerLoad, headers};
use futures_util::future::BoxFuture;
use hyper::{Response, StatusCode};
use serde_json::json;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The path of health probes, which are not counted as runs.
const HEALTH_PATH: &str = "/healthz";

/// Handles the HTTP requests to one plain service.
#[derive(Debug)]
pub(super) struct PlainHandler {
    pub(super) service_time: Duration,
    pub(super) faults: watch::Receiver<FaultPlan>,
    pub(super) listener: ListenerControl,
    pub(super) load: watch::Sender<ServerLoad>,
    pub(super) record: RequestRecord,
    pub(super) runs: Mutex<HashMap<String, u64>>,
}

impl RequestHandler for PlainHandler {
    fn handle(
        self: Arc<Self>,
        request: ReceivedRequest,
    ) -> BoxFuture<'static, Result<Response<ResponseBody>, ConnectionDrop>> {
        Box::pin(async move { self.respond(request).await })
    }
}

impl PlainHandler {
    async fn respond(
        &self,
        request: ReceivedRequest,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        self.record.push(&request);
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let mut response = if request.route() == HEALTH_PATH {
            json_response(StatusCode::OK, &json!({ "status": "ok" }))
        } else {
            let running = RunningRequest::start(&self.load);
            let response = self.run(&request).await;
            drop(running);
            response?
        };
        let load = *self.load.borrow();
        add_header(&mut response, headers::SERVER_LOAD, &load.to_string());
        add_header(&mut response, headers::REQUEST_ID, id);
        if self.faults.borrow().says_leaving {
            add_header(&mut response, headers::SERVER_LEAVING, "1");
        }
        Ok(response)
    }

    async fn run(
        &self,
        request: &ReceivedRequest,
    ) -> Result<Response<ResponseBody>, ConnectionDrop> {
        let faults = self.faults.borrow().clone();
        if faults.refuses {
            let message = "the service takes no request at present";
            let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
            let verdict = RunVerdict::NotRun.as_str();
            add_header(&mut response, headers::SERVER_VERDICT, verdict);
            return Ok(response);
        }
        // Counted before a crash, which then happens after the effect of the request.
        let runs = self.count_run(run_key(request));
        if faults.crashes_on(&request.body) {
            self.listener.crash().await;
            return Err(ConnectionDrop);
        }
        tokio::time::sleep(self.service_time + faults.delay.unwrap_or_default()).await;
        let value = json!({
            "method": request.method.as_str(),
            "path": request.path,
            "body": String::from_utf8_lossy(&request.body),
            "runs": runs,
        });
        Ok(json_response(StatusCode::OK, &value))
    }

    fn count_run(&self, key: String) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key).or_default();
        *count += 1;
        *count
    }

    pub(super) fn runs(&self) -> HashMap<String, u64> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }
}

fn run_key(request: &ReceivedRequest) -> String {
    if let Some(key) = request.header(headers::IDEMPOTENCY_KEY) {
        return key.to_owned();
    }
    let body = String::from_utf8_lossy(&request.body);
    format!("{} {} {body}", request.method, request.path)
}

/// Counts a request as running until the guard is dropped.
struct RunningRequest<'a>(&'a watch::Sender<ServerLoad>);

impl<'a> RunningRequest<'a> {
    fn start(load: &'a watch::Sender<ServerLoad>) -> Self {
        load.send_modify(|load| load.running += 1);
        Self(load)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|load| load.running -= 1);
    }
}

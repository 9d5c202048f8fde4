//! A stand-in plain service.
//!
//! It takes any method and path, and counts the runs of each request, so a test
//! can see a charge that ran twice.

use crate::announcer::{AnnouncerState, ServerAnnouncer};
use crate::answer::{AnswerBody, add_header, error_answer, json_answer};
use crate::listener::{BoundListener, ConnectionDrop, ListenerControl, RequestHandler};
use crate::record::RequestRecord;
use crate::{FaultPlan, ReceivedRequest, StandinError};
use chicoryladder_types::{
    RunVerdict, ServerAnnouncement, ServerGeneration, ServerLoad, ServerName, ServiceName,
    ZoneName, headers,
};
use futures_util::future::BoxFuture;
use hyper::{Response, StatusCode};
use serde_json::json;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The default time between two announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// The default number of requests kept for checks after a run.
const RECORD_LIMIT: usize = 10_000;

/// The default number of requests served together, as announced.
const DEFAULT_SLOTS: u32 = 64;

/// The path that answers probes and counts no run.
const HEALTH_PATH: &str = "/healthz";

/// What a stand-in plain service is made of.
#[derive(Clone, Debug)]
pub struct PlainOptions {
    /// The name in announcements.
    pub name: ServerName,
    /// The availability zone in announcements.
    pub zone: ZoneName,
    /// The services offered.
    pub services: Vec<ServiceName>,
    /// The address to listen on; port 0 takes a free port.
    pub address: SocketAddr,
    /// The servers ports of the entry hosts that hear the announcements.
    pub entry_hosts: Vec<SocketAddr>,
    /// The time between two announcements.
    pub announce_period: Duration,
    /// The first incarnation announced.
    pub generation: ServerGeneration,
    /// Requests served together, as announced.
    pub slots: u32,
    /// The time that each request takes.
    pub service_time: Duration,
    /// The number of requests kept for checks after a run.
    pub record_limit: usize,
}

impl PlainOptions {
    /// A service on a free loopback port, heard by no entry host.
    #[must_use]
    pub fn new(name: ServerName, zone: ZoneName, service: ServiceName) -> Self {
        Self {
            name,
            zone,
            services: vec![service],
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entry_hosts: Vec::new(),
            announce_period: ANNOUNCE_PERIOD,
            generation: ServerGeneration(1),
            slots: DEFAULT_SLOTS,
            service_time: Duration::ZERO,
            record_limit: RECORD_LIMIT,
        }
    }

    fn announcement(&self, address: SocketAddr) -> ServerAnnouncement {
        ServerAnnouncement {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address,
            generation: self.generation,
            slots: self.slots,
            models: Vec::new(),
            services: self.services.clone(),
            checks_fencing: false,
            leaving: false,
            load: ServerLoad::default(),
        }
    }
}

/// Starts stand-in plain services.
#[derive(Clone, Copy, Debug)]
pub struct PlainServer;

impl PlainServer {
    /// Binds the service's address and starts its tasks on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(options: PlainOptions) -> Result<PlainHandle, StandinError> {
        let listener = BoundListener::bind(options.address).await?;
        let address = listener.address;
        let control = listener.control.clone();
        let state = watch::Sender::new(AnnouncerState {
            announces: true,
            leaving: false,
            generation: options.generation,
        });
        let faults = watch::Sender::new(FaultPlan::default());
        let load = watch::Sender::new(ServerLoad::default());
        let announcer = Arc::new(ServerAnnouncer::new(
            options.entry_hosts.clone(),
            options.announcement(address),
            load.subscribe(),
        ));
        let handler = Arc::new(PlainHandler {
            service_time: options.service_time,
            faults: faults.subscribe(),
            listener: control.clone(),
            load: load.clone(),
            record: RequestRecord::new(options.record_limit),
            runs: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(listener.run(Arc::new(SharedHandler(Arc::clone(&handler)))));
        let period = options.announce_period;
        tasks.spawn(Arc::clone(&announcer).run(period, state.subscribe()));
        log::info!(
            "standin: plain service {} listens on {address}",
            options.name
        );
        Ok(PlainHandle {
            address,
            control,
            state,
            faults,
            handler,
            announcer,
            _tasks: tasks,
        })
    }
}

/// Controls a running plain service; dropping it kills the service at once.
#[derive(Debug)]
pub struct PlainHandle {
    address: SocketAddr,
    control: ListenerControl,
    state: watch::Sender<AnnouncerState>,
    faults: watch::Sender<FaultPlan>,
    handler: Arc<PlainHandler>,
    announcer: Arc<ServerAnnouncer>,
    _tasks: JoinSet<()>,
}

impl PlainHandle {
    /// The address that takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests received so far, up to the limit of the options.
    #[must_use]
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.handler.record.snapshot()
    }

    /// How often each request ran, by idempotency key, or by method, path and
    /// body where there is none.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        self.handler.runs()
    }

    /// Replaces the faults shown on requests from now on.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.faults.send_replace(plan);
    }

    /// Drops every connection, refuses new ones and stops announcing.
    pub async fn crash(&self) {
        self.state.send_modify(|state| state.announces = false);
        self.control.crash().await;
    }

    /// Listens, answers and announces again, as a new incarnation.
    pub async fn recover(&self) {
        self.control.recover().await;
        self.state.send_modify(|state| {
            state.announces = true;
            state.leaving = false;
            state.generation = state.generation.next();
        });
    }

    /// Makes the open connections silent for good; new ones work.
    pub async fn silence_open(&self) {
        self.control.silence_open().await;
    }

    /// Makes every connection silent, new ones too, until [`Self::recover`].
    pub async fn silence_all(&self) {
        self.control.silence_all().await;
    }

    /// Announces that the service takes no new work; it still serves requests.
    pub fn leave(&self) {
        self.state.send_modify(|state| state.leaving = true);
    }

    /// Announces its leaving and stops.
    pub async fn stop(self) {
        self.leave();
        let state = *self.state.borrow();
        self.announcer.announce(state).await;
    }
}

#[derive(Debug)]
struct PlainHandler {
    service_time: Duration,
    faults: watch::Receiver<FaultPlan>,
    listener: ListenerControl,
    load: watch::Sender<ServerLoad>,
    record: RequestRecord,
    runs: Mutex<HashMap<String, u64>>,
}

struct SharedHandler(Arc<PlainHandler>);

impl RequestHandler for SharedHandler {
    fn handle(
        &self,
        request: ReceivedRequest,
    ) -> BoxFuture<'static, Result<Response<AnswerBody>, ConnectionDrop>> {
        let handler = Arc::clone(&self.0);
        Box::pin(async move { handler.answer(request).await })
    }
}

impl PlainHandler {
    async fn answer(
        &self,
        request: ReceivedRequest,
    ) -> Result<Response<AnswerBody>, ConnectionDrop> {
        self.record.push(&request);
        let id = request.header(headers::REQUEST_ID).unwrap_or_default();
        let mut response = if request.route() == HEALTH_PATH {
            json_answer(StatusCode::OK, &json!({ "status": "ok" }))
        } else {
            let running = RunningRequest::start(&self.load);
            let response = self.run(&request).await;
            drop(running);
            response?
        };
        let load = *self.load.borrow();
        let load = format!("running={};waiting={}", load.running, load.waiting);
        add_header(&mut response, headers::SERVER_LOAD, &load);
        add_header(&mut response, headers::REQUEST_ID, id);
        Ok(response)
    }

    async fn run(&self, request: &ReceivedRequest) -> Result<Response<AnswerBody>, ConnectionDrop> {
        let faults = self.faults.borrow().clone();
        if faults.refuses {
            let message = "the service takes no request at present";
            let mut response = error_answer(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
            let verdict = RunVerdict::NotRun.as_str();
            add_header(&mut response, headers::SERVER_VERDICT, verdict);
            return Ok(response);
        }
        // Counted before a crash: the effect of the request has then taken place.
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
        Ok(json_answer(StatusCode::OK, &value))
    }

    fn count_run(&self, key: String) -> u64 {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(key).or_default();
        *count += 1;
        *count
    }

    fn runs(&self) -> HashMap<String, u64> {
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

/// Counts a request as running until it is dropped.
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

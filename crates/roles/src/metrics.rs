//! Prometheus metrics of a process: counters, latency histograms and gauges.

use chicoryladder_broker::{DepartureSource, RunOutcome};
use chicoryladder_gateway::{AnswerBody, BodyFraming, HttpService, text_answer};
use chicoryladder_types::RouteName;
use chicoryladder_types::prelude::*;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::sync::Arc;
use std::time::Duration;

/// The upper bounds of the buckets of the response time histogram, in seconds.
const ANSWER_SECONDS_BOUNDARIES: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// The metric instruments of a process.
pub(crate) struct RoleMetrics {
    registry: Registry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    answer_ends: Counter<u64>,
    servers_leaving: Counter<u64>,
    home_refusals: Counter<u64>,
    questions: Counter<u64>,
    answer_seconds: Histogram<f64>,
    level_gauge: Gauge<f64>,
    // Dropping the provider would shut the instruments down.
    _provider: SdkMeterProvider,
}

impl RoleMetrics {
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub(crate) fn new() -> std::io::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(std::io::Error::other)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chicoryladder");
        Ok(Self {
            registry,
            requests: meter.u64_counter("requests").build(),
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            answer_ends: meter.u64_counter("answer_ends").build(),
            home_refusals: meter.u64_counter("home_refusals").build(),
            questions: meter.u64_counter("questions").build(),
            servers_leaving: meter.u64_counter("servers_leaving").build(),
            answer_seconds: meter
                .f64_histogram("answer_seconds")
                .with_boundaries(ANSWER_SECONDS_BOUNDARIES.to_vec())
                .build(),
            level_gauge: meter.f64_gauge("level").build(),
            _provider: provider,
        })
    }

    /// Counts a served request and records its response time.
    pub(crate) fn count_served(&self, route: &RouteName, elapsed: Duration) {
        let route = [KeyValue::new("route", route.to_string())];
        self.requests.add(1, &route);
        self.answer_seconds.record(elapsed.as_secs_f64(), &route);
    }

    /// Counts a question where a request would go, by its answer.
    pub(crate) fn count_question(&self, answer: &'static str) {
        self.questions.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts a server that is newly known to leave, by how that became known.
    pub(crate) fn count_departure(&self, source: DepartureSource) {
        let label = KeyValue::new("source", source.as_str());
        self.servers_leaving.add(1, &[label]);
    }

    /// Counts a slot request that is refused since no server in its homes is known, or one
    /// elsewhere was granted.
    pub(crate) fn count_home_refusal(&self, cause: &'static str) {
        self.home_refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts the end of a server's response by its framing and position in its events.
    pub(crate) fn count_answer_end(&self, framing: BodyFraming, within_event: Option<bool>) {
        let position = match within_event {
            None => "no_events",
            Some(false) => "between_events",
            Some(true) => "within_event",
        };
        let labels = [
            KeyValue::new("framing", framing.as_str()),
            KeyValue::new("position", position),
        ];
        self.answer_ends.add(1, &labels);
    }

    /// Counts a refusal by its reason.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a failed attempt at a server by its outcome.
    pub(crate) fn count_retry(&self, outcome: RunOutcome) {
        let reason = match outcome {
            RunOutcome::Served => "served",
            RunOutcome::Errored => "server_error",
            RunOutcome::Stopped => "stopped",
            RunOutcome::Unreachable => "connect_failed",
            RunOutcome::Shed => "server_refused",
            RunOutcome::WrongServer => "wrong_server",
            RunOutcome::Failed => "server_failed",
            RunOutcome::Leaving => "server_leaving",
            RunOutcome::PathLost => "path_lost",
        };
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records a gauge, such as the number of active runs.
    fn record_gauge(&self, name: &'static str, value: f64) {
        self.level_gauge
            .record(value, &[KeyValue::new("name", name)]);
    }

    fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# the metrics cannot be encoded: {error}\n"))
    }
}

/// Reads the gauges of a process at a scrape.
pub(crate) type GaugeReader = Box<dyn Fn() -> Vec<(&'static str, f64)> + Send + Sync>;

/// Serves the metrics in the Prometheus text format at every path.
pub(crate) struct MetricsService {
    pub(crate) metrics: Arc<RoleMetrics>,
    pub(crate) gauges: GaugeReader,
}

impl HttpService for MetricsService {
    fn call(
        &self,
        _: Request<Incoming>,
    ) -> BoxFuture<'_, Result<Response<AnswerBody>, RequestRefusal>> {
        for (name, value) in (self.gauges)() {
            self.metrics.record_gauge(name, value);
        }
        let text = self.metrics.render();
        std::future::ready(Ok(text_answer(200, &text))).boxed()
    }
}

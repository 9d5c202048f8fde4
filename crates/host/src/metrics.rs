//! Metrics of one host, as OpenTelemetry instruments.

use chicoryladder_gateway::MachineBounds;
use chicoryladder_types::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use std::collections::BTreeSet;
use std::time::Duration;

/// The bucket boundaries of the response time histogram, in seconds.
const ANSWER_SECONDS_BOUNDARIES: &[f64] = &[
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// The instruments of one host.
pub struct HostMetrics {
    registry: Registry,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    answer_seconds: Histogram<f64>,
    meter: Meter,
    // Dropping the provider would shut down the instruments.
    _provider: SdkMeterProvider,
}

/// Why the metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("the metrics cannot be set up: {0}")]
pub struct MetricsError(String);

impl HostMetrics {
    /// Creates the instruments, with a zero count for every reason.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| MetricsError(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chicoryladder");
        let metrics = Self {
            registry,
            requests: meter.u64_counter("requests").build(),
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            answer_seconds: meter
                .f64_histogram("answer_seconds")
                .with_boundaries(ANSWER_SECONDS_BOUNDARIES.to_vec())
                .build(),
            meter,
            _provider: provider,
        };
        metrics.initialize_reason_series();
        Ok(metrics)
    }

    /// Exports what clients occupy, as gauges.
    pub fn observe(&self, bounds: &MachineBounds) {
        let bounds = bounds.clone();
        let gauge = self.meter.f64_observable_gauge("level");
        let read = move |observer: &dyn AsyncInstrument<f64>| {
            for (name, value) in bounds.levels() {
                observer.observe(value, &[KeyValue::new("name", name)]);
            }
        };
        // The provider keeps the callback.
        let _ = gauge.with_callback(read).build();
    }

    /// Exports which zones are drained: their number, and 1 for each of them by its name.
    pub fn observe_zone_drains(
        &self,
        drained_zones: impl Fn() -> BTreeSet<ZoneName> + Clone + Send + Sync + 'static,
    ) {
        let drained = drained_zones.clone();
        let count = move |observer: &dyn AsyncInstrument<u64>| {
            observer.observe(u64::try_from(drained().len()).unwrap_or(u64::MAX), &[]);
        };
        let list = move |observer: &dyn AsyncInstrument<u64>| {
            for zone in drained_zones() {
                observer.observe(1, &[KeyValue::new("zone", zone.to_string())]);
            }
        };
        let gauge = |name| self.meter.u64_observable_gauge(name);
        // The provider keeps the callbacks.
        let _ = gauge("zones_drained").with_callback(count).build();
        let _ = gauge("zone_drained").with_callback(list).build();
    }

    /// Counts a request that was served.
    pub fn count_served(&self, class: &ClassName, elapsed: Duration) {
        let class = KeyValue::new("class", class.to_string());
        self.requests.add(1, std::slice::from_ref(&class));
        self.answer_seconds.record(elapsed.as_secs_f64(), &[class]);
    }

    /// Counts a refusal by its reason.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals.add(1, &[reason_label(reason.as_str())]);
    }

    /// Counts a retry by its reason.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[reason_label(reason.as_str())]);
    }

    /// Renders all values in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| format!("# the metrics cannot be encoded: {error}\n"))
    }

    /// Exports a zero count for each reason from the start, so that the first
    /// occurrence shows up as an increase.
    fn initialize_reason_series(&self) {
        for reason in RefusalReason::ALL {
            self.refusals.add(0, &[reason_label(reason.as_str())]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[reason_label(reason.as_str())]);
        }
    }
}

fn reason_label(text: &'static str) -> KeyValue {
    KeyValue::new("reason", text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use chicoryladder_settings::MachineLimits;
    use chicoryladder_types::SystemClock;
    use std::sync::{Arc, Mutex};

    /// Guards against a drain that no metric shows, and one that is shown after its withdrawal.
    #[test]
    fn drained_zones_are_rendered_until_their_drain_is_withdrawn() {
        let metrics = HostMetrics::new().expect("an exporter");
        let zones = Arc::new(Mutex::new(BTreeSet::new()));
        let observed = zones.clone();
        metrics.observe_zone_drains(move || observed.lock().expect("no panic").clone());
        let lines = || {
            let text = metrics.render();
            let gauges = text.lines().filter(|line| line.starts_with("zone"));
            let without_scope = |line: &str| {
                let name = line.split('{').next().unwrap_or_default();
                let is_zone_a = line.contains("zone=\"zone-a\"");
                let value = line.rsplit(' ').next().unwrap_or_default();
                (name.to_owned(), is_zone_a, value.to_owned())
            };
            gauges.map(without_scope).collect::<Vec<_>>()
        };
        let count = |value: &str| ("zones_drained".to_owned(), false, value.to_owned());
        assert_eq!(lines(), [count("0")]);
        let zone = ZoneName::try_from("zone-a").expect("it is valid");
        zones.lock().expect("no panic").insert(zone);
        let listed = ("zone_drained".to_owned(), true, "1".to_owned());
        assert_eq!(lines(), [listed, count("1")]);
        zones.lock().expect("no panic").clear();
        assert_eq!(lines(), [count("0")]);
    }

    /// Guards against levels that the registry drops with their instrument.
    #[test]
    fn levels_of_clients_are_rendered() {
        let metrics = HostMetrics::new().expect("an exporter");
        let bounds = MachineBounds::new(MachineLimits::default(), Arc::new(SystemClock));
        metrics.observe(&bounds);
        let text = metrics.render();
        assert!(text.contains("client_connections_max"), "{text}");
    }
}

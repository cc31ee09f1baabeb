//! Metrics of the request path.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// bucket bounds of the time to the first token, seconds
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.46, 0.8, 1.5, 3.0, 10.0, 60.0,
];
/// bucket bounds of the time between tokens, seconds
const BETWEEN_TOKENS_BUCKETS_S: [f64; 10] =
    [0.001, 0.005, 0.01, 0.02, 0.032, 0.05, 0.1, 0.5, 2.0, 10.0];

/// all metrics of the request path
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// requests by service, workspace and verdict
    pub requests: IntCounterVec,
    /// attempts on upstreams by service and outcome
    pub attempts: IntCounterVec,
    /// time to the first token by service, seconds
    pub first_token: HistogramVec,
    /// time between tokens by service, seconds
    pub between_tokens: HistogramVec,
    /// tokens generated for callers
    pub generated_tokens: IntCounter,
    /// tokens of prompts and earlier output that engines prefilled
    pub recomputed_tokens: IntCounter,
    /// bytes of KV caches transferred between engines
    pub moved_kv_bytes: IntCounter,
    /// hand-overs by direction
    pub handovers: IntCounterVec,
    /// requests in flight
    pub in_flight: IntGauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// metrics at zero, in a new registry
    ///
    /// # Panics
    /// Never: the names are constant, valid and distinct.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let requests = counters(
            "agateloom_requests_total",
            "requests",
            &["service", "workspace", "verdict"],
        );
        let attempts = counters(
            "agateloom_attempts_total",
            "attempts",
            &["service", "outcome"],
        );
        let first_token = histogram(
            "agateloom_first_token_seconds",
            "first token",
            &FIRST_TOKEN_BUCKETS_S,
        );
        let between_tokens = histogram(
            "agateloom_between_tokens_seconds",
            "between tokens",
            &BETWEEN_TOKENS_BUCKETS_S,
        );
        let generated_tokens = counter("agateloom_generated_tokens_total", "tokens generated");
        let recomputed_tokens =
            counter("agateloom_recomputed_tokens_total", "tokens computed again");
        let moved_kv_bytes = counter("agateloom_moved_kv_bytes_total", "bytes of KV caches moved");
        let handovers = counters("agateloom_handovers_total", "hand-overs", &["direction"]);
        let in_flight = IntGauge::new("agateloom_in_flight", "requests in flight");
        let in_flight = in_flight.expect("metric names are valid");
        register(&registry, &requests);
        register(&registry, &attempts);
        register(&registry, &first_token);
        register(&registry, &between_tokens);
        register(&registry, &generated_tokens);
        register(&registry, &recomputed_tokens);
        register(&registry, &moved_kv_bytes);
        register(&registry, &handovers);
        register(&registry, &in_flight);
        Metrics {
            registry,
            requests,
            attempts,
            first_token,
            between_tokens,
            generated_tokens,
            recomputed_tokens,
            moved_kv_bytes,
            handovers,
            in_flight,
        }
    }

    /// the registry, to which the daemon adds further metrics
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// all metrics in the Prometheus text format
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::warn!(event = "metrics_failed", %error);
        }
        text
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("metric names are valid")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("metric names are valid")
}

fn histogram(name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    HistogramVec::new(options, &["service"]).expect("metric names are valid")
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: &C) {
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are distinct");
}

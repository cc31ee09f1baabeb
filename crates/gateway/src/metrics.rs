//! Prometheus metrics of the process.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

/// upper bounds of the latency buckets, seconds
const BUCKETS: [f64; 11] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0];

/// the registry and its metrics
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// requests by route and outcome
    pub requests: IntCounterVec,
    /// attempts by service and outcome
    pub attempts: IntCounterVec,
    /// time to the response or the first event of its stream, by route
    pub latency: HistogramVec,
    /// calls to the platform's APIs by call and outcome
    pub calls: IntCounterVec,
    /// fraction of a workspace's demand within its share, in thousandths, while capacity is short
    pub shares: IntGaugeVec,
    /// current values by name, such as the configuration's version and age
    pub states: IntGaugeVec,
}

impl Metrics {
    /// registers all metrics
    ///
    /// # Panics
    /// Never: the names are constants and distinct.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            let counter = counter.expect("metric and label names are valid");
            let registered = registry.register(Box::new(counter.clone()));
            registered.expect("metric names are distinct");
            counter
        };
        let requests = counter(
            "agateloom_requests_total",
            "Requests of callers by route and outcome.",
            &["route", "outcome"],
        );
        let attempts = counter(
            "agateloom_attempts_total",
            "Attempts at upstream VMs by service and outcome.",
            &["service", "outcome"],
        );
        let calls = counter(
            "agateloom_platform_calls_total",
            "Calls to the platform by call and outcome.",
            &["call", "outcome"],
        );
        let options = HistogramOpts::new(
            "agateloom_latency_seconds",
            "Time to the answer or the first event by route.",
        );
        let latency = HistogramVec::new(options.buckets(BUCKETS.to_vec()), &["route"]);
        let latency = latency.expect("metric and label names are valid");
        let states = IntGaugeVec::new(Opts::new("agateloom_state", "States by name."), &["name"]);
        let states = states.expect("metric and label names are valid");
        let registered = registry.register(Box::new(latency.clone()));
        registered.expect("metric names are distinct");
        let registered = registry.register(Box::new(states.clone()));
        registered.expect("metric names are distinct");
        let options = Opts::new(
            "agateloom_share_permille",
            "Part of a workspace's demand within its share of a service while capacity is short.",
        );
        let shares = IntGaugeVec::new(options, &["service", "workspace"]);
        let shares = shares.expect("metric and label names are valid");
        let registered = registry.register(Box::new(shares.clone()));
        registered.expect("metric names are distinct");
        Metrics {
            registry,
            requests,
            attempts,
            latency,
            calls,
            shares,
            states,
        }
    }

    /// all metrics in the text exposition format
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            tracing::error!(event = "metrics_unreadable", %error);
        }
        String::from_utf8(text).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

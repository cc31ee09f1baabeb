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
    /// connections that were closed or not accepted, by listener and reason
    pub closed: IntCounterVec,
    /// prompts with shared parts by service and how the parts reach the VM
    pub prompts: IntCounterVec,
    /// their tokens that were not prefilled again
    pub prompt_tokens_saved: IntCounterVec,
    /// expected queueing times accepted for them, milliseconds
    pub prompt_wait_ms: IntCounterVec,
    /// calls to the platform's APIs by call and outcome
    pub calls: IntCounterVec,
    /// responses during roll-outs by service, version and outcome
    pub versions: IntCounterVec,
    /// fraction of a workspace's demand within its share, in thousandths, while capacity is short
    pub shares: IntGaugeVec,
    /// wait beyond the expected one in this daemon's region, milliseconds, and part of the requests that leave
    /// it, thousandths, by service
    pub placement: IntGaugeVec,
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
        let counter = |name, help, labels| counter(&registry, name, help, labels);
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
        let closed = counter(
            "agateloom_closed_connections_total",
            "Connections that were closed or not accepted by listener and reason.",
            &["listener", "reason"],
        );
        let [prompts, prompt_tokens_saved, prompt_wait_ms] = prompt_counters(&registry);
        let calls = counter(
            "agateloom_platform_calls_total",
            "Calls to the platform by call and outcome.",
            &["call", "outcome"],
        );
        let versions = counter(
            "agateloom_rollout_responses_total",
            "Responses during roll-outs by service, version of the VM and outcome.",
            &["service", "version", "outcome"],
        );
        let latency = latency();
        let registered = registry.register(Box::new(latency.clone()));
        registered.expect("metric names are distinct");
        let states = gauge(&registry, "agateloom_state", "States by name.", &["name"]);
        let shares = gauge(
            &registry,
            "agateloom_share_permille",
            "Part of a workspace's demand within its share of a service while capacity is short.",
            &["service", "workspace"],
        );
        let placement = gauge(
            &registry,
            "agateloom_placement",
            "Wait beyond the expected one (excess_ms) and requests sent to the other region (spill_permille).",
            &["service", "value"],
        );
        Metrics {
            registry,
            requests,
            attempts,
            prompts,
            prompt_tokens_saved,
            prompt_wait_ms,
            latency,
            closed,
            calls,
            versions,
            shares,
            placement,
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

/// counts of prompts with shared parts, their tokens that were not prefilled again, and the queueing
/// times accepted for them
fn prompt_counters(registry: &Registry) -> [IntCounterVec; 3] {
    let labels = ["service", "choice"];
    [
        (
            "agateloom_prompts_total",
            "Prompts with shared parts by service and choice: held, prefilled or fetched.",
        ),
        (
            "agateloom_prompt_tokens_saved_total",
            "Prompt tokens that were not prefilled again, by service and choice.",
        ),
        (
            "agateloom_prompt_wait_milliseconds_total",
            "Expected queueing time of prompts with shared parts by service and choice.",
        ),
    ]
    .map(|(name, help)| counter(registry, name, help, &labels))
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels);
    let counter = counter.expect("metric and label names are valid");
    let registered = registry.register(Box::new(counter.clone()));
    registered.expect("metric names are distinct");
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauge = IntGaugeVec::new(Opts::new(name, help), labels);
    let gauge = gauge.expect("metric and label names are valid");
    let registered = registry.register(Box::new(gauge.clone()));
    registered.expect("metric names are distinct");
    gauge
}

/// the histogram of latencies by route
fn latency() -> HistogramVec {
    let options = HistogramOpts::new(
        "agateloom_latency_seconds",
        "Time to the answer or the first event by route.",
    );
    let latency = HistogramVec::new(options.buckets(BUCKETS.to_vec()), &["route"]);
    latency.expect("metric and label names are valid")
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

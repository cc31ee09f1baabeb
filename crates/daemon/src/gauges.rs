//! Metrics of the daemon itself: configuration, members, control traffic, link.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

/// period at which the gauges are set
const PERIOD: Duration = Duration::from_secs(1);

/// metrics of the daemon itself
struct Gauges {
    revision: IntGauge,
    members: IntGauge,
    control: IntGaugeVec,
    link: IntGauge,
    upstreams: IntGauge,
}

/// starts the thread that sets the gauges
///
/// # Errors
/// When the thread can't be started.
pub fn start(context: Arc<Context>) -> std::io::Result<()> {
    let gauges = Gauges::new(context.metrics.registry());
    let builder = thread::Builder::new().name("gauges".to_owned());
    let run = move || loop {
        gauges.set(&context);
        thread::sleep(PERIOD);
    };
    builder.spawn(run).map(drop)
}

impl Gauges {
    fn new(registry: &Registry) -> Gauges {
        let name = "agateloom_control";
        let help = "control traffic since the start: bytes sent and received, calls, failures";
        let control = IntGaugeVec::new(Opts::new(name, help), &["kind"]);
        let control = control.expect("metric names are valid");
        registry
            .register(Box::new(control.clone()))
            .expect("metric names are unique");
        Gauges {
            revision: gauge(registry, "agateloom_revision", "revision in force"),
            members: gauge(registry, "agateloom_members", "daemons believed live"),
            control,
            link: gauge(
                registry,
                "agateloom_link_bytes",
                "bytes sent across regions",
            ),
            upstreams: gauge(
                registry,
                "agateloom_upstream_vms",
                "upstream VMs that take work",
            ),
        }
    }

    fn set(&self, context: &Context) {
        let node = &context.node;
        let rows = context.vms.snapshot(tokio::time::Instant::now());
        let traffic = node.traffic();
        self.revision.set(context.snapshot.load().revision as i64);
        self.members.set(node.members().len() as i64);
        self.link.set(context.vms.link_bytes() as i64);
        self.upstreams
            .set(rows.iter().filter(|row| !row.draining).count() as i64);
        let kinds = [
            ("sent_bytes", traffic.sent_bytes),
            ("received_bytes", traffic.received_bytes),
            ("calls", traffic.calls),
            ("failures", traffic.failures),
            ("dropped_notices", traffic.dropped_publications),
        ];
        for (kind, value) in kinds {
            self.control.with_label_values(&[kind]).set(value as i64);
        }
    }
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("metric names are valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("metric names are unique");
    gauge
}

//! Runs a daemon with a settings file of its own, from start to stop.

use std::fs;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use engine::{Client, Timeouts};
use entry::{Builder, Context, DriverPool, Job, Server, SizeLimits, handover, notice, quarantine};
use fleet::cloud::Cloud;
use jsonrpsee::RpcModule;
use peer::Node;
use route::table::{Location, Table};
use schema::member::Leaving;
use schema::settings::Daemon;
use store::claim::Claims;
use tokio::runtime::{self, Runtime};

use crate::capacity;
use crate::config::{Follower, History};
use crate::error::Error;
use crate::load::{Exchange, Poller};
use crate::operator::{self, Components};
use crate::vms::{Channels, Notices, Reader};
use crate::{checkpoint, gauges, logs, secret, share, stop, sweep};

/// threads of the runtime for peers and timers
const RUNTIME_THREADS: usize = 2;
/// capacity of the queue of reasons to stop
const STOP_QUEUE_CAPACITY: usize = 4;
/// time to send the last bytes of responses after all requests have ended; a caller that
/// reads needs far less
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// capacity of the planner's queue of notices
const NOTICE_QUEUE_CAPACITY: usize = 1024;

/// clients of the platform
struct Clients {
    objects: store::Client,
    cloud: fleet::cloud::Client,
}

/// reads the settings and runs the daemon until it is asked to stop
///
/// # Errors
/// When the settings are invalid or something can't be started.
pub fn run(path: &Path, check: bool) -> Result<(), Error> {
    let text = fs::read_to_string(path).map_err(|error| Error::File(path.to_owned(), error))?;
    let name = path.display().to_string();
    let settings = schema::yaml::parse_settings(&text, &name)
        .map_err(|error| Error::Settings(error.to_string()))?;
    if let Err(faults) = schema::check::settings(&settings) {
        let lines: Vec<String> = faults
            .iter()
            .map(|fault| format!("{name}: {fault}"))
            .collect();
        return Err(Error::Settings(lines.join("\n")));
    }
    if check {
        println!("{name}: settings are valid");
        return Ok(());
    }
    logs::start(&settings.log)?;
    serve(&settings)
}

fn serve(settings: &Daemon) -> Result<(), Error> {
    let runtime = runtime()?;
    let size_limits = SizeLimits {
        body_bytes: usize::try_from(settings.limits.body_bytes).unwrap_or(usize::MAX),
        header_bytes: settings.limits.header_bytes,
    };
    let server = Server::bind(&settings.listen.callers, size_limits).map_err(Error::Server)?;
    let context_slot: handover::Slot = Arc::new(OnceLock::new());
    let components: operator::Slot = Arc::new(OnceLock::new());
    let clients = clients(settings)?;
    let seeds = seeds(settings, &clients);
    let node = node(
        settings,
        &server,
        &runtime,
        &seeds,
        methods(&context_slot, &components),
    )?;
    let (jobs, queue) = bounded(settings.limits.waiting as usize);
    let context = Arc::new(context(settings, node, &clients, jobs, &runtime));
    if context_slot.set(Arc::clone(&context)).is_err() {
        tracing::error!(event = "context_set_twice");
    }
    let (stops, reasons) = bounded(STOP_QUEUE_CAPACITY);
    notice::start(&context);
    quarantine::start(&context);
    let threads = || start_threads(settings, &context, &clients, &queue, &stops);
    let started = threads().map_err(Error::System)?;
    if components.set(started).is_err() {
        tracing::error!(event = "parts_set_twice");
    }
    let limits = &settings.limits;
    let running = server
        .start(&context, limits.workers, limits.waiting)
        .map_err(Error::Server)?;
    stop::on_signals(&context, &stops).map_err(Error::System)?;
    tracing::info!(event = "started", vm = settings.vm, callers = %running.address());
    stop::wait_and_drain(
        &context,
        &reasons,
        Duration::from_millis(settings.timing.drain_ms),
    );
    running.shut_down(FLUSH_TIMEOUT);
    tracing::info!(event = "stopped", vm = settings.vm);
    Ok(())
}

fn runtime() -> Result<Runtime, Error> {
    let mut builder = runtime::Builder::new_multi_thread();
    builder.worker_threads(RUNTIME_THREADS).enable_all();
    builder.build().map_err(Error::System)
}

fn methods(context: &handover::Slot, components: &operator::Slot) -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .merge(handover::methods(context))
        .expect("method names are unique");
    module
        .merge(quarantine::methods(context))
        .expect("method names are unique");
    module
        .merge(operator::methods(components))
        .expect("method names are unique");
    module
}

fn node(
    settings: &Daemon,
    server: &Server,
    runtime: &Runtime,
    seeds: &[String],
    methods: RpcModule<()>,
) -> Result<Node, Error> {
    let fleet_key = secret::read(&settings.keys.fleet_file)?;
    let operator_key = secret::read(&settings.keys.operator_file)?;
    let node = peer::Settings::new(&settings.vm, &settings.data_centre)
        .region(&settings.region)
        .control(&settings.listen.control)
        .callers(&server.address().to_string())
        .seeds(seeds)
        .fleet_key(&fleet_key)
        .operator_key(&operator_key);
    runtime
        .block_on(Node::start(node, methods))
        .map_err(Error::Node)
}

/// control addresses of peers to join: those of the settings and, as a hint, of the list of VMs
fn seeds(settings: &Daemon, clients: &Clients) -> Vec<String> {
    let mut seeds = settings.peers.clone();
    match clients.cloud.list() {
        Ok(vms) => {
            let daemons = vms.into_iter().filter(|vm| vm.upstream.is_empty());
            seeds.extend(
                daemons
                    .map(|vm| vm.address)
                    .filter(|address| !address.is_empty()),
            );
        }
        Err(error) => tracing::warn!(event = "seeds_not_listed", %error),
    }
    seeds.sort();
    seeds.dedup();
    seeds
}

fn clients(settings: &Daemon) -> Result<Clients, Error> {
    let token = match &settings.platform.token_file {
        Some(path) => secret::read(path)?,
        None => String::new(),
    };
    Ok(Clients {
        objects: store::Client::new(&settings.platform.objects, &token),
        cloud: fleet::cloud::Client::new(&settings.platform.cloud),
    })
}

fn context(
    settings: &Daemon,
    node: Node,
    clients: &Clients,
    jobs: Sender<Job>,
    runtime: &Runtime,
) -> Context {
    let _runtime = runtime.enter();
    let timing = &settings.timing;
    let engines = Client::new(Timeouts {
        connect: Duration::from_millis(timing.connect_ms),
        idle: Duration::from_millis(timing.silence_ms),
        plain: Duration::from_millis(timing.plain_ms),
    });
    let location = Location {
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
    };
    let claims = Claims::start(clients.objects.clone(), store::claim::Options::default());
    let vms = Table::new(location, settings.policy);
    Builder::new(node, vms, engines, claims, jobs).build(runtime.handle().clone())
}

fn start_threads(
    settings: &Daemon,
    context: &Arc<Context>,
    clients: &Clients,
    jobs: &Receiver<Job>,
    stops: &Sender<Leaving>,
) -> std::io::Result<Components> {
    DriverPool::start(context, jobs, settings.limits.workers)?;
    let history = Arc::new(History::new(Arc::clone(context)));
    Follower::start(
        Arc::clone(context),
        Arc::clone(&history),
        clients.objects.clone(),
    )?;
    let reader = Reader::start(Arc::clone(context), clients.cloud.clone())?;
    let (planner, notices) = bounded(NOTICE_QUEUE_CAPACITY);
    let channels = Channels {
        stop: stops.clone(),
        planner,
    };
    Notices::start(Arc::clone(context), clients.cloud.clone(), channels)?;
    Poller::start(context, Duration::from_millis(settings.timing.poll_ms))?;
    Exchange::start(Arc::clone(context))?;
    gauges::start(Arc::clone(context))?;
    share::start(Arc::clone(context))?;
    checkpoint::start(Arc::clone(context), clients.objects.clone())?;
    sweep::start(Arc::clone(context), &settings.limits)?;
    let objects = clients.objects.clone();
    let leadership = capacity::start(context, &settings.platform, objects, notices)?;
    Ok(Components {
        context: Arc::clone(context),
        leadership,
        history,
        reader,
        stop: stops.clone(),
    })
}

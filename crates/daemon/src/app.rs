//! The daemon from its settings to its end.

use std::fs;
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded};
use engine::{Client, Timeouts};
use entry::{Builder, Context, DriverPool, Job, Server, SizeLimits, handover};
use fleet::cloud::Cloud;
use jsonrpsee::RpcModule;
use peer::Node;
use route::table::{Location, Table};
use schema::member::Leaving;
use schema::settings::Daemon;
use store::claim::Claims;
use tokio::runtime::{self, Runtime};

use crate::capacity;
use crate::config::{Follower, Keeper};
use crate::error::Error;
use crate::load::{Poller, Spread};
use crate::operator::{self, Parts};
use crate::vms::{Notices, Outlets, Reader};
use crate::{gauges, logs, secret, share, stop, sweep};

/// threads of the runtime that carries peers and timers
const RUNTIME_THREADS: usize = 2;
/// reasons to stop that wait
const STOPS: usize = 4;
/// time for the last bytes of answers to leave, after all requests ended; a caller that
/// reads takes far less
const LAST_BYTES: Duration = Duration::from_secs(1);
/// notices that wait for the planner
const NOTICES: usize = 1024;

/// clients of the platform
struct Platform {
    objects: store::Client,
    cloud: fleet::cloud::Client,
}

/// reads the settings and runs the daemon until it is told to stop
///
/// # Errors
/// When the settings are wrong or something can't be started.
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
        println!("{name}: the settings are right");
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
    let slot: handover::Slot = Arc::new(OnceLock::new());
    let parts: operator::Slot = Arc::new(OnceLock::new());
    let platform = platform(settings)?;
    let seeds = seeds(settings, &platform);
    let node = node(settings, &server, &runtime, &seeds, methods(&slot, &parts))?;
    let (jobs, queue) = bounded(settings.limits.waiting as usize);
    let context = Arc::new(context(settings, node, &platform, jobs, &runtime));
    if slot.set(Arc::clone(&context)).is_err() {
        tracing::error!(event = "context_set_twice");
    }
    let (stops, reasons) = bounded(STOPS);
    let threads = || start_threads(settings, &context, &platform, &queue, &stops);
    let started = threads().map_err(Error::System)?;
    if parts.set(started).is_err() {
        tracing::error!(event = "parts_set_twice");
    }
    let limits = &settings.limits;
    let running = server
        .start(&context, limits.workers, limits.waiting)
        .map_err(Error::Server)?;
    stop::on_signals(&context, &stops).map_err(Error::System)?;
    tracing::info!(event = "started", vm = settings.vm, callers = %running.address());
    stop::wait(
        &context,
        &reasons,
        Duration::from_millis(settings.timing.drain_ms),
    );
    running.shut_down(LAST_BYTES);
    tracing::info!(event = "stopped", vm = settings.vm);
    Ok(())
}

fn runtime() -> Result<Runtime, Error> {
    let mut builder = runtime::Builder::new_multi_thread();
    builder.worker_threads(RUNTIME_THREADS).enable_all();
    builder.build().map_err(Error::System)
}

fn methods(slot: &handover::Slot, parts: &operator::Slot) -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .merge(handover::methods(slot))
        .expect("the names are distinct");
    module
        .merge(operator::methods(parts))
        .expect("the names are distinct");
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

/// control addresses to join by: those of the settings and, as a hint, of the list of VMs
fn seeds(settings: &Daemon, platform: &Platform) -> Vec<String> {
    let mut seeds = settings.peers.clone();
    match platform.cloud.list() {
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

fn platform(settings: &Daemon) -> Result<Platform, Error> {
    let token = match &settings.platform.token_file {
        Some(path) => secret::read(path)?,
        None => String::new(),
    };
    Ok(Platform {
        objects: store::Client::new(&settings.platform.objects, &token),
        cloud: fleet::cloud::Client::new(&settings.platform.cloud),
    })
}

fn context(
    settings: &Daemon,
    node: Node,
    platform: &Platform,
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
    let claims = Claims::start(platform.objects.clone(), store::claim::Options::default());
    let vms = Table::new(location, settings.policy);
    Builder::new(node, vms, engines, claims, jobs).build(runtime.handle().clone())
}

fn start_threads(
    settings: &Daemon,
    context: &Arc<Context>,
    platform: &Platform,
    jobs: &Receiver<Job>,
    stops: &Sender<Leaving>,
) -> std::io::Result<Parts> {
    DriverPool::start(context, jobs, settings.limits.workers)?;
    let keeper = Arc::new(Keeper::new(Arc::clone(context)));
    Follower::start(
        Arc::clone(context),
        Arc::clone(&keeper),
        platform.objects.clone(),
    )?;
    let reader = Reader::start(Arc::clone(context), platform.cloud.clone())?;
    let (heard, notices) = bounded(NOTICES);
    let outlets = Outlets {
        own: stops.clone(),
        heard,
    };
    Notices::start(Arc::clone(context), platform.cloud.clone(), outlets)?;
    Poller::start(context, Duration::from_millis(settings.timing.poll_ms))?;
    Spread::start(Arc::clone(context))?;
    gauges::start(Arc::clone(context))?;
    share::start(Arc::clone(context))?;
    sweep::start(Arc::clone(context), &settings.limits)?;
    let objects = platform.objects.clone();
    let tenure = capacity::start(context, &settings.platform, objects, notices)?;
    Ok(Parts {
        context: Arc::clone(context),
        tenure,
        keeper,
        reader,
        stop: stops.clone(),
    })
}

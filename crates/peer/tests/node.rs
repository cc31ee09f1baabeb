//! Nodes with real sockets: kills, draining, stalled connections and keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;
use peer::{CallError, Fact, Member, Node, Settings, State};
use schema::failure::Verdict;
use schema::member::{Applied, Demand, Entry, Leaving, Moved, Revision};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

const SECOND: Duration = Duration::from_secs(1);
/// time in which a killed daemon is removed from all lists of its data centre
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
const JOIN_LIMIT: Duration = Duration::from_secs(10);
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// duration of the call whose connection breaks, milliseconds; longer than that of any other
const BROKEN_CALL_MS: u64 = 90_000;
const FLEET_KEY: &str = "fleet-key-for-tests";
const OPERATOR_KEY: &str = "operator-key-for-tests";

/// longest duration that was passed to `test_sleep`, milliseconds
static MAX_SLEEP_MS: AtomicU64 = AtomicU64::new(0);

/// a node with a runtime of its own, so that it can be killed alone
struct Host {
    node: Node,
    runtime: Runtime,
}

impl Host {
    fn start(vm: &str, data_centre: &str, seeds: &[String]) -> Host {
        let runtime = runtime();
        let settings = settings(vm, data_centre, seeds);
        let node = runtime
            .block_on(Node::start(settings, test_methods()))
            .expect("start of a node");
        Host { node, runtime }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
    }
}

fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("start of a runtime")
}

fn settings(vm: &str, data_centre: &str, seeds: &[String]) -> Settings {
    Settings::new(vm, data_centre)
        .region("east")
        .control("127.0.0.1:0")
        .callers("127.0.0.1:9")
        .seeds(seeds)
        .fleet_key(FLEET_KEY)
        .operator_key(OPERATOR_KEY)
}

fn test_methods() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    let echo = |params: jsonrpsee::types::Params<'_>| params.one::<String>();
    module
        .register_method("test_echo", move |params, (), _| echo(params))
        .expect("registration of a test method");
    module
        .register_method("operator_echo", move |params, (), _| echo(params))
        .expect("registration of a test method");
    module
        .register_method("test_fail", |_, (), _| {
            Err::<(), _>(ErrorObjectOwned::owned(7, "it failed", None::<()>))
        })
        .expect("registration of a test method");
    module
        .register_async_method("test_sleep", |params, _, _| async move {
            let millis: u64 = params.one()?;
            MAX_SLEEP_MS.fetch_max(millis, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(millis)).await;
            Ok::<_, ErrorObjectOwned>("slept".to_owned())
        })
        .expect("registration of a test method");
    module
}

fn cluster(data_centre: &str, size: usize, seeds: &mut Vec<String>) -> Vec<Host> {
    let mut hosts = Vec::new();
    for number in 0..size {
        let host = Host::start(&format!("{data_centre}-{number}"), data_centre, seeds);
        seeds.push(host.node.me().control.clone());
        hosts.push(host);
    }
    hosts
}

fn wait_until(limit: Duration, what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "{what}: not done within {limit:?}");
        std::thread::sleep(POLL_PERIOD);
    }
    start.elapsed()
}

fn all_list_live(hosts: &[Host], count: usize) -> bool {
    hosts.iter().all(|host| {
        let members = host.node.members();
        members.len() == count && members.iter().all(|m| m.state == State::Live)
    })
}

#[test]
fn killed_daemon_is_unlisted_within_three_seconds() {
    let mut hosts = cluster("east-1", 6, &mut Vec::new());
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&hosts, 6)
    });
    let victim = hosts.remove(2);
    victim.kill();
    let took = wait_until(DETECTION_LIMIT, "removal of the killed daemon", || {
        all_list_live(&hosts, 5)
    });
    println!("detected after {took:?}");
}

#[test]
fn leaving_daemon_is_known_within_a_second() {
    let hosts = cluster("east-1", 6, &mut Vec::new());
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&hosts, 6)
    });
    let draining = hosts[0].node.me().instance;
    hosts[0].runtime.block_on(hosts[0].node.start_drain());
    wait_until(SECOND, "state of the leaving daemon", || {
        hosts.iter().all(|host| {
            let local = host.node.data_centre_members();
            local.len() == 5 && local.iter().all(|m| m.instance != draining)
        })
    });
    let listed = hosts[1].node.members();
    let found = listed.iter().find(|m| m.instance == draining);
    assert_eq!(found.map(|m| m.state), Some(State::Leaving));
    hosts[0].runtime.block_on(hosts[0].node.stop());
    wait_until(SECOND, "removal of the stopped daemon", || {
        all_list_live(&hosts[1..], 5)
    });
}

#[test]
fn facts_reach_all_nodes() {
    let hosts = cluster("east-1", 5, &mut Vec::new());
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&hosts, 5)
    });
    let publications = hosts[4].node.subscribe();
    let publisher = &hosts[0].node;
    publisher.publish(Fact::Leaving(Leaving {
        vm: "engine-3".to_owned(),
        seconds: 30,
    }));
    publisher.publish(Fact::Revision(Revision { number: 7 }));
    publisher.publish(Fact::Revision(Revision { number: 5 }));
    publisher.publish(Fact::Moved(Moved {
        request: "r-1".to_owned(),
        to: hosts[1].node.me().instance,
    }));
    wait_until(SECOND, "urgent facts", || {
        hosts.iter().all(|host| {
            let node = &host.node;
            let moved = node.handover_target("r-1").map(|member| member.vm);
            node.revision() == 7
                && node.draining_vms().iter().any(|l| l.vm == "engine-3")
                && moved.as_deref() == Some("east-1-1")
        })
    });
    let first = publications.recv_timeout(SECOND).expect("a publication");
    assert_eq!(first.origin, publisher.me().instance);
    publisher.publish(Fact::Applied(Applied { number: 7 }));
    wait_until(JOIN_LIMIT, "applied revision", || {
        hosts.iter().all(|host| {
            let applied = host.node.applied_revisions();
            applied.len() == 1 && applied[0].revision == 7
        })
    });
}

#[test]
fn demand_is_summed_over_data_centres() {
    let mut seeds = Vec::new();
    let mut hosts = cluster("east-1", 2, &mut seeds);
    hosts.extend(cluster("west-1", 2, &mut seeds));
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&hosts, 4)
    });
    for host in &hosts {
        let entry = Entry {
            workspace: "press".to_owned(),
            tokens_per_second: 100,
            concurrent: 3,
        };
        let entries = vec![entry];
        host.node.publish(Fact::Demand(Demand { entries }));
    }
    wait_until(JOIN_LIMIT, "sums of demand", || {
        hosts.iter().all(|host| {
            let demand = host.node.demand("press");
            demand.local.tokens_per_second == 100
                && demand.data_centre.tokens_per_second == 200
                && demand.fleet.tokens_per_second == 400
                && demand.fleet.concurrent == 12
        })
    });
}

#[test]
fn new_delegate_replaces_a_killed_one() {
    let mut seeds = Vec::new();
    let mut east = cluster("east-1", 3, &mut seeds);
    let west = cluster("west-1", 3, &mut seeds);
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&east, 6) && all_list_live(&west, 6)
    });
    let duty = "exchange/west-1";
    let delegate = east[0].node.duty_holders(duty, 1)[0].instance;
    let index = east.iter().position(|h| h.node.me().instance == delegate);
    east.remove(index.expect("the delegate is a host of this test"))
        .kill();
    wait_until(
        DETECTION_LIMIT + 5 * SECOND,
        "removal of the killed delegate",
        || all_list_live(&east, 5) && all_list_live(&west, 5),
    );
    east[0].node.publish(Fact::Revision(Revision { number: 9 }));
    wait_until(5 * SECOND, "revision in the other data centre", || {
        west.iter().all(|host| host.node.revision() == 9)
    });
}

#[test]
fn call_errors_say_whether_the_method_may_have_run() {
    let hosts = cluster("east-1", 2, &mut Vec::new());
    let node = &hosts[0].node;
    let other = hosts[1].node.me().clone();
    let echoed = node.call_blocking::<_, String>(&other, "test_echo", &"hi", SECOND);
    assert_eq!(echoed, Ok("hi".to_owned()));

    let failed = node.call_blocking::<_, ()>(&other, "test_fail", &(), SECOND);
    let error = failed.expect_err("test_fail returns an error");
    assert!(matches!(error, CallError::Failed { code: 7, .. }));
    assert_eq!(error.verdict(), Verdict::Ran);

    let unknown = node.call_blocking::<_, ()>(&other, "test_nothing", &(), SECOND);
    assert_eq!(
        unknown.expect_err("an unknown method").verdict(),
        Verdict::NotRun
    );

    let operators = node.call_blocking::<_, String>(&other, "operator_echo", &"hi", SECOND);
    let error = operators.expect_err("it needs the operator key");
    assert!(matches!(error, CallError::Refused { .. }));
    assert_eq!(error.verdict(), Verdict::NotRun);

    let short = Duration::from_millis(50);
    let slow = node.call_blocking::<_, String>(&other, "test_sleep", &2000, short);
    assert_eq!(slow, Err(CallError::Timeout));
    assert_eq!(CallError::Timeout.verdict(), Verdict::MayHaveRun);

    let member_without_daemon = Member {
        control: "127.0.0.1:1".to_owned(),
        ..other.clone()
    };
    let unreachable =
        node.call_blocking::<_, String>(&member_without_daemon, "test_echo", &"hi", SECOND);
    assert_eq!(
        unreachable.expect_err("no daemon listens there").verdict(),
        Verdict::NotRun
    );

    let large = "x".repeat(5 * 1024 * 1024);
    let refused = node.call_blocking::<_, String>(&other, "test_echo", &large, SECOND);
    assert_eq!(
        refused
            .expect_err("5 MiB exceed the message size limit")
            .verdict(),
        Verdict::NotRun
    );

    let other_runtime = runtime();
    let node_with_other_key = other_runtime
        .block_on(Node::start(
            settings("x", "east-1", &[]).fleet_key("another"),
            RpcModule::new(()),
        ))
        .expect("start of a node with another key");
    let refused =
        node_with_other_key.call_blocking::<_, String>(&other, "test_echo", &"hi", SECOND);
    assert_eq!(
        refused.expect_err("the key is wrong").verdict(),
        Verdict::NotRun
    );
}

#[test]
fn call_on_a_broken_connection_may_have_run() {
    let mut hosts = cluster("east-1", 2, &mut Vec::new());
    let other = hosts[1].node.me().clone();
    let node = hosts[0].node.clone();
    let call = std::thread::spawn(move || {
        node.call_blocking::<_, String>(&other, "test_sleep", &BROKEN_CALL_MS, 10 * SECOND)
    });
    wait_until(10 * SECOND, "start of the call", || {
        MAX_SLEEP_MS.load(Ordering::SeqCst) == BROKEN_CALL_MS
    });
    hosts.remove(1).kill();
    let error = call
        .join()
        .expect("end of the calling thread")
        .expect_err("the connection broke");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
}

/// starts a process that writes bytes without end to whoever connects; counts them
fn start_endless(runtime: &Runtime, bytes: &'static [u8]) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"));
    let listener = listener.expect("a local address");
    let address = listener.local_addr().expect("a local address");
    let written = Arc::new(AtomicU64::new(0));
    let count = written.clone();
    runtime.spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                while stream.write_all(bytes).await.is_ok() {
                    count.fetch_add(bytes.len() as u64, Ordering::SeqCst);
                }
            });
        }
    });
    (address, written)
}

/// another process at a daemon's address, whose bytes without end were kept until the time-out
#[test]
fn bytes_without_end_in_place_of_a_handshake_end_the_connection() {
    let caller = Host::start("caller", "west-1", &[]);
    let runtime = runtime();
    for bytes in [
        b"HTTP/1.1 200 OOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOOO".as_slice(),
        b"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n".as_slice(),
    ] {
        // a repeated status line is one status line without end
        let chunk: &'static [u8] = Vec::leak(match bytes {
            [b'H', ..] => [bytes, &[b'O'; 16_000]].concat(),
            _ => bytes.repeat(1000),
        });
        let (address, written) = start_endless(&runtime, chunk);
        let endless = Member {
            control: address.to_string(),
            ..caller.node.me().clone()
        };
        let before = caller.node.traffic().received_bytes;
        let start = Instant::now();
        let result =
            caller
                .node
                .call_blocking::<_, String>(&endless, "test_echo", &"a", 10 * SECOND);
        assert_eq!(
            result.expect_err("there is no daemon").verdict(),
            Verdict::NotRun
        );
        assert!(start.elapsed() < SECOND / 2, "{:?}", start.elapsed());
        let received = caller.node.traffic().received_bytes - before;
        assert!(received < 100_000, "{received} bytes received");
        let wrote = written.load(Ordering::SeqCst);
        std::thread::sleep(SECOND / 5);
        assert_eq!(
            written.load(Ordering::SeqCst),
            wrote,
            "the connection is open"
        );
    }
}

/// a connection to the control address that never sent a request stayed open for good
#[test]
fn connection_without_a_valid_request_is_closed() {
    let host = Host::start("server", "west-1", &[]);
    let control = host.node.me().control.clone();
    let runtime = runtime();
    for text in [
        "",
        "POST / HTTP/1.1\r\n",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
    ] {
        let closed = runtime.block_on(async {
            let mut stream = TcpStream::connect(&control).await.expect("a connection");
            stream.write_all(text.as_bytes()).await.expect("a write");
            let mut bytes = Vec::new();
            let reading = stream.read_to_end(&mut bytes);
            tokio::time::timeout(12 * SECOND, reading).await
        });
        assert!(closed.is_ok(), "{text:?}: the connection is still open");
    }
}

/// TCP proxy that can stall its connections for good, without closing them
struct StallingProxy {
    address: SocketAddr,
    stalled: Arc<AtomicUsize>,
}

impl StallingProxy {
    fn start(runtime: &Runtime, target: String) -> StallingProxy {
        let listener = runtime
            .block_on(TcpListener::bind("127.0.0.1:0"))
            .expect("a local address");
        let address = listener.local_addr().expect("a local address");
        let stalled = Arc::new(AtomicUsize::new(0));
        let opened = Arc::new(AtomicUsize::new(0));
        let stalled_count = stalled.clone();
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = opened.fetch_add(1, Ordering::SeqCst) + 1;
                let Ok(server) = TcpStream::connect(&target).await else {
                    continue;
                };
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(forward(
                    client_read,
                    server_write,
                    number,
                    stalled_count.clone(),
                ));
                tokio::spawn(forward(
                    server_read,
                    client_write,
                    number,
                    stalled_count.clone(),
                ));
            }
        });
        StallingProxy { address, stalled }
    }

    /// stalls the first `count` connections that were opened
    fn stall(&self, count: usize) {
        self.stalled.store(count, Ordering::SeqCst);
    }
}

async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    number: usize,
    stalled: Arc<AtomicUsize>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        if number <= stalled.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

#[test]
fn stalled_connection_is_replaced() {
    let hosts = cluster("east-1", 1, &mut Vec::new());
    let proxy_runtime = runtime();
    let proxy = StallingProxy::start(&proxy_runtime, hosts[0].node.me().control.clone());
    let caller = Host::start("caller", "west-1", &[]);
    let proxied = Member {
        control: proxy.address.to_string(),
        ..hosts[0].node.me().clone()
    };
    let call = || {
        caller
            .node
            .call_blocking::<_, String>(&proxied, "test_echo", &"hi", SECOND)
    };
    assert_eq!(call(), Ok("hi".to_owned()));
    proxy.stall(1);
    assert_eq!(call(), Err(CallError::Timeout));
    assert_eq!(call(), Ok("hi".to_owned()));
}

#[test]
fn slow_call_does_not_drop_the_connection() {
    let hosts = cluster("east-1", 2, &mut Vec::new());
    let node = hosts[0].node.clone();
    let other = hosts[1].node.me().clone();
    wait_until(JOIN_LIMIT, "all nodes list each other", || {
        all_list_live(&hosts, 2)
    });
    // joining may have opened only the connection in the other direction
    let echoed = node.call_blocking::<_, String>(&other, "test_echo", &"a", SECOND);
    assert_eq!(echoed, Ok("a".to_owned()));
    let before = node.traffic().connections;
    let finished = Arc::new(AtomicBool::new(false));
    let (stop, echo_node, target) = (finished.clone(), node.clone(), other.clone());
    let echoes = std::thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let echoed = echo_node.call_blocking::<_, String>(&target, "test_echo", &"a", SECOND);
            assert_eq!(echoed, Ok("a".to_owned()));
            std::thread::sleep(POLL_PERIOD);
        }
    });
    let slow = node.call_blocking::<_, String>(&other, "test_sleep", &60_000, SECOND);
    assert_eq!(slow, Err(CallError::Timeout));
    finished.store(true, Ordering::SeqCst);
    echoes.join().expect("every echo succeeded");
    assert_eq!(node.traffic().connections, before);
}

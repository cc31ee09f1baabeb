//! Commands that call a daemon, run against a JSON-RPC server that stands in for it.

use std::net::SocketAddr;

use crate::support::{Run, run_tool, write_file};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use schema::method;
use schema::operator::{DrainQuery, Drained, Status, Trace, TraceQuery};
use serde_json::json;
use tokio::runtime::Runtime;

/// a JSON-RPC server that knows the VM `desk-3` and the request `r1`
struct TestDaemon {
    address: SocketAddr,
    _handle: ServerHandle,
    _runtime: Runtime,
}

impl TestDaemon {
    fn start() -> Self {
        let runtime = Runtime::new().expect("start runtime");
        let server = runtime
            .block_on(Server::builder().build("127.0.0.1:0"))
            .expect("bind server");
        let address = server.local_addr().expect("local address");
        let handle = {
            let _guard = runtime.enter();
            server.start(methods())
        };
        TestDaemon {
            address,
            _handle: handle,
            _runtime: runtime,
        }
    }

    fn run(&self, arguments: &[&str]) -> Run {
        let folder = tempfile::tempdir().expect("temporary folder");
        let key = write_file(folder.path(), "key", "operators\n");
        let yaml = format!("control: {}\noperator_key_file: {key}\n", self.address);
        let settings = write_file(folder.path(), "client.yaml", &yaml);
        let mut all_arguments = vec!["--settings", &settings];
        all_arguments.extend_from_slice(arguments);
        run_tool(&all_arguments)
    }
}

fn methods() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .register_method(
            method::STATUS,
            |_, (), _| -> Result<Status, ErrorObjectOwned> { Ok(status()) },
        )
        .expect("unused method name");
    module
        .register_method(method::DRAIN, |params, (), _| {
            let query: DrainQuery = params.parse()?;
            if query.vm != "desk-3" {
                let text = format!("there is no VM {}", query.vm);
                return Err(ErrorObjectOwned::owned(-32_000, text, None::<()>));
            }
            Ok::<Drained, ErrorObjectOwned>(Drained {
                vm: query.vm,
                in_flight: 2,
            })
        })
        .expect("unused method name");
    module
        .register_method(
            method::TRACE,
            |params, (), _| -> Result<Trace, ErrorObjectOwned> {
                let query: TraceQuery = params.parse()?;
                Ok(trace(query.id))
            },
        )
        .expect("unused method name");
    module
}

fn status() -> Status {
    let member = |vm: &str, revision: u64| json!({"vm": vm, "data_centre": "a", "region": "south", "state": "live", "revision": revision});
    let status = json!({
        "daemon": "entry-1", "revision": 7, "preset": "peak",
        "members": [member("entry-1", 7), member("entry-2", 6)],
        "duties": [{"name": "watch", "holder": "entry-2"}],
        "upstreams": [{
            "vm": "desk-3", "upstream": "desk-a", "service": "desk", "address": "127.0.0.1:1",
            "state": "leaving", "in_flight": 2, "level": 51,
        }],
    });
    serde_json::from_value(status).expect("valid status")
}

fn trace(id: String) -> Trace {
    let mut spans = Vec::new();
    if id == "r1" {
        let span = json!({
            "name": "attempt", "daemon": "entry-2", "start_us": 5_000, "duration_us": 1_500,
            "note": "desk-3",
        });
        spans.push(serde_json::from_value(span).expect("valid span"));
    }
    Trace {
        id,
        spans,
        missing: Vec::new(),
    }
}

#[test]
fn status_shows_revisions_members_and_vms() {
    let daemon = TestDaemon::start();
    let run = daemon.run(&["status"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.stdout.contains("revision 7, preset peak"),
        "{}",
        run.stdout
    );
    assert!(
        run.stdout.contains("1 live daemons are behind revision 7"),
        "{}",
        run.stdout
    );
    assert!(run.stdout.contains("1 VMs are leaving"), "{}", run.stdout);
    let row = run
        .stdout
        .lines()
        .find(|line| line.starts_with("desk "))
        .expect("row of the service");
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells, ["desk", "0", "1", "0", "2", "20%"]);
    let json = daemon.run(&["status", "--output", "json"]);
    assert_eq!(
        serde_json::from_str::<Status>(&json.stdout).expect("valid JSON"),
        status()
    );
}

#[test]
fn drain_reports_requests_in_flight() {
    let daemon = TestDaemon::start();
    let run = daemon.run(&["drain", "desk-3"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.stdout
            .contains("desk-3 receives no new requests; 2 requests"),
        "{}",
        run.stdout
    );
    let run = daemon.run(&["drain", "desk-4"]);
    assert_eq!(run.code, 1);
    assert!(
        run.stderr.contains("there is no VM desk-4"),
        "{}",
        run.stderr
    );
}

#[test]
fn trace_shows_spans() {
    let daemon = TestDaemon::start();
    let run = daemon.run(&["trace", "r1"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.stdout
            .contains("0.0 ms  1.5 ms  entry-2  attempt  desk-3"),
        "{}",
        run.stdout
    );
    assert_eq!(daemon.run(&["trace", "r2"]).code, 1);
}

#[test]
fn an_unreachable_daemon_exits_with_5_and_an_unresponsive_one_with_6() {
    let daemon = TestDaemon::start();
    let address = daemon.address;
    drop(daemon);
    let folder = tempfile::tempdir().expect("temporary folder");
    let key = write_file(folder.path(), "key", "operators\n");
    let unreachable = address.to_string();
    let run = run_tool(&[
        "drain",
        "desk-3",
        "--control",
        &unreachable,
        "--operator-key-file",
        &key,
    ]);
    assert_eq!(run.code, 5, "{run:?}");

    // the operating system accepts connections for the listener, but nothing responds
    let unresponsive = std::net::TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let address = unresponsive
        .local_addr()
        .expect("local address")
        .to_string();
    let common_arguments = [
        "--control",
        &address,
        "--operator-key-file",
        &key,
        "--timeout",
        "1",
    ];
    let drain = [&common_arguments[..], &["drain", "desk-3"]].concat();
    assert_eq!(run_tool(&drain).code, 6);
    let status = [&common_arguments[..], &["status"]].concat();
    assert_eq!(run_tool(&status).code, 5);
}

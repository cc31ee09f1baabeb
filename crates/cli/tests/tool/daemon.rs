//! Commands against a daemon, with a JSON-RPC server in its place.

use std::net::SocketAddr;

use crate::support::{Run, agateloom, write};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use schema::method;
use schema::operator::{DrainQuery, Drained, Status, Trace, TraceQuery};
use serde_json::json;
use tokio::runtime::Runtime;

/// a daemon that knows one VM and one request
struct Daemon {
    address: SocketAddr,
    _handle: ServerHandle,
    _runtime: Runtime,
}

impl Daemon {
    fn start() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let server = runtime
            .block_on(Server::builder().build("127.0.0.1:0"))
            .expect("a server");
        let address = server.local_addr().expect("an address");
        let handle = {
            let _entered = runtime.enter();
            server.start(methods())
        };
        Daemon {
            address,
            _handle: handle,
            _runtime: runtime,
        }
    }

    fn run(&self, arguments: &[&str]) -> Run {
        let folder = tempfile::tempdir().expect("a folder");
        let key = write(folder.path(), "key", "operators\n");
        let yaml = format!("control: {}\noperator_key_file: {key}\n", self.address);
        let settings = write(folder.path(), "client.yaml", &yaml);
        let mut all = vec!["--settings", &settings];
        all.extend_from_slice(arguments);
        agateloom(&all)
    }
}

fn methods() -> RpcModule<()> {
    let mut module = RpcModule::new(());
    module
        .register_method(
            method::STATUS,
            |_, (), _| -> Result<Status, ErrorObjectOwned> { Ok(status()) },
        )
        .expect("a new name");
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
        .expect("a new name");
    module
        .register_method(
            method::TRACE,
            |params, (), _| -> Result<Trace, ErrorObjectOwned> {
                let query: TraceQuery = params.parse()?;
                Ok(trace(query.id))
            },
        )
        .expect("a new name");
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
    serde_json::from_value(status).expect("a status")
}

fn trace(id: String) -> Trace {
    let mut spans = Vec::new();
    if id == "r1" {
        let span = json!({
            "name": "attempt", "daemon": "entry-2", "start_us": 5_000, "duration_us": 1_500,
            "note": "desk-3",
        });
        spans.push(serde_json::from_value(span).expect("a span"));
    }
    Trace {
        id,
        spans,
        missing: Vec::new(),
    }
}

#[test]
fn status_shows_revisions_members_and_vms() {
    let daemon = Daemon::start();
    let run = daemon.run(&["status"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("revision 7, preset peak"), "{}", run.out);
    assert!(
        run.out.contains("1 live daemons are behind revision 7"),
        "{}",
        run.out
    );
    assert!(run.out.contains("1 VMs are leaving"), "{}", run.out);
    let row = run
        .out
        .lines()
        .find(|line| line.starts_with("desk "))
        .expect("the service's row");
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells, ["desk", "0", "1", "0", "2", "20%"]);
    let json = daemon.run(&["status", "--output", "json"]);
    assert_eq!(
        serde_json::from_str::<Status>(&json.out).expect("JSON"),
        status()
    );
}

#[test]
fn drain_says_what_is_left() {
    let daemon = Daemon::start();
    let run = daemon.run(&["drain", "desk-3"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("desk-3 gets no new work; 2 requests"),
        "{}",
        run.out
    );
    let run = daemon.run(&["drain", "desk-4"]);
    assert_eq!(run.code, 1);
    assert!(run.err.contains("there is no VM desk-4"), "{}", run.err);
}

#[test]
fn trace_shows_the_hops() {
    let daemon = Daemon::start();
    let run = daemon.run(&["trace", "r1"]);
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out.contains("0.0 ms  1.5 ms  entry-2  attempt  desk-3"),
        "{}",
        run.out
    );
    assert_eq!(daemon.run(&["trace", "r2"]).code, 1);
}

#[test]
fn a_daemon_that_is_gone_ends_with_5_and_a_silent_one_with_6() {
    let daemon = Daemon::start();
    let address = daemon.address;
    drop(daemon);
    let folder = tempfile::tempdir().expect("a folder");
    let key = write(folder.path(), "key", "operators\n");
    let gone = address.to_string();
    let run = agateloom(&[
        "drain",
        "desk-3",
        "--control",
        &gone,
        "--operator-key-file",
        &key,
    ]);
    assert_eq!(run.code, 5, "{run:?}");

    // connections are taken but nothing answers
    let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = silent.local_addr().expect("an address").to_string();
    let common = [
        "--control",
        &address,
        "--operator-key-file",
        &key,
        "--timeout",
        "1",
    ];
    let drain = [&common[..], &["drain", "desk-3"]].concat();
    assert_eq!(agateloom(&drain).code, 6);
    let status = [&common[..], &["status"]].concat();
    assert_eq!(agateloom(&status).code, 5);
}

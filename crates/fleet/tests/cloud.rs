//! Tests of the cloud client and the autoscaler with the stand-in of the cloud API.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fleet::cloud::{Client, Cloud, Error, Timeouts};
use fleet::{Autoscaler, Demand, Input, StoreStatus};
use schema::cloud::{Market, Start, State as VmState, Vm};
use schema::config::Declaration;
use schema::failure::Verdict;
use standin::cloud::{Faults, Options, Reclaim, Refusal, Server};

/// time limit for conditions that usually hold within a second
const TIMEOUT: Duration = Duration::from_secs(20);

fn server() -> Server {
    let options = Options::builder().lag_ms(50).start_ms(100).build();
    Server::start(options).expect("stand-in starts")
}

fn client(server: &Server) -> Client {
    Client::new(&format!("http://{}", server.address()))
}

fn start(zone: &str) -> Start {
    Start {
        upstream: "desk-a".to_owned(),
        zone: zone.to_owned(),
        class: "cpu".to_owned(),
        market: Market::Reclaimable,
    }
}

/// waits until a condition holds
fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "not within {TIMEOUT:?}: {condition}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

fn live_count(vms: &[Vm]) -> usize {
    vms.iter().filter(|vm| vm.state == VmState::Live).count()
}

#[test]
fn a_repeated_start_creates_no_second_vm() {
    let server = server();
    let client = client(&server);
    for _ in 0..3 {
        let vm = client.start("desk-0", &start("a")).expect("start succeeds");
        assert_eq!((vm.name.as_str(), vm.zone.as_str()), ("desk-0", "a"));
    }
    assert_eq!(client.start("desk-0", &start("b")), Err(Error::NameTaken));
    wait_until("the VM is live", || {
        live_count(&client.list().expect("list succeeds")) == 1
    });
    client.remove("desk-0").expect("removal succeeds");
    client.remove("desk-0").expect("repeated removal succeeds");
    wait_until("the list is empty", || {
        client.list().expect("list succeeds").is_empty()
    });
}

/// waits until the listener of a dropped stand-in is closed, which takes a moment
fn wait_until_refused(address: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_ok() {
        assert!(
            Instant::now() < deadline,
            "{address} still accepts connections"
        );
        std::thread::yield_now();
    }
}

#[test]
fn refused_and_unsent_starts_have_not_run() {
    let server = server();
    let client = client(&server);
    let refuse = vec![Refusal {
        zone: "a".to_owned(),
        market: None,
    }];
    server.set_faults(Faults {
        refuse,
        ..Faults::default()
    });
    let error = client
        .start("desk-0", &start("a"))
        .expect_err("zone has no capacity");
    assert_eq!(
        (&error, error.verdict()),
        (&Error::NoCapacity, Verdict::NotRun)
    );
    assert!(client.start("desk-0", &start("b")).is_ok());

    server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let error = client.list().expect_err("cloud is down");
    assert!(error.is_outage(), "{error}");

    let address = server.address();
    drop(server);
    wait_until_refused(address);
    let client = Client::new(&format!("http://{address}"));
    let error = client
        .start("desk-1", &start("a"))
        .expect_err("no listener");
    assert!(matches!(error, Error::Unreachable(_)), "{error}");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[test]
fn a_start_without_response_may_have_run_and_can_be_repeated() {
    let server = server();
    let client = client(&server);
    server.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let error = client
        .start("desk-0", &start("a"))
        .expect_err("response is lost");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    client
        .start("desk-0", &start("a"))
        .expect("repeated start succeeds");
    wait_until("one VM is live", || {
        live_count(&client.list().expect("list succeeds")) == 1
    });
}

#[test]
fn a_call_without_response_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let url = format!("http://{}", listener.local_addr().expect("local address"));
    let second = Duration::from_secs(1);
    let client = Client::new(&url).timeouts(Timeouts {
        connect: second,
        call: second,
    });
    let began = Instant::now();
    let error = client
        .start("desk-0", &start("a"))
        .expect_err("no response");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert!(began.elapsed() < Duration::from_secs(4));
}

#[test]
fn a_long_poll_returns_new_notices() {
    let server = server();
    let client = client(&server);
    assert_eq!(client.notices(0, Duration::from_millis(50)), Ok(Vec::new()));
    client.start("desk-0", &start("a")).expect("start succeeds");
    let waiting = {
        let client = client.clone();
        thread::spawn(move || client.notices(0, Duration::from_secs(10)))
    };
    server.reclaim(&Reclaim {
        zone: "a".to_owned(),
        seconds: 9,
        ..Reclaim::default()
    });
    let notices = waiting
        .join()
        .expect("thread does not panic")
        .expect("notices arrive");
    assert_eq!(notices.len(), 1);
    assert_eq!((notices[0].vm.as_str(), notices[0].seconds), ("desk-0", 9));
    let none = client.notices(notices[0].number, Duration::from_millis(50));
    assert_eq!(none, Ok(Vec::new()));
}

const DECLARATION: &str = "
services: [{name: desk, kind: plain}]
upstreams:
  - {name: desk-a, service: desk, data_centre: a, class: cpu, slots: 4}
  - {name: desk-b, service: desk, data_centre: b, class: cpu, slots: 4}
workspaces: []
presets:
  - name: ordinary
    capacity: [{service: desk, floor: 4, ceiling: 10, spare: 1, load_percent: 100}]
preset: ordinary
";

/// an autoscaler of the service `desk` with its input
struct Test {
    server: Server,
    client: Client,
    autoscaler: Autoscaler,
    declaration: Declaration,
    demand: BTreeMap<String, Vec<Demand>>,
}

impl Test {
    fn new() -> Self {
        let server = server();
        let demand = Demand {
            region: String::new(),
            in_flight: 8,
            queued: 0,
        };
        Test {
            client: client(&server),
            server,
            autoscaler: Autoscaler::new(1),
            declaration: schema::yaml::parse_declaration(DECLARATION, "test")
                .expect("valid declaration"),
            demand: BTreeMap::from([("desk".to_owned(), vec![demand])]),
        }
    }

    fn step(&mut self, permit: bool) -> Result<fleet::Report, Error> {
        let input = Input {
            declaration: &self.declaration,
            demand: &self.demand,
            loads: &[],
            store: StoreStatus::Reachable,
        };
        let now = tokio::time::Instant::now();
        self.autoscaler.step(&self.client, &|| permit, &input, now)
    }

    /// repeats steps until `wanted` VMs are live; the ceiling holds all the time
    fn step_until_live(&mut self, wanted: usize) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let report = self.step(true);
            let vms = self.client.list().unwrap_or_default();
            assert!(vms.len() <= 10);
            if live_count(&vms) >= wanted {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{} of {wanted} live, {report:?}",
                live_count(&vms)
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn no_vm_is_started_without_a_permit() {
    let mut test = Test::new();
    let report = test.step(false).expect("step succeeds");
    assert!(report.is_stopped);
    assert!(report.started.is_empty());
    assert!(test.server.list().vms.is_empty());
}

#[test]
fn needed_vms_are_started_and_reclaimed_ones_replaced() {
    let mut test = Test::new();
    // eight requests at four slots a VM need two VMs, and two more cover the loss of a zone
    test.step_until_live(4);
    test.server.reclaim(&Reclaim {
        zone: "a".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    });
    wait_until("the VMs of a zone are reclaimed", || {
        live_count(&test.client.list().expect("list succeeds")) < 4
    });
    test.step_until_live(4);
}

#[test]
fn starts_are_retried_after_lost_responses_and_moved_after_refusals() {
    let mut test = Test::new();
    let refuse = vec![Refusal {
        zone: "a".to_owned(),
        market: Some(Market::Reclaimable),
    }];
    test.server.set_faults(Faults {
        lose_answers: 3,
        refuse,
        ..Faults::default()
    });
    test.step_until_live(4);
    let vms = test.client.list().expect("list succeeds");
    assert!(
        vms.iter().any(|vm| vm.market == Market::OnDemand),
        "{vms:?}"
    );
    assert!(
        vms.iter()
            .all(|vm| vm.zone == "b" || vm.market == Market::OnDemand),
        "{vms:?}"
    );
}

#[test]
fn a_step_fails_while_the_cloud_is_down() {
    let mut test = Test::new();
    test.server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    assert!(test.step(true).expect_err("cloud is down").is_outage());
    test.server.set_faults(Faults::default());
    test.step_until_live(4);
}

#[test]
fn vms_of_undeclared_upstreams_are_reported_and_left_alone() {
    let mut test = Test::new();
    let other = Start {
        upstream: "mill-a".to_owned(),
        ..start("a")
    };
    test.client.start("mill-7", &other).expect("start succeeds");
    let daemon = Start {
        upstream: String::new(),
        ..start("a")
    };
    test.client
        .start("entry-1", &daemon)
        .expect("start succeeds");
    wait_until("both are listed", || {
        test.client.list().expect("list succeeds").len() == 2
    });
    let report = test.step(true).expect("step succeeds");
    assert_eq!(report.unknown, ["mill-7"]);
    assert!(report.drained.is_empty() && report.removed.is_empty());
}

/// starts a server that answers each call with this JSON body; returns its base URL
fn serve(body: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).expect("a request");
            stream
                .write_all(response.as_bytes())
                .expect("the response is written");
        }
    });
    format!("http://{address}")
}

#[test]
fn unreadable_entry_of_a_list_costs_only_itself() {
    let deep = format!("{}1{}", "[".repeat(5000), "]".repeat(5000));
    let sound = |name: &str| {
        format!(
            r#"{{"name":"{name}","upstream":"desk-a","zone":"a","class":"cpu","market":"reclaimable","state":"live"}}"#
        )
    };
    for odd in [&deep, r#"{"name":1e999}"#, r#"{"name":"vm-2"}"#, "null"] {
        let body = format!(r#"{{"vms":[{},{odd},{}]}}"#, sound("vm-1"), sound("vm-3"));
        let vms = Client::new(&serve(&body)).list().expect("a list");
        let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
        assert_eq!(names, ["vm-1", "vm-3"]);
    }
}

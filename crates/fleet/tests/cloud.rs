//! The cloud client and the steward against the stand-in of the cloud API.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fleet::cloud::{Client, Cloud, Error, Limits};
use fleet::{Demand, Input, Steward, Store};
use schema::cloud::{Market, Start, State as Life, Vm};
use schema::config::Declaration;
use schema::failure::Verdict;
use standin::cloud::{Faults, Options, Reclaim, Refusal, Server};

/// longest wait for something that takes a fraction of a second
const PATIENCE: Duration = Duration::from_secs(20);

fn server() -> Server {
    let options = Options::builder().lag_ms(50).start_ms(100).build();
    Server::start(options).expect("the stand-in")
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

/// waits until something holds
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

fn live(vms: &[Vm]) -> usize {
    vms.iter().filter(|vm| vm.state == Life::Live).count()
}

#[test]
fn a_repeated_start_is_no_second_vm() {
    let server = server();
    let client = client(&server);
    for _ in 0..3 {
        let vm = client.start("desk-0", &start("a")).expect("a VM");
        assert_eq!((vm.name.as_str(), vm.zone.as_str()), ("desk-0", "a"));
    }
    assert_eq!(client.start("desk-0", &start("b")), Err(Error::Taken));
    until("the VM is live", || {
        live(&client.list().expect("the list")) == 1
    });
    client.remove("desk-0").expect("removed");
    client.remove("desk-0").expect("gone already");
    until("the list is empty", || {
        client.list().expect("the list").is_empty()
    });
}

/// the listener of a stand-in that was dropped closes a moment later
fn wait_until_refused(address: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect(address).is_ok() {
        assert!(Instant::now() < deadline, "still listens");
        std::thread::yield_now();
    }
}

#[test]
fn refusals_and_outages_say_that_nothing_was_done() {
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
        .expect_err("no capacity");
    assert_eq!(
        (&error, error.verdict()),
        (&Error::Capacity, Verdict::NotRun)
    );
    assert!(client.start("desk-0", &start("b")).is_ok());

    server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let error = client.list().expect_err("an outage");
    assert!(error.is_outage(), "{error}");

    let address = server.address();
    drop(server);
    wait_until_refused(address);
    let client = Client::new(&format!("http://{address}"));
    let error = client
        .start("desk-1", &start("a"))
        .expect_err("nobody listens");
    assert!(matches!(error, Error::Unreachable(_)), "{error}");
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[test]
fn a_lost_answer_may_have_run_and_the_repeat_finds_it() {
    let server = server();
    let client = client(&server);
    server.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let error = client
        .start("desk-0", &start("a"))
        .expect_err("a lost answer");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    client.start("desk-0", &start("a")).expect("the same VM");
    until("one VM is live", || {
        live(&client.list().expect("the list")) == 1
    });
}

#[test]
fn a_silent_cloud_is_given_up_in_time() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let url = format!("http://{}", silent.local_addr().expect("an address"));
    let second = Duration::from_secs(1);
    let client = Client::new(&url).limits(Limits {
        connect: second,
        call: second,
    });
    let began = Instant::now();
    let error = client.start("desk-0", &start("a")).expect_err("no answer");
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    assert!(began.elapsed() < Duration::from_secs(4));
}

#[test]
fn notices_are_waited_for() {
    let server = server();
    let client = client(&server);
    assert_eq!(client.notices(0, Duration::from_millis(50)), Ok(Vec::new()));
    client.start("desk-0", &start("a")).expect("a VM");
    let waiting = {
        let client = client.clone();
        thread::spawn(move || client.notices(0, Duration::from_secs(10)))
    };
    server.reclaim(&Reclaim {
        zone: "a".to_owned(),
        seconds: 9,
        ..Reclaim::default()
    });
    let notices = waiting.join().expect("no panic").expect("notices");
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

/// a steward of the service `desk` and what it is told
struct Test {
    server: Server,
    client: Client,
    steward: Steward,
    declaration: Declaration,
    demand: BTreeMap<String, Vec<Demand>>,
}

impl Test {
    fn new() -> Self {
        let server = server();
        let part = Demand {
            region: String::new(),
            in_flight: 8,
            queued: 0,
        };
        Test {
            client: client(&server),
            server,
            steward: Steward::new(1),
            declaration: schema::text::declaration(DECLARATION, "test").expect("reads"),
            demand: BTreeMap::from([("desk".to_owned(), vec![part])]),
        }
    }

    fn step(&mut self, permit: bool) -> Result<fleet::Report, Error> {
        let input = Input {
            declaration: &self.declaration,
            demand: &self.demand,
            loads: &[],
            store: Store::Reachable,
        };
        let now = tokio::time::Instant::now();
        self.steward.step(&self.client, &|| permit, &input, now)
    }

    /// steps until enough VMs serve; all VMs there ever are keep under the ceiling
    fn until_live(&mut self, wanted: usize) {
        let deadline = Instant::now() + PATIENCE;
        loop {
            let report = self.step(true);
            let vms = self.client.list().unwrap_or_default();
            assert!(vms.len() <= 10);
            if live(&vms) >= wanted {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{} of {wanted} live, {report:?}",
                live(&vms)
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn without_a_permit_nothing_is_started() {
    let mut test = Test::new();
    let report = test.step(false).expect("a step");
    assert!(report.is_stopped);
    assert!(report.started.is_empty());
    assert!(test.server.list().vms.is_empty());
}

#[test]
fn the_steward_starts_what_is_needed_and_replaces_what_is_reclaimed() {
    let mut test = Test::new();
    // eight requests in slots of four are two VMs, and as many for the loss of a zone
    test.until_live(4);
    test.server.reclaim(&Reclaim {
        zone: "a".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    });
    until("a zone is lost", || {
        live(&test.client.list().expect("the list")) < 4
    });
    test.until_live(4);
}

#[test]
fn lost_answers_and_refusals_are_overcome() {
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
    test.until_live(4);
    let vms = test.client.list().expect("the list");
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
fn a_cloud_that_is_down_fails_the_step() {
    let mut test = Test::new();
    test.server.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    assert!(test.step(true).expect_err("an outage").is_outage());
    test.server.set_faults(Faults::default());
    test.until_live(4);
}

#[test]
fn vms_of_undeclared_upstreams_are_told_and_left() {
    let mut test = Test::new();
    let other = Start {
        upstream: "mill-a".to_owned(),
        ..start("a")
    };
    test.client.start("mill-7", &other).expect("a VM");
    let daemon = Start {
        upstream: String::new(),
        ..start("a")
    };
    test.client.start("entry-1", &daemon).expect("a VM");
    until("both are listed", || {
        test.client.list().expect("the list").len() == 2
    });
    let report = test.step(true).expect("a step");
    assert_eq!(report.unknown, ["mill-7"]);
    assert!(report.drained.is_empty() && report.removed.is_empty());
}

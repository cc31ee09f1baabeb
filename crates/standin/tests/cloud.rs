//! The simulated cloud: VMs, the delayed list, reclaims, prices and faults.

mod support;

use std::time::{Duration, Instant};

use schema::cloud::{List, Market, Notices, Price, Prices, Start, State, Vm};
use standin::cloud::{Bill, Faults, Options, Reclaim, Refusal, Registration, Server};
use standin::engine;
use support::{
    Stream, TIMEOUT, assert_tokens, completion, delete, eventually, get_json, post, put,
};

fn start_fast_cloud() -> Server {
    let options = Options::builder().lag_ms(0).start_ms(50).build();
    Server::start(options).expect("cloud API should start")
}

fn start_request(zone: &str, market: Market) -> Start {
    Start {
        upstream: "homily-a".to_owned(),
        zone: zone.to_owned(),
        class: "a8".to_owned(),
        market,
    }
}

fn list_vms(cloud: &Server) -> Vec<Vm> {
    get_json::<List>(cloud.address(), "/v1/vms").vms
}

#[test]
fn a_repeated_start_creates_no_second_vm() {
    let cloud = start_fast_cloud();
    let body = start_request("kumamoto-a-1", Market::Reclaimable);
    assert_eq!(
        put(cloud.address(), "/v1/vms/homily-a-0", &body)
            .status()
            .as_u16(),
        201
    );
    assert_eq!(
        put(cloud.address(), "/v1/vms/homily-a-0", &body)
            .status()
            .as_u16(),
        200
    );
    let other = start_request("kumamoto-a-2", Market::Reclaimable);
    assert_eq!(
        put(cloud.address(), "/v1/vms/homily-a-0", &other)
            .status()
            .as_u16(),
        409
    );
    eventually("one live VM", || {
        let vms = list_vms(&cloud);
        vms.len() == 1 && vms[0].state == State::Live
    });
    assert_eq!(
        delete(cloud.address(), "/v1/vms/homily-a-0")
            .status()
            .as_u16(),
        200
    );
    assert_eq!(
        delete(cloud.address(), "/v1/vms/homily-a-0")
            .status()
            .as_u16(),
        404
    );
    assert!(list_vms(&cloud).is_empty());
}

#[test]
fn the_vm_list_is_delayed() {
    let options = Options::builder().lag_ms(1_000).start_ms(0).build();
    let cloud = Server::start(options).expect("cloud API should start");
    let started = Instant::now();
    put(
        cloud.address(),
        "/v1/vms/a",
        &start_request("z", Market::OnDemand),
    );
    eventually("VM in the list", || !list_vms(&cloud).is_empty());
    assert!(started.elapsed() >= Duration::from_secs(1));
}

#[test]
fn refuses_starts_without_capacity() {
    let cloud = start_fast_cloud();
    let refuse = vec![Refusal {
        zone: "z1".to_owned(),
        market: Some(Market::Reclaimable),
    }];
    post(
        cloud.address(),
        "/control/faults",
        &Faults {
            refuse,
            ..Faults::default()
        },
    );
    let refused = put(
        cloud.address(),
        "/v1/vms/a",
        &start_request("z1", Market::Reclaimable),
    );
    assert_eq!(refused.status().as_u16(), 503);
    assert!(
        refused
            .text()
            .expect("response should have a body")
            .contains("capacity")
    );
    let on_demand = put(
        cloud.address(),
        "/v1/vms/a",
        &start_request("z1", Market::OnDemand),
    );
    assert_eq!(on_demand.status().as_u16(), 201);
    let other_zone = put(
        cloud.address(),
        "/v1/vms/b",
        &start_request("z2", Market::Reclaimable),
    );
    assert_eq!(other_zone.status().as_u16(), 201);
}

#[test]
fn a_zone_reclaim_notifies_waiting_clients() {
    let cloud = start_fast_cloud();
    let address = cloud.address();
    put(
        address,
        "/v1/vms/a",
        &start_request("z1", Market::Reclaimable),
    );
    put(address, "/v1/vms/b", &start_request("z1", Market::OnDemand));
    put(
        address,
        "/v1/vms/c",
        &start_request("z2", Market::Reclaimable),
    );
    let waiting = std::thread::spawn(move || {
        get_json::<Notices>(address, "/v1/notices?since=0&wait_ms=9000").notices
    });
    let reclaim = Reclaim {
        zone: "z1".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    };
    post(address, "/control/notice", &reclaim);
    let notices = waiting.join().expect("thread should not panic");
    assert_eq!(notices.len(), 1);
    assert_eq!((notices[0].vm.as_str(), notices[0].seconds), ("a", 1));
    let vm = list_vms(&cloud)
        .into_iter()
        .find(|vm| vm.name == "a")
        .expect("VM should be in the list");
    assert_eq!((vm.state, vm.seconds_left), (State::Leaving, Some(1)));
    eventually("VM removed", || {
        list_vms(&cloud).iter().all(|vm| vm.name != "a")
    });
    assert_eq!(list_vms(&cloud).len(), 2);
    let later: Notices = get_json(address, "/v1/notices?since=1&wait_ms=0");
    assert!(later.notices.is_empty());
}

#[test]
fn started_vms_run_engines_until_they_are_reclaimed() {
    let options = Options::builder()
        .lag_ms(0)
        .start_ms(50)
        .spawn_engines(true)
        .build();
    let engine = engine::Options::builder().step_us(2_000).lag_ms(0).build();
    let cloud = Server::start_with_engine_options(options, engine).expect("cloud API should start");
    put(
        cloud.address(),
        "/v1/vms/a",
        &start_request("z1", Market::Reclaimable),
    );
    eventually("address of the VM", || {
        list_vms(&cloud).iter().any(|vm| !vm.address.is_empty())
    });
    let address = list_vms(&cloud)[0]
        .address
        .parse()
        .expect("address should parse");
    let (chunks, _) = Stream::open(address, &completion("r", "prompt", 5)).read_to_end();
    assert_tokens("prompt", 0, &chunks);
    assert_eq!(
        cloud.with_engine("a", |engine| engine.record().len()),
        Some(1)
    );
    let mut interrupted = Stream::open(address, &completion("s", "prompt", 100_000));
    interrupted.next_event();
    post(
        cloud.address(),
        "/control/notice",
        &Reclaim {
            vm: "a".to_owned(),
            seconds: 1,
            ..Reclaim::default()
        },
    );
    assert_eq!(interrupted.read_to_end().1, None);
    eventually("VM removed", || list_vms(&cloud).is_empty());
}

#[test]
fn forwards_notices_to_registered_vms() {
    let cloud = start_fast_cloud();
    let engine = engine::Server::start(engine::Options::default()).expect("engine should start");
    let vm = Vm {
        name: "a".to_owned(),
        upstream: "homily-a".to_owned(),
        zone: "z1".to_owned(),
        class: "a8".to_owned(),
        market: Market::Reclaimable,
        state: State::Live,
        address: engine.address().to_string(),
        seconds_left: None,
    };
    let registration = Registration {
        vm: vm.clone(),
        forward_notice: true,
    };
    post(cloud.address(), "/control/vms", &registration);
    assert_eq!(list_vms(&cloud), vec![vm]);
    cloud.reclaim(&Reclaim {
        vm: "a".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    });
    engine.wait();
}

#[test]
fn charges_by_time_and_price() {
    let cloud = start_fast_cloud();
    let price = Price {
        zone: "z1".to_owned(),
        class: "a8".to_owned(),
        market: Market::OnDemand,
        micros_per_hour: 3_600_000_000,
    };
    let prices = Prices {
        prices: vec![price],
    };
    post(cloud.address(), "/control/prices", &prices);
    assert_eq!(get_json::<Prices>(cloud.address(), "/v1/prices"), prices);
    put(
        cloud.address(),
        "/v1/vms/a",
        &start_request("z1", Market::OnDemand),
    );
    eventually("charge for half a second", || {
        cloud.bill().micros >= 500_000
    });
    delete(cloud.address(), "/v1/vms/a");
    let bill: Bill = get_json(cloud.address(), "/control/bill");
    assert_eq!(bill.charges.len(), 1);
    assert_eq!(bill, cloud.bill());
}

#[test]
fn faults_lose_a_response_or_refuse_requests() {
    let cloud = start_fast_cloud();
    cloud.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = attohttpc::put(format!("http://{}/v1/vms/a", cloud.address()))
        .read_timeout(TIMEOUT)
        .json(&start_request("z1", Market::OnDemand))
        .expect("request body should serialise")
        .send();
    assert!(lost.is_err());
    assert_eq!(list_vms(&cloud).len(), 1);
    cloud.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let response = put(
        cloud.address(),
        "/v1/vms/b",
        &start_request("z1", Market::OnDemand),
    );
    assert_eq!(response.status().as_u16(), 503);
    cloud.set_faults(Faults::default());
    assert_eq!(list_vms(&cloud).len(), 1);
}

//! The cloud stand-in.

mod support;

use std::time::{Duration, Instant};

use schema::cloud::{List, Market, Notices, Price, Prices, Start, State, Vm};
use standin::cloud::{Bill, Faults, Options, Reclaim, Refusal, Registration, Server};
use standin::engine;
use support::{PATIENCE, Stream, assert_answer, completion, delete, eventually, fetch, post, put};

fn fast() -> Server {
    let options = Options::builder().lag_ms(0).start_ms(50).build();
    Server::start(options).expect("a cloud API")
}

fn wanted(zone: &str, market: Market) -> Start {
    Start {
        upstream: "homily-a".to_owned(),
        zone: zone.to_owned(),
        class: "a8".to_owned(),
        market,
    }
}

fn vms(cloud: &Server) -> Vec<Vm> {
    fetch::<List>(cloud.address(), "/v1/vms").vms
}

#[test]
fn a_repeated_start_is_no_second_vm() {
    let cloud = fast();
    let body = wanted("kumamoto-a-1", Market::Reclaimable);
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
    let other = wanted("kumamoto-a-2", Market::Reclaimable);
    assert_eq!(
        put(cloud.address(), "/v1/vms/homily-a-0", &other)
            .status()
            .as_u16(),
        409
    );
    eventually("one live VM", || {
        let vms = vms(&cloud);
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
    assert!(vms(&cloud).is_empty());
}

#[test]
fn the_list_lags() {
    let options = Options::builder().lag_ms(1_000).start_ms(0).build();
    let cloud = Server::start(options).expect("a cloud API");
    let started = Instant::now();
    put(cloud.address(), "/v1/vms/a", &wanted("z", Market::OnDemand));
    eventually("the VM in the list", || !vms(&cloud).is_empty());
    assert!(started.elapsed() >= Duration::from_secs(1));
}

#[test]
fn refuses_starts_without_capacity() {
    let cloud = fast();
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
        &wanted("z1", Market::Reclaimable),
    );
    assert_eq!(refused.status().as_u16(), 503);
    assert!(refused.text().expect("a body").contains("capacity"));
    let other = put(
        cloud.address(),
        "/v1/vms/a",
        &wanted("z1", Market::OnDemand),
    );
    assert_eq!(other.status().as_u16(), 201);
    let elsewhere = put(
        cloud.address(),
        "/v1/vms/b",
        &wanted("z2", Market::Reclaimable),
    );
    assert_eq!(elsewhere.status().as_u16(), 201);
}

#[test]
fn reclaims_a_zone_and_tells_who_waits() {
    let cloud = fast();
    let address = cloud.address();
    put(address, "/v1/vms/a", &wanted("z1", Market::Reclaimable));
    put(address, "/v1/vms/b", &wanted("z1", Market::OnDemand));
    put(address, "/v1/vms/c", &wanted("z2", Market::Reclaimable));
    let waiter = std::thread::spawn(move || {
        fetch::<Notices>(address, "/v1/notices?since=0&wait_ms=9000").notices
    });
    let reclaim = Reclaim {
        zone: "z1".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    };
    post(address, "/control/notice", &reclaim);
    let notices = waiter.join().expect("a thread");
    assert_eq!(notices.len(), 1);
    assert_eq!((notices[0].vm.as_str(), notices[0].seconds), ("a", 1));
    let vm = vms(&cloud)
        .into_iter()
        .find(|vm| vm.name == "a")
        .expect("the VM");
    assert_eq!((vm.state, vm.seconds_left), (State::Leaving, Some(1)));
    eventually("the VM gone", || {
        vms(&cloud).iter().all(|vm| vm.name != "a")
    });
    assert_eq!(vms(&cloud).len(), 2);
    let later: Notices = fetch(address, "/v1/notices?since=1&wait_ms=0");
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
    let cloud = Server::start_with(options, engine).expect("a cloud API");
    put(
        cloud.address(),
        "/v1/vms/a",
        &wanted("z1", Market::Reclaimable),
    );
    eventually("an address", || {
        vms(&cloud).iter().any(|vm| !vm.address.is_empty())
    });
    let address = vms(&cloud)[0].address.parse().expect("an address");
    let (chunks, _) = Stream::open(address, &completion("r", "prompt", 5)).rest();
    assert_answer("prompt", 0, &chunks);
    assert_eq!(
        cloud.with_engine("a", |engine| engine.record().len()),
        Some(1)
    );
    let mut cut = Stream::open(address, &completion("s", "prompt", 100_000));
    cut.next_event();
    post(
        cloud.address(),
        "/control/notice",
        &Reclaim {
            vm: "a".to_owned(),
            seconds: 1,
            ..Reclaim::default()
        },
    );
    assert_eq!(cut.rest().1, None);
    eventually("the VM gone", || vms(&cloud).is_empty());
}

#[test]
fn passes_notices_on_to_registered_vms() {
    let cloud = fast();
    let engine = engine::Server::start(engine::Options::default()).expect("an engine");
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
    assert_eq!(vms(&cloud), vec![vm]);
    cloud.reclaim(&Reclaim {
        vm: "a".to_owned(),
        seconds: 1,
        ..Reclaim::default()
    });
    engine.wait();
}

#[test]
fn bills_by_time_and_price() {
    let cloud = fast();
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
    assert_eq!(fetch::<Prices>(cloud.address(), "/v1/prices"), prices);
    put(
        cloud.address(),
        "/v1/vms/a",
        &wanted("z1", Market::OnDemand),
    );
    eventually("half a second's charge", || cloud.bill().micros >= 500_000);
    delete(cloud.address(), "/v1/vms/a");
    let bill: Bill = fetch(cloud.address(), "/control/bill");
    assert_eq!(bill.charges.len(), 1);
    assert_eq!(bill, cloud.bill());
}

#[test]
fn fails_as_told() {
    let cloud = fast();
    cloud.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = attohttpc::put(format!("http://{}/v1/vms/a", cloud.address()))
        .read_timeout(PATIENCE)
        .json(&wanted("z1", Market::OnDemand))
        .expect("a body")
        .send();
    assert!(lost.is_err());
    assert_eq!(vms(&cloud).len(), 1);
    cloud.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let response = put(
        cloud.address(),
        "/v1/vms/b",
        &wanted("z1", Market::OnDemand),
    );
    assert_eq!(response.status().as_u16(), 503);
    cloud.set_faults(Faults::default());
    assert_eq!(vms(&cloud).len(), 1);
}

//! The simulated plain service: execution record and faults.

mod support;

use std::net::SocketAddr;

use standin::plain::{Execution, Faults, Options, Response, Server};
use support::{TIMEOUT, get_json, post};

fn start_service() -> Server {
    Server::start(Options::default()).expect("plain service should start")
}

fn post_booking(address: SocketAddr, key: &str) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{address}/bookings?party=4"))
        .read_timeout(TIMEOUT)
        .header("Idempotency-Key", key)
        .text("a deposit")
        .send()
}

#[test]
fn executes_every_call() {
    let plain = start_service();
    let first: Response = post_booking(plain.address(), "k1")
        .expect("request should get a response")
        .json()
        .expect("response should be JSON");
    let second: Response = post_booking(plain.address(), "k1")
        .expect("request should get a response")
        .json()
        .expect("response should be JSON");
    assert_eq!((first.sequence, second.sequence), (1, 2));
    assert_eq!(first.echo, "a deposit");
    let record: Vec<Execution> = get_json(plain.address(), "/control/record");
    assert_eq!(record, plain.record());
    assert_eq!(record.len(), 2);
    assert_eq!(record[0].key, "k1");
    assert_eq!(record[0].path, "/bookings");
    assert_eq!(record[0].method, "POST");
}

#[test]
fn fails_before_or_after_execution() {
    let plain = start_service();
    let address = plain.address();
    post(
        address,
        "/control/faults",
        &Faults {
            close_before: 1,
            ..Faults::default()
        },
    );
    assert!(post_booking(address, "a").is_err());
    assert!(plain.record().is_empty());
    post(
        address,
        "/control/faults",
        &Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    assert!(post_booking(address, "b").is_err());
    assert_eq!(plain.record().len(), 1);
    plain.set_faults(Faults {
        error_after: 1,
        ..Faults::default()
    });
    assert_eq!(
        post_booking(address, "c")
            .expect("request should get a response")
            .status()
            .as_u16(),
        500
    );
    assert_eq!(plain.record().len(), 2);
    plain.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let refused = post_booking(address, "d").expect("request should get a response");
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["x-not-run"], "true");
    assert_eq!(plain.record().len(), 2);
}

#[test]
fn a_frozen_call_is_executed_without_a_response() {
    let plain = start_service();
    let address = plain.address();
    plain.set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    let request = attohttpc::post(format!("http://{address}/bookings"));
    let response = request
        .read_timeout(std::time::Duration::from_secs(1))
        .text("x")
        .send();
    assert!(response.is_err());
    assert_eq!(plain.record().len(), 1);
}

//! The plain service stand-in.

mod support;

use std::net::SocketAddr;

use standin::plain::{Answer, Execution, Faults, Options, Server};
use support::{PATIENCE, fetch, post};

fn start() -> Server {
    Server::start(Options::default()).expect("a plain service")
}

fn book(address: SocketAddr, key: &str) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{address}/bookings?party=4"))
        .read_timeout(PATIENCE)
        .header("Idempotency-Key", key)
        .text("a deposit")
        .send()
}

#[test]
fn runs_every_call_that_arrives() {
    let plain = start();
    let first: Answer = book(plain.address(), "k1")
        .expect("an answer")
        .json()
        .expect("JSON");
    let second: Answer = book(plain.address(), "k1")
        .expect("an answer")
        .json()
        .expect("JSON");
    assert_eq!((first.sequence, second.sequence), (1, 2));
    assert_eq!(first.echo, "a deposit");
    let record: Vec<Execution> = fetch(plain.address(), "/control/record");
    assert_eq!(record, plain.record());
    assert_eq!(record.len(), 2);
    assert_eq!(record[0].key, "k1");
    assert_eq!(record[0].path, "/bookings");
    assert_eq!(record[0].method, "POST");
}

#[test]
fn fails_before_or_after_it_runs() {
    let plain = start();
    let address = plain.address();
    post(
        address,
        "/control/faults",
        &Faults {
            close_before: 1,
            ..Faults::default()
        },
    );
    assert!(book(address, "a").is_err());
    assert!(plain.record().is_empty());
    post(
        address,
        "/control/faults",
        &Faults {
            die_after: 1,
            ..Faults::default()
        },
    );
    assert!(book(address, "b").is_err());
    assert_eq!(plain.record().len(), 1);
    plain.set_faults(Faults {
        error_after: 1,
        ..Faults::default()
    });
    assert_eq!(
        book(address, "c").expect("an answer").status().as_u16(),
        500
    );
    assert_eq!(plain.record().len(), 2);
    plain.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let refused = book(address, "d").expect("an answer");
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(refused.headers()["x-not-run"], "true");
    assert_eq!(plain.record().len(), 2);
}

#[test]
fn a_frozen_call_runs_without_an_answer() {
    let plain = start();
    let address = plain.address();
    plain.set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    let request = attohttpc::post(format!("http://{address}/bookings"));
    let answer = request
        .read_timeout(std::time::Duration::from_secs(1))
        .text("x")
        .send();
    assert!(answer.is_err());
    assert_eq!(plain.record().len(), 1);
}

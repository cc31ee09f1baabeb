//! The TCP proxy.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::plain;
use standin::proxy::{Counts, Faults, Link, Options, Server};
use support::{PATIENCE, eventually, fetch, post};

/// answers every connection with the bytes that it sends
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = client.try_clone().expect("a socket");
                let mut writer = client;
                let _ = std::io::copy(&mut reader, &mut writer);
            });
        }
    });
    address
}

fn start(to: SocketAddr) -> Server {
    Server::start(&Options::builder().to(to.to_string()).build()).expect("a proxy")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream
}

fn exchange(stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    stream.write_all(data)?;
    let mut answer = vec![0; data.len()];
    stream.read_exact(&mut answer)?;
    assert_eq!(answer, data);
    Ok(())
}

#[test]
fn forwards_and_counts() {
    let options = Options::builder()
        .to(echo().to_string())
        .control("127.0.0.1:0".to_owned());
    let proxy = Server::start(&options.build()).expect("a proxy");
    let mut stream = connect(proxy.address());
    exchange(&mut stream, &[7; 100_000]).expect("an answer");
    let counts: Counts = fetch(proxy.control().expect("controls"), "/control/counts");
    assert_eq!(
        counts,
        Counts {
            connections: 1,
            forth: 100_000,
            back: 100_000
        }
    );
}

#[test]
fn passes_the_end_of_each_direction_on() {
    let proxy = start(echo());
    let mut stream = connect(proxy.address());
    stream.write_all(b"whole").expect("a write");
    stream.shutdown(std::net::Shutdown::Write).expect("an end");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert_eq!(answer, "whole");
}

#[test]
fn delays_each_way() {
    let proxy = start(echo());
    proxy.link().set_delay(Duration::from_millis(100));
    let mut stream = connect(proxy.address());
    exchange(&mut stream, b"first").expect("an answer");
    let started = Instant::now();
    exchange(&mut stream, b"second").expect("an answer");
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[test]
fn shares_the_bandwidth_of_a_link() {
    let link = Arc::new(Link::new(Duration::ZERO, 1_000_000));
    let options = Options::builder().to(echo().to_string());
    let one = Server::start_on(&options.clone().build(), &link).expect("a proxy");
    let other = Server::start_on(&options.build(), &link).expect("a proxy");
    let started = Instant::now();
    let threads: Vec<_> = [one.address(), other.address()]
        .into_iter()
        .map(|to| thread::spawn(move || exchange(&mut connect(to), &[1; 500_000])))
        .collect();
    for thread in threads {
        thread.join().expect("a thread").expect("an answer");
    }
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert_eq!(link.counts().forth, 1_000_000);
}

#[test]
fn counts_the_other_direction_in_reverse() {
    let link = Arc::new(Link::new(Duration::ZERO, 0));
    let options = Options::builder()
        .to(echo().to_string())
        .reverse(true)
        .build();
    let proxy = Server::start_on(&options, &link).expect("a proxy");
    let mut stream = connect(proxy.address());
    stream.write_all(b"12345").expect("a write");
    eventually("the bytes back", || link.counts().back == 5);
}

#[test]
fn cuts_and_heals() {
    let proxy = start(echo());
    let address = proxy.address();
    let mut stream = connect(address);
    exchange(&mut stream, b"before").expect("an answer");
    proxy.link().set_faults(Faults {
        cut: true,
        ..Faults::default()
    });
    assert!(exchange(&mut stream, b"during").is_err());
    eventually("refused connections", || {
        TcpStream::connect(address).is_err()
    });
    proxy.link().set_faults(Faults::default());
    eventually("a connection that works", || {
        TcpStream::connect(address).is_ok_and(|mut stream| exchange(&mut stream, b"after").is_ok())
    });
}

#[test]
fn freezes_open_connections_only() {
    let proxy = start(echo());
    let mut old = connect(proxy.address());
    exchange(&mut old, b"before").expect("an answer");
    proxy.link().set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    exchange(&mut connect(proxy.address()), b"new").expect("an answer");
    old.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("a time-out");
    old.write_all(b"lost").expect("a write");
    let error = old.read(&mut [0; 4]).expect_err("silence");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

#[test]
fn holds_everything_back_in_a_blackhole() {
    let proxy = start(echo());
    let mut stream = connect(proxy.address());
    exchange(&mut stream, b"before").expect("an answer");
    proxy.link().set_faults(Faults {
        blackhole: true,
        ..Faults::default()
    });
    stream.write_all(b"late").expect("a write");
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("a time-out");
    assert!(stream.read(&mut [0; 4]).is_err());
    proxy.link().set_faults(Faults::default());
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).expect("the late answer");
    assert_eq!(&answer, b"late");
}

#[test]
fn loses_the_answer_of_a_request_that_ran() {
    let plain = plain::Server::start(plain::Options::default()).expect("a plain service");
    let options = Options::builder()
        .to(plain.address().to_string())
        .control("127.0.0.1:0".to_owned())
        .build();
    let proxy = Server::start(&options).expect("a proxy");
    let url = format!("http://{}/bookings", proxy.address());
    let faults = Faults {
        lose_answers: 1,
        lose_prefix: "POST".to_owned(),
        ..Faults::default()
    };
    post(
        proxy.control().expect("controls"),
        "/control/faults",
        &faults,
    );
    attohttpc::get(&url)
        .read_timeout(PATIENCE)
        .send()
        .expect("the answer of another method");
    assert!(
        attohttpc::post(&url)
            .read_timeout(PATIENCE)
            .text("x")
            .send()
            .is_err()
    );
    assert_eq!(plain.record().len(), 2);
    attohttpc::post(&url)
        .read_timeout(PATIENCE)
        .text("x")
        .send()
        .expect("the next answer");
}

//! The TCP proxy: delay, bandwidth, counts and faults.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standin::plain;
use standin::proxy::{Counts, Faults, Link, Options, Server};
use support::{TIMEOUT, eventually, get_json, post};

/// starts a server that sends back all bytes it receives
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener should bind");
    let address = listener.local_addr().expect("address should be known");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = client.try_clone().expect("socket should be cloned");
                let mut writer = client;
                let _ = std::io::copy(&mut reader, &mut writer);
            });
        }
    });
    address
}

fn start_proxy(to: SocketAddr) -> Server {
    Server::start(&Options::builder().to(to.to_string()).build()).expect("proxy should start")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connection should open");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("time-out should be set");
    stream
}

/// sends `data` and expects it back
fn exchange(stream: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    stream.write_all(data)?;
    let mut response = vec![0; data.len()];
    stream.read_exact(&mut response)?;
    assert_eq!(response, data);
    Ok(())
}

#[test]
fn forwards_and_counts() {
    let options = Options::builder()
        .to(start_echo_server().to_string())
        .control("127.0.0.1:0".to_owned());
    let proxy = Server::start(&options.build()).expect("proxy should start");
    let mut stream = connect(proxy.address());
    exchange(&mut stream, &[7; 100_000]).expect("request should get a response");
    let counts: Counts = get_json(
        proxy
            .control_address()
            .expect("proxy should have a control API"),
        "/control/counts",
    );
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
fn forwards_the_end_of_each_direction() {
    let proxy = start_proxy(start_echo_server());
    let mut stream = connect(proxy.address());
    stream.write_all(b"whole").expect("write should succeed");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("write half should be shut down");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("request should get a response");
    assert_eq!(response, "whole");
}

#[test]
fn delays_each_direction() {
    let proxy = start_proxy(start_echo_server());
    proxy.link().set_delay(Duration::from_millis(100));
    let mut stream = connect(proxy.address());
    exchange(&mut stream, b"first").expect("request should get a response");
    let started = Instant::now();
    exchange(&mut stream, b"second").expect("request should get a response");
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[test]
fn shares_the_bandwidth_of_a_link() {
    let link = Arc::new(Link::new(Duration::ZERO, 1_000_000));
    let options = Options::builder().to(start_echo_server().to_string());
    let one = Server::start_on_link(&options.clone().build(), &link).expect("proxy should start");
    let other = Server::start_on_link(&options.build(), &link).expect("proxy should start");
    let started = Instant::now();
    let threads: Vec<_> = [one.address(), other.address()]
        .into_iter()
        .map(|to| thread::spawn(move || exchange(&mut connect(to), &[1; 500_000])))
        .collect();
    for thread in threads {
        thread
            .join()
            .expect("thread should not panic")
            .expect("request should get a response");
    }
    assert!(started.elapsed() >= Duration::from_secs(1));
    assert_eq!(link.counts().forth, 1_000_000);
}

#[test]
fn a_reversed_proxy_counts_the_other_direction() {
    let link = Arc::new(Link::new(Duration::ZERO, 0));
    let options = Options::builder()
        .to(start_echo_server().to_string())
        .reverse(true)
        .build();
    let proxy = Server::start_on_link(&options, &link).expect("proxy should start");
    let mut stream = connect(proxy.address());
    stream.write_all(b"12345").expect("write should succeed");
    eventually("5 bytes back", || link.counts().back == 5);
}

#[test]
fn a_cut_closes_and_refuses_connections_until_it_ends() {
    let proxy = start_proxy(start_echo_server());
    let address = proxy.address();
    let mut stream = connect(address);
    exchange(&mut stream, b"before").expect("request should get a response");
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
fn a_freeze_affects_open_connections_only() {
    let proxy = start_proxy(start_echo_server());
    let mut old = connect(proxy.address());
    exchange(&mut old, b"before").expect("request should get a response");
    proxy.link().set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    exchange(&mut connect(proxy.address()), b"new").expect("request should get a response");
    old.set_read_timeout(Some(Duration::from_millis(300)))
        .expect("time-out should be set");
    old.write_all(b"lost").expect("write should succeed");
    let error = old
        .read(&mut [0; 4])
        .expect_err("frozen connection should transfer nothing");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

#[test]
fn a_blackhole_holds_all_bytes_back_until_it_ends() {
    let proxy = start_proxy(start_echo_server());
    let mut stream = connect(proxy.address());
    exchange(&mut stream, b"before").expect("request should get a response");
    proxy.link().set_faults(Faults {
        blackhole: true,
        ..Faults::default()
    });
    stream.write_all(b"late").expect("write should succeed");
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .expect("time-out should be set");
    assert!(stream.read(&mut [0; 4]).is_err());
    proxy.link().set_faults(Faults::default());
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("time-out should be set");
    let mut response = [0; 4];
    stream
        .read_exact(&mut response)
        .expect("delayed bytes should arrive");
    assert_eq!(&response, b"late");
}

#[test]
fn loses_the_response_of_a_request_that_was_executed() {
    let plain =
        plain::Server::start(plain::Options::default()).expect("plain service should start");
    let options = Options::builder()
        .to(plain.address().to_string())
        .control("127.0.0.1:0".to_owned())
        .build();
    let proxy = Server::start(&options).expect("proxy should start");
    let url = format!("http://{}/bookings", proxy.address());
    let faults = Faults {
        lose_answers: 1,
        lose_prefix: "POST".to_owned(),
        ..Faults::default()
    };
    post(
        proxy
            .control_address()
            .expect("proxy should have a control API"),
        "/control/faults",
        &faults,
    );
    attohttpc::get(&url)
        .read_timeout(TIMEOUT)
        .send()
        .expect("GET should get its response");
    assert!(
        attohttpc::post(&url)
            .read_timeout(TIMEOUT)
            .text("x")
            .send()
            .is_err()
    );
    assert_eq!(plain.record().len(), 2);
    attohttpc::post(&url)
        .read_timeout(TIMEOUT)
        .text("x")
        .send()
        .expect("next POST should get its response");
}

/// what happens after the acknowledgement of a cut meets no open connection and no listener
#[test]
fn cut_is_acknowledged_after_its_connections_are_closed() {
    let options = Options::builder()
        .to(start_echo_server().to_string())
        .control("127.0.0.1:0".to_owned());
    let proxy = Server::start(&options.build()).expect("proxy should start");
    let control = proxy
        .control_address()
        .expect("proxy should have a control API");
    for round in 0..40 {
        let mut streams: Vec<TcpStream> = (0..20).map(|_| connect(proxy.address())).collect();
        for stream in &mut streams {
            exchange(stream, b"open").expect("request should get a response");
        }
        let cut = Faults {
            cut: true,
            ..Faults::default()
        };
        post(control, "/control/faults", &cut);
        for stream in &streams {
            stream
                .set_nonblocking(true)
                .expect("socket should be changed");
        }
        let is_closed = |stream: &mut TcpStream| match stream.read(&mut [0; 1]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        let open = streams
            .iter_mut()
            .filter_map(|stream| (!is_closed(stream)).then_some(()));
        assert_eq!(open.count(), 0, "round {round}");
        assert!(
            TcpStream::connect(proxy.address()).is_err(),
            "round {round}"
        );
        post(control, "/control/faults", &Faults::default());
        exchange(&mut connect(proxy.address()), b"healed").expect("link should be healed");
    }
}

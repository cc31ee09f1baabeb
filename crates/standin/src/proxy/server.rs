//! Listening socket and control API of a proxy.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, ToSocketAddrs};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http::Method;
use web::Request;

use super::connection::Connection;
use super::faults::Faults;
use super::link::{Applied, ConnectionState, Direction, Link};
use super::options::Options;
use super::pump::{Origin, Pump};
use crate::ReservedPort;
use crate::http::{Listener, Stop, Target, error_response, read_json, respond_json};

/// interval between attempts to listen
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// a running proxy; stops on drop
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    control: Option<Listener>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    port: ReservedPort,
    to: SocketAddr,
    reverse: bool,
    link: Arc<Link>,
    applied: Arc<Applied>,
    stop: Stop,
    connections: Mutex<Vec<Arc<Connection>>>,
}

impl Server {
    /// starts a proxy on its own link
    pub fn start(options: &Options) -> io::Result<Self> {
        let delay = Duration::from_millis(options.delay_ms);
        let link = Link::new(delay, options.bytes_per_second);
        Self::start_on_link(options, &Arc::new(link))
    }

    /// starts a proxy on a shared link, whose delay and bandwidth replace those of `options`
    pub fn start_on_link(options: &Options, link: &Arc<Link>) -> io::Result<Self> {
        let stop = Stop::default();
        let shared = Arc::new(Shared {
            port: ReservedPort::reserve_at(resolve(&options.listen)?)?,
            to: resolve(&options.to)?,
            reverse: options.reverse,
            link: Arc::clone(link),
            applied: Arc::default(),
            stop: stop.clone(),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(shared.port.address())?;
        shared.applied.is_listening.store(true, Ordering::SeqCst);
        link.attach(&shared.applied);
        let accepting = Arc::clone(&shared);
        let closing = Arc::clone(&shared);
        let threads = vec![
            thread::Builder::new().spawn(move || accepting.listen_unless_cut(listener))?,
            thread::Builder::new().spawn(move || closing.close_when_cut())?,
        ];
        let control = start_control(&options.control, link, &stop)?;
        Ok(Self {
            shared,
            control,
            threads,
        })
    }

    /// address it listens on
    pub fn address(&self) -> SocketAddr {
        self.shared.port.address()
    }

    /// address of its control API, if it has one
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(Listener::address)
    }

    /// the link it runs on
    pub fn link(&self) -> &Arc<Link> {
        &self.shared.link
    }

    /// blocks until it stops
    pub fn wait(&self) {
        self.shared.stop.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop.set();
        self.shared.close_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    /// listens while the link is not cut
    fn listen_unless_cut(self: &Arc<Self>, first: TcpListener) {
        self.accept(first);
        while !self.stop.is_set() {
            self.link.wait_until_cut_is(false, &self.stop);
            match TcpListener::bind(self.port.address()) {
                Ok(listener) => self.accept(listener),
                Err(_) => drop(self.stop.wait_for(LISTEN_RETRY_INTERVAL)),
            }
        }
    }

    /// accepts connections until the link is cut, then closes the listener
    fn accept(self: &Arc<Self>, listener: TcpListener) {
        self.applied.is_listening.store(true, Ordering::SeqCst);
        self.accept_until_cut(&listener);
        drop(listener);
        self.applied.is_listening.store(false, Ordering::SeqCst);
    }

    fn accept_until_cut(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stop.is_set() && !self.link.is_cut() {
            let Ok((client, _)) = listener.accept() else {
                return;
            };
            if self.stop.is_set() || self.link.is_cut() {
                return;
            }
            let shared = Arc::clone(self);
            thread::spawn(move || shared.forward(client));
        }
    }

    fn forward(&self, client: TcpStream) {
        let freeze_epoch = self.link.count_connection();
        // A TCP handshake takes a round trip on the link before the first byte.
        thread::sleep(self.link.delay() * 2);
        if self.link.wait_while_blackholed(freeze_epoch, &self.stop) != ConnectionState::Open {
            return;
        }
        let Ok(connection) = Connection::open(client, self.to, freeze_epoch) else {
            return;
        };
        let connection = Arc::new(connection);
        self.track(&connection);
        if self.link.is_cut() {
            // cut while it was opened, so that it may have been tracked too late to be closed
            connection.close();
            return;
        }
        for origin in [Origin::Client, Origin::Server] {
            let direction = self.direction(origin);
            let link = Arc::clone(&self.link);
            let stop = self.stop.clone();
            Pump {
                connection: Arc::clone(&connection),
                link,
                stop,
                origin,
                direction,
            }
            .start();
        }
    }

    fn direction(&self, origin: Origin) -> Direction {
        if (origin == Origin::Client) == self.reverse {
            Direction::Back
        } else {
            Direction::Forth
        }
    }

    fn track(&self, connection: &Arc<Connection>) {
        let mut connections = self.connections.lock().expect("connections lock poisoned");
        connections.retain(|connection| !connection.is_closed());
        connections.push(Arc::clone(connection));
    }

    fn close_when_cut(&self) {
        while !self.stop.is_set() {
            self.link.wait_until_cut_is(true, &self.stop);
            self.close_all();
            self.applied.is_closed.store(true, Ordering::SeqCst);
            self.link.wait_until_cut_is(false, &self.stop);
            self.applied.is_closed.store(false, Ordering::SeqCst);
        }
    }

    /// closes all connections and wakes the accepting thread
    fn close_all(&self) {
        let connections =
            std::mem::take(&mut *self.connections.lock().expect("connections lock poisoned"));
        for connection in connections {
            connection.close();
        }
        drop(TcpStream::connect(self.port.address()));
    }
}

fn start_control(listen: &str, link: &Arc<Link>, stop: &Stop) -> io::Result<Option<Listener>> {
    if listen.is_empty() {
        return Ok(None);
    }
    let link = Arc::clone(link);
    Listener::start(listen, stop, move |request| route(&link, request)).map(Some)
}

fn route(link: &Link, mut request: Request) {
    let target = Target::from_request(&request);
    let path = target.as_ref().map_or("", Target::path);
    match (request.method().clone(), path) {
        (Method::GET, "/control/counts") => respond_json(request, 200, &link.counts()),
        (Method::POST, "/control/faults") => match read_json::<Faults>(&mut request) {
            Ok(faults) => {
                link.set_faults(faults.clone());
                respond_json(request, 200, &faults);
            }
            Err(response) => response.send(request),
        },
        _ => error_response(404, "unknown_path", "there is no such control", true).send(request),
    }
}

fn resolve(address: &str) -> io::Result<SocketAddr> {
    let mut addresses = address.to_socket_addrs()?;
    addresses
        .next()
        .ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
}

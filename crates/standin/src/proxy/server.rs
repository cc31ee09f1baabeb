//! The proxy's listening socket and its controls.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, ToSocketAddrs};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use http::Method;
use web::Request;

use super::connection::Connection;
use super::faults::Faults;
use super::link::{Gate, Link, Way};
use super::options::Options;
use super::pump::{Pump, Sending};
use crate::Port;
use crate::http::{Listener, Stop, Target, answer, fail, read_json};

/// pause before another try to listen
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// a running proxy; stops on drop
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    control: Option<Listener>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    port: Port,
    to: SocketAddr,
    reverse: bool,
    link: Arc<Link>,
    stop: Stop,
    connections: Mutex<Vec<Arc<Connection>>>,
}

impl Server {
    /// starts a proxy with a link of its own
    pub fn start(options: &Options) -> io::Result<Self> {
        let delay = Duration::from_millis(options.delay_ms);
        let link = Link::new(delay, options.bytes_per_second);
        Self::start_on(options, &Arc::new(link))
    }

    /// starts a proxy on a shared link, whose delay and limit count
    pub fn start_on(options: &Options, link: &Arc<Link>) -> io::Result<Self> {
        let stop = Stop::default();
        let shared = Arc::new(Shared {
            port: Port::reserve_at(resolve(&options.listen)?)?,
            to: resolve(&options.to)?,
            reverse: options.reverse,
            link: Arc::clone(link),
            stop: stop.clone(),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(shared.port.address())?;
        let accepting = Arc::clone(&shared);
        let closing = Arc::clone(&shared);
        let threads = vec![
            thread::Builder::new().spawn(move || accepting.run(listener))?,
            thread::Builder::new().spawn(move || closing.close_on_cuts())?,
        ];
        let control = start_control(&options.control, link, &stop)?;
        Ok(Self {
            shared,
            control,
            threads,
        })
    }

    /// where it listens
    pub fn address(&self) -> SocketAddr {
        self.shared.port.address()
    }

    /// where its controls listen, if they do
    pub fn control(&self) -> Option<SocketAddr> {
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
    /// listens whenever the link is whole
    fn run(self: &Arc<Self>, first: TcpListener) {
        self.accept(&first);
        drop(first);
        while !self.stop.is_set() {
            self.link.wait_cut(false, &self.stop);
            match TcpListener::bind(self.port.address()) {
                Ok(listener) => self.accept(&listener),
                Err(_) => drop(self.stop.wait_for(LISTEN_RETRY)),
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
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
        let epoch = self.link.connect();
        // A handshake crosses the link forth and back before the first byte.
        thread::sleep(self.link.delay() * 2);
        if self.link.pass(epoch, &self.stop) != Gate::Open {
            return;
        }
        let Ok(connection) = Connection::open(client, self.to, epoch) else {
            return;
        };
        let connection = Arc::new(connection);
        self.keep(&connection);
        for sending in [Sending::Client, Sending::Server] {
            let way = self.way(sending);
            let link = Arc::clone(&self.link);
            let stop = self.stop.clone();
            Pump {
                connection: Arc::clone(&connection),
                link,
                stop,
                sending,
                way,
            }
            .start();
        }
    }

    fn way(&self, sending: Sending) -> Way {
        if (sending == Sending::Client) == self.reverse {
            Way::Back
        } else {
            Way::Forth
        }
    }

    fn keep(&self, connection: &Arc<Connection>) {
        let mut connections = self.connections.lock().expect("connections lock");
        connections.retain(|connection| !connection.is_closed());
        connections.push(Arc::clone(connection));
    }

    fn close_on_cuts(&self) {
        while !self.stop.is_set() {
            self.link.wait_cut(true, &self.stop);
            self.close_all();
            self.link.wait_cut(false, &self.stop);
        }
    }

    /// closes all connections and wakes the accepting thread
    fn close_all(&self) {
        let connections = std::mem::take(&mut *self.connections.lock().expect("connections lock"));
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
        (Method::GET, "/control/counts") => answer(request, 200, &link.counts()),
        (Method::POST, "/control/faults") => match read_json::<Faults>(&mut request) {
            Ok(faults) => {
                link.set_faults(faults.clone());
                answer(request, 200, &faults);
            }
            Err(refusal) => refusal.send(request),
        },
        _ => fail(404, "unknown_path", "there is no such control", true).send(request),
    }
}

fn resolve(address: &str) -> io::Result<SocketAddr> {
    let mut addresses = address.to_socket_addrs()?;
    addresses
        .next()
        .ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
}

//! An upstream server: a process that registers itself in the store and serves streams and plain
//! requests. What it runs is appended to the log of runs.
//!
//! `rig server ID SERVICE VERSION ADDRESS ZONE STORE LOG`

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};

/// interval between two writes to the store
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// part of a prompt that crashes each server that begins to write an answer on it
pub const DEADLY_PART: &str = "fffffff1:";

struct Server {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    zone: String,
    store: SocketAddr,
    log: File,
    born: u128,
}

pub fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis())
}

pub fn run(args: &[String]) -> ! {
    let [id, service, version, address, zone, store, log] = args else {
        eprintln!("server: seven arguments expected");
        exit(2);
    };
    let log = OpenOptions::new().append(true).create(true).open(log);
    let server = Arc::new(Server {
        id: id.clone(),
        service: service.clone(),
        version: version.clone(),
        address: address.parse().expect("an address"),
        zone: zone.clone(),
        store: store.parse().expect("an address"),
        log: log.expect("a writable log"),
        born: now_ms(),
    });
    let serving = Arc::clone(&server);
    let answer = move |request: &Message, stream: &mut TcpStream| serving.answer(request, stream);
    http::serve(server.address, answer).expect("a free address");
    let mut seq = 0;
    loop {
        seq += 1;
        let server = Arc::clone(&server);
        // a write that gets no answer doesn't hold up the next one
        thread::spawn(move || server.register(seq));
        thread::sleep(HEARTBEAT);
    }
}

impl Server {
    fn register(&self, seq: u64) {
        let (service, address, zone) = (&self.service, self.address, &self.zone);
        let (version, born) = (&self.version, self.born);
        let body = format!(
            r#"{{"metadata":{{"name":"{}"}},"spec":{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"ready","cold_left_ms":0,"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"born":{born},"seq":{seq}}}}}"#,
            self.id
        );
        let head = format!("PUT /api/objects/servers/{} HTTP/1.1\r\n", self.id);
        let limit = Duration::from_secs(1);
        let result = http::call(self.store, &head, &body, limit);
        if result.is_ok_and(|response| response.status() == 404) {
            let head = "POST /api/objects/servers HTTP/1.1\r\n";
            // the next heartbeat repeats it
            let _ = http::call(self.store, head, &body, limit);
        }
    }

    fn log(&self, what: &str, request: &str) {
        let line = format!(
            "{} {} {} {what} {request}\n",
            now_ms(),
            self.id,
            self.version
        );
        let _ = (&self.log).write_all(line.as_bytes());
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        if request.target() == "/api/report" {
            let body = format!(
                r#"{{"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":0,"kv_in_use":0,"kv_size":600000,"kv_handles":0,"born":{}}}"#,
                self.born
            );
            http::respond(stream, 200, &[("Content-Type", "application/json")], &body)?;
            return Ok(true);
        }
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            http::respond(stream, 421, &headers, "")?;
            return Ok(true);
        }
        if request.header("model").is_some() {
            return self.stream(&id, request, stream);
        }
        self.log("run", &id);
        thread::sleep(Duration::from_millis(number(request, "ms").unwrap_or(20)));
        let size = number(request, "size").unwrap_or(200) as usize;
        let body = format!("{id}:").repeat(size / (id.len() + 1) + 1);
        http::respond(
            stream,
            200,
            &[("Attempt-Id", &id), ("Server-Seal", &self.id)],
            &body,
        )?;
        self.log("end", &id);
        Ok(true)
    }

    /// events from the one after `Last-Event-Id` on; ends early if the channel closes
    fn stream(&self, id: &str, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let last = request
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        let first: u64 = last.unwrap_or(0) + 1;
        let count = number(request, "n").unwrap_or(10);
        let gap = Duration::from_millis(number(request, "gap").unwrap_or(50));
        self.log("run", &format!("{id} from {first}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {id}\r\nServer-Seal: {}\r\n\r\n",
            self.id
        );
        let prefill = Duration::from_millis(number(request, "first").unwrap_or(0));
        thread::sleep(prefill);
        let parts = request.header("prefix-hash").unwrap_or_default();
        if parts.contains(DEADLY_PART) {
            self.log("crash", id);
            exit(1);
        }
        stream.write_all(head.as_bytes())?;
        for number in first..=count {
            thread::sleep(gap);
            let event = format!("id: {number}\ndata: {} {number}\n\n", self.version);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.log("end", id);
        Ok(true)
    }
}

/// a number in the query of a request
fn number(request: &Message, name: &str) -> Option<u64> {
    let (_, query) = request.target().split_once('?')?;
    let mut fields = query.split('&');
    let field = fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))?;
    field.parse().ok()
}

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gateway::model::{Health, Vm};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// one step of handling a request
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// writes this text, with `{id}` replaced by the request id
    Write(String),
    /// writes this text again and again, with this pause, until the connection is closed
    Endless(String, Duration),
    /// waits for this time
    Wait(Duration),
    /// resets the connection
    Reset,
    /// closes the connection
    Close,
}

/// steps that a VM takes for each request
#[derive(Debug, Clone, PartialEq)]
pub struct Script(pub Vec<Step>);

impl Script {
    /// a complete response with this status and body
    pub fn response(status: u16, body: &str) -> Script {
        let text = format!(
            "HTTP/1.1 {status} Status\r\nx-id: {{id}}\r\nx-seal: seal\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        Script(vec![Step::Write(text)])
    }

    /// a refusal that states that the request did not run
    pub fn not_run() -> Script {
        let text = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        Script(vec![Step::Write(text.to_owned())])
    }

    /// the head of a stream, then events with the ids `first` to `last`
    pub fn events(first: u32, last: u32, gap: Duration) -> Script {
        let head =
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\ntransfer-encoding: chunked\r\n\r\n";
        let mut steps = vec![Step::Write(head.to_owned())];
        for id in first..=last {
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            steps.push(Step::Write(format!("{:x}\r\n{event}\r\n", event.len())));
            steps.push(Step::Wait(gap));
        }
        Script(steps)
    }

    /// the head of a stream that ends with its connection, then events with the ids `first` to `last`
    pub fn unframed_events(first: u32, last: u32) -> Script {
        let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: seal\r\n\r\n";
        let events = (first..=last).map(|id| format!("id: {id}\ndata: piece {id}\n\n"));
        Script(vec![
            Step::Write(head.to_owned()),
            Step::Write(events.collect()),
        ])
    }

    /// appends a step
    pub fn then(mut self, step: Step) -> Script {
        self.0.push(step);
        self
    }

    /// appends the end of a chunked body
    pub fn end(self) -> Script {
        self.then(Step::Write("0\r\n\r\n".to_owned()))
    }
}

/// VM that follows a script for each request
#[derive(Clone)]
pub struct FakeVm {
    /// its registration
    pub vm: Vm,
    requests: Rc<RefCell<Vec<String>>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
    cancelled: Rc<RefCell<u32>>,
    script: Rc<RefCell<Script>>,
    /// script of one in so many requests
    fault: Rc<RefCell<Option<(usize, Script)>>>,
    crashing_part: Rc<Cell<Option<u64>>>,
    crashing_body: Rc<RefCell<Option<String>>>,
    crashed: watch::Sender<bool>,
    written: Rc<Cell<u64>>,
    connections: Rc<Cell<u32>>,
    started_at_ms: Rc<Cell<u64>>,
    conditions: Rc<Cell<u32>>,
    restarted: watch::Sender<u64>,
}

impl FakeVm {
    /// starts a VM of a service
    pub async fn start(id: &str, service: &str, script: Script) -> FakeVm {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let fake = FakeVm {
            vm: vm(id, service, address),
            requests: Rc::default(),
            arrivals: Rc::default(),
            cancelled: Rc::default(),
            script: Rc::new(RefCell::new(script)),
            fault: Rc::default(),
            crashing_part: Rc::default(),
            crashing_body: Rc::default(),
            crashed: watch::Sender::new(false),
            written: Rc::default(),
            connections: Rc::default(),
            started_at_ms: Rc::default(),
            conditions: Rc::default(),
            restarted: watch::Sender::new(0),
        };
        let serving = fake.clone();
        tokio::task::spawn_local(async move {
            let mut crashed = serving.crashed.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => {
                            serving.connections.set(serving.connections.get() + 1);
                            tokio::task::spawn_local(serving.clone().serve_until_crash(stream));
                        }
                        Err(_) => return,
                    },
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                }
            }
        });
        fake
    }

    /// sets the version of its software, to be called before it is registered
    pub fn with_version(mut self, version: &str) -> FakeVm {
        self.vm.version = version.to_owned();
        self
    }

    /// follows another script for one of `every` requests
    pub fn set_fault(&self, every: usize, script: Script) {
        *self.fault.borrow_mut() = Some((every, script));
    }

    /// lets the process end when it begins a response to a prompt with this part
    pub fn set_crashing_part(&self, part: u64) {
        self.crashing_part.set(Some(part));
    }

    /// lets the process end when it begins to run a request with this body
    pub fn set_crashing_body(&self, body: &str) {
        *self.crashing_body.borrow_mut() = Some(body.to_owned());
    }

    /// ends the process: its connections and its port are closed
    pub fn crash(&self) {
        self.crashed.send_replace(true);
    }

    /// ends the process and starts it again at the same address, with another version; the entry that
    /// a test has registered stays as it is
    pub fn restart(&mut self, version: &str, started_at_ms: u64) {
        self.vm.version = version.to_owned();
        self.vm.started_at_ms = started_at_ms;
        self.started_at_ms.set(started_at_ms);
        self.restarted.send_modify(|count| *count += 1);
    }

    /// number of times that it was asked for its condition
    pub fn conditions(&self) -> u32 {
        self.conditions.get()
    }

    /// whether the process has ended
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    async fn serve_until_crash(self, stream: TcpStream) {
        let mut crashed = self.crashed.subscribe();
        let mut restarted = self.restarted.subscribe();
        tokio::select! {
            () = self.serve(stream) => {}
            _ = restarted.changed() => {}
            _ = crashed.wait_for(|crashed| *crashed) => {}
        }
    }

    /// heads of the received requests, in lower case
    pub fn requests(&self) -> Vec<String> {
        self.requests.borrow().clone()
    }

    /// times at which the requests were received
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.borrow().clone()
    }

    /// number of requests whose connection was closed before the script ended
    pub fn cancelled(&self) -> u32 {
        *self.cancelled.borrow()
    }

    /// bytes written by [`Step::Endless`]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// number of connections that were opened to it
    pub fn connections(&self) -> u32 {
        self.connections.get()
    }

    /// replaces the script
    pub fn set_script(&self, script: Script) {
        *self.script.borrow_mut() = script;
    }

    /// script of the last request
    fn next_script(&self) -> Script {
        let count = self.requests.borrow().len();
        let fault = self.fault.borrow().clone();
        let fault = fault.filter(|(every, _)| count.is_multiple_of(*every));
        fault.map_or_else(|| self.script.borrow().clone(), |(_, script)| script)
    }

    /// states when the process started
    async fn state_condition(&self, stream: &mut TcpStream) {
        self.conditions.set(self.conditions.get() + 1);
        let stated = self.started_at_ms.get().to_string();
        let length = stated.len();
        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{stated}");
        // without a connection the gateway gets no response
        let _ = stream.write_all(text.as_bytes()).await;
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some((head, body)) = read_request(&mut stream).await {
            if head.starts_with("get /condition ") {
                self.state_condition(&mut stream).await;
                continue;
            }
            self.requests.borrow_mut().push(head.clone());
            self.arrivals.borrow_mut().push(Instant::now());
            let id = head
                .lines()
                .find_map(|line| line.strip_prefix("x-id: "))
                .unwrap_or_default()
                .to_owned();
            let has_crashing_part = self
                .crashing_part
                .get()
                .is_some_and(|part| has_part(&head, part));
            if has_crashing_part || self.crashing_body.borrow().as_ref() == Some(&body) {
                self.crash();
                return;
            }
            let script = self.next_script();
            for step in &script.0 {
                let mut byte = [0; 1];
                let result = match step {
                    Step::Write(text) => {
                        stream.write_all(text.replace("{id}", &id).as_bytes()).await
                    }
                    Step::Endless(text, pause) => {
                        while stream.write_all(text.as_bytes()).await.is_ok() {
                            self.written.set(self.written.get() + text.len() as u64);
                            sleep(*pause).await;
                        }
                        Err(std::io::ErrorKind::BrokenPipe.into())
                    }
                    Step::Wait(time) => {
                        tokio::select! {
                            () = sleep(*time) => Ok(()),
                            read = stream.read(&mut byte) => match read {
                                Ok(0) | Err(_) => Err(std::io::ErrorKind::BrokenPipe.into()),
                                Ok(_) => Ok(()),
                            },
                        }
                    }
                    Step::Reset => {
                        stream
                            .set_zero_linger()
                            .expect("the linger option to be accepted");
                        return;
                    }
                    Step::Close => return,
                };
                if result.is_err() {
                    *self.cancelled.borrow_mut() += 1;
                    return;
                }
            }
        }
    }
}

fn vm(id: &str, service: &str, address: SocketAddr) -> Vm {
    Vm {
        id: id.to_owned(),
        started_at_ms: 0,
        service: service.to_owned(),
        version: String::new(),
        address,
        zone: "here".to_owned(),
        slots: 8,
        health: Health::Ready,
        reclaimable: false,
    }
}

fn has_part(head: &str, part: u64) -> bool {
    let list = head.lines().find_map(|line| line.strip_prefix("x-parts: "));
    list.is_some_and(|list| list.split(',').any(|id| id.parse() == Ok(part)))
}

/// reads a request and returns its head, in lower case, and its body
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, rest)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        if rest.len() >= length {
            return Some((head, rest.to_owned()));
        }
    }
}

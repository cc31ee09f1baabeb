//! The platform's store and the cloud API.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;
use crate::server::HEARTBEAT;

/// time after which a server that doesn't write loses its entry
const SILENCE: Duration = Duration::from_millis(3 * HEARTBEAT.as_millis() as u64);

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: HashMap<String, BTreeMap<String, Object>>,
    /// kind, object and whether it was deleted, in the order of revisions
    history: VecDeque<(u64, String, Object, bool)>,
    /// last write of each server
    written: HashMap<String, Instant>,
    /// whether it is down and doesn't answer
    is_down: bool,
    /// servers of which the next write is executed late and not answered
    late: HashMap<String, Duration>,
    /// servers that are partitioned from the store
    cut: HashSet<String>,
}

/// handle on the store
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object_json(object: &Object) -> Json {
    let metadata = format!(
        r#"{{"name":{},"revision":{},"created":1,"finalizers":[],"deletion_pending":false}}"#,
        Json::Text(object.name.clone()),
        object.revision
    );
    let metadata = Json::parse(&metadata).expect("valid JSON");
    let fields = [
        ("metadata", metadata),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ];
    Json::Map(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

impl Store {
    /// serves the store and the cloud API
    pub fn start(&self, store: SocketAddr, cloud: SocketAddr) -> io::Result<()> {
        let this = self.clone();
        http::serve(store, move |request, stream| this.answer(request, stream))?;
        http::serve(cloud, |_, stream| {
            http::respond(stream, 200, &[], "{}")?;
            Ok(true)
        })?;
        let this = self.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            this.expire();
        });
        Ok(())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().expect("no thread panics with the lock")
    }

    /// writes an object without a condition
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.state().write(kind, name, Some(spec), None);
        self.0 .1.notify_all();
    }

    /// partitions a server from the store, or ends that
    pub fn set_cut(&self, server: &str, is_cut: bool) {
        let mut state = self.state();
        if is_cut {
            state.cut.insert(server.to_owned());
        } else {
            state.cut.remove(server);
        }
    }

    /// lets the store go down, without any answer, or come back
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state();
        state.is_down = is_down;
        // silence during the outage is no silence of the servers
        for at in state.written.values_mut() {
            *at = Instant::now();
        }
        drop(state);
        self.0 .1.notify_all();
    }

    /// executes the next write of a server late and doesn't answer it; returns once it has been received
    pub fn delay_next(&self, server: &str, delay: Duration) {
        self.state().late.insert(server.to_owned(), delay);
        while self.state().late.contains_key(server) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// waits until a server writes
    pub fn next_heartbeat(&self, server: &str) {
        let before = self.state().written.get(server).copied();
        for _ in 0..400 {
            if self.state().written.get(server).copied() != before {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// number of objects of a kind
    pub fn count(&self, kind: &str) -> usize {
        self.state().objects.get(kind).map_or(0, BTreeMap::len)
    }

    fn expire(&self) {
        let mut state = self.state();
        if state.is_down {
            return;
        }
        let silent = state
            .written
            .iter()
            .filter(|(_, at)| at.elapsed() > SILENCE);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            state.written.remove(name);
            state.delete("servers", name);
        }
        drop(state);
        if !silent.is_empty() {
            self.0 .1.notify_all();
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let mut parts = path.trim_start_matches("/api/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let field = |name: &str| {
            let mut fields = query.split('&');
            fields
                .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
                .map(str::to_owned)
        };
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let body = Json::parse(&text);
        if self.state().is_down {
            thread::sleep(Duration::from_secs(3));
            return Ok(false);
        }
        if kind == "servers" && request.method() != "GET" {
            let metadata = body
                .as_ref()
                .and_then(|body| body.get("metadata")?.get("name")?.text());
            let server = name.as_deref().or(metadata).unwrap_or_default();
            if self.state().cut.contains(server) {
                // the partition swallows the call
                thread::sleep(Duration::from_secs(3));
                return Ok(false);
            }
            let late = self.state().late.remove(server);
            if let Some(delay) = late {
                let this = self.clone();
                let (method, kind) = (request.method().to_owned(), kind.clone());
                let (name, body) = (name.clone(), body.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    this.change(&method, &kind, name, is_status, body);
                });
                thread::sleep(Duration::from_secs(10));
                return Ok(false);
            }
            self.state()
                .written
                .insert(server.to_owned(), Instant::now());
        }
        let (status, reply) = match (request.method(), &name) {
            ("GET", None) => match field("watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait = field("wait_ms")
                        .and_then(|wait| wait.parse().ok())
                        .unwrap_or(0);
                    (200, self.watch(&kind, after, Duration::from_millis(wait)))
                }
                None => (200, self.list(&kind)),
            },
            ("GET", Some(name)) => {
                let state = self.state();
                let found = state
                    .objects
                    .get(&kind)
                    .and_then(|objects| objects.get(name));
                found.map_or((404, Json::Null), |object| (200, object_json(object)))
            }
            ("POST" | "PUT", _) => self.change(request.method(), &kind, name, is_status, body),
            ("DELETE", Some(name)) => {
                self.state().delete(&kind, name);
                self.0 .1.notify_all();
                (200, Json::Null)
            }
            _ => (400, Json::Null),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
        http::respond(stream, status, &headers, &reply.to_string())?;
        Ok(true)
    }

    fn change(
        &self,
        method: &str,
        kind: &str,
        name: Option<String>,
        is_status: bool,
        body: Option<Json>,
    ) -> (u16, Json) {
        let Some(body) = body else {
            return (400, Json::Null);
        };
        let metadata = body.get("metadata").cloned().unwrap_or(Json::Null);
        let stated = metadata.get("name").and_then(Json::text).map(str::to_owned);
        let Some(name) = name.or(stated) else {
            return (400, Json::Null);
        };
        let base = metadata
            .get("revision")
            .and_then(Json::number)
            .map(|base| base as u64);
        let mut state = self.state();
        let known = state
            .objects
            .get(kind)
            .and_then(|objects| objects.get(&name))
            .cloned();
        match (&known, method) {
            (Some(known), "POST") => return (409, object_json(known)),
            (None, "PUT") => return (404, Json::Null),
            (Some(known), _) if base.is_some_and(|base| base != known.revision) => {
                return (409, object_json(known));
            }
            _ => {}
        }
        let part = |name: &str| body.get(name).cloned();
        let (spec, status) = if is_status {
            (None, part("status"))
        } else {
            (part("spec"), None)
        };
        let object = state.write(kind, &name, spec, status);
        drop(state);
        self.0 .1.notify_all();
        (200, object_json(&object))
    }

    fn list(&self, kind: &str) -> Json {
        let state = self.state();
        let objects = state
            .objects
            .get(kind)
            .into_iter()
            .flat_map(BTreeMap::values);
        let items = Json::List(objects.map(object_json).collect());
        let fields = [
            ("items", items),
            ("has_more", Json::Bool(false)),
            ("current_rev", Json::Number(state.revision as f64)),
        ];
        Json::Map(
            fields
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Json {
        let end = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let news = state
                .history
                .iter()
                .filter(|(revision, known, ..)| *revision > after && known == kind);
            let events: Vec<Json> = news
                .map(|(_, _, object, is_deleted)| {
                    let fields = [
                        ("object", object_json(object)),
                        ("deleted", Json::Bool(*is_deleted)),
                    ];
                    Json::Map(
                        fields
                            .into_iter()
                            .map(|(name, value)| (name.to_owned(), value))
                            .collect(),
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            // an outage swallows the answer: the connection hangs
            if state.is_down {
                drop(state);
                thread::sleep(Duration::from_secs(10));
                return Json::Null;
            }
            if !events.is_empty() || left.is_zero() {
                let fields = [
                    ("events", Json::List(events)),
                    ("current_rev", Json::Number(state.revision as f64)),
                ];
                return Json::Map(
                    fields
                        .into_iter()
                        .map(|(name, value)| (name.to_owned(), value))
                        .collect(),
                );
            }
            state = self
                .0
                 .1
                .wait_timeout(state, left)
                .expect("no thread panics")
                .0;
        }
    }
}

impl State {
    fn write(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<Json>,
        status: Option<Json>,
    ) -> Object {
        let objects = self.objects.entry(kind.to_owned()).or_default();
        let known = objects.get(name).cloned();
        let mut object = known.clone().unwrap_or(Object {
            name: name.to_owned(),
            revision: 0,
            spec: Json::Null,
            status: Json::Null,
        });
        if let Some(spec) = spec {
            object.spec = spec;
        }
        if let Some(status) = status {
            object.status = status;
        }
        // an entry of a server changes when more than `seq` changes
        let content = |object: &Object| {
            let spec = if kind == "servers" {
                object.spec.without("seq")
            } else {
                object.spec.clone()
            };
            (spec, object.status.clone())
        };
        if known
            .as_ref()
            .is_some_and(|known| content(known) == content(&object))
        {
            return known.expect("it is known");
        }
        self.revision += 1;
        object.revision = self.revision;
        objects.insert(name.to_owned(), object.clone());
        self.history
            .push_back((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn delete(&mut self, kind: &str, name: &str) {
        let objects = self.objects.entry(kind.to_owned()).or_default();
        if let Some(object) = objects.remove(name) {
            self.revision += 1;
            self.history
                .push_back((self.revision, kind.to_owned(), object, true));
        }
    }
}

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gateway::adapter::{Event, List, Object, ObjectError, Objects, Revision, Watch, Write};
use gateway::model::{Config, Health, Rollout, RolloutStatus, Vm};
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

type MakeConfig = Box<dyn Fn() -> Config>;

/// object API in memory
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Rc<State>,
    is_cut: Rc<Cell<bool>>,
    calls: Rc<Cell<u64>>,
}

/// content of the store at one time
#[derive(Clone)]
pub struct Copy {
    number: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Default)]
struct State {
    generation: Cell<u64>,
    revision: Cell<u64>,
    objects: RefCell<BTreeMap<(String, String), Object>>,
    history: RefCell<Vec<(u64, String, Event)>>,
    configs: RefCell<Vec<MakeConfig>>,
    changed: Notify,
    unavailable: Cell<bool>,
    watches_silent: Cell<bool>,
    calls: Cell<u64>,
    slow_writes: RefCell<Option<(String, Duration)>>,
    written_states: RefCell<Vec<String>>,
    rollouts_delayed: Cell<bool>,
    status_responses_lost: Cell<bool>,
}

impl FakeStore {
    /// creates a store without objects
    pub fn new() -> FakeStore {
        FakeStore::default()
    }

    /// stores a configuration
    pub fn configure(&self, make: impl Fn() -> Config + 'static) {
        let index = self.state.configs.borrow().len();
        self.state.configs.borrow_mut().push(Box::new(make));
        self.put("config", "main", json!({ "index": index }));
    }

    /// stores the registration of a VM
    pub fn register(&self, vm: &Vm) {
        let spec = json!({
            "service": vm.service,
            "version": vm.version,
            "started": vm.started_at_ms,
            "address": vm.address.to_string(),
            "zone": vm.zone,
            "draining": vm.health == Health::Draining,
        });
        self.put("vms", &vm.id, spec);
    }

    /// writes an object
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> Revision {
        let revision = Revision {
            number: self.state.revision.get() + 1,
            ..self.revision()
        };
        let object = Object {
            name: name.to_owned(),
            revision,
            spec,
            status: Value::Null,
        };
        let key = (kind.to_owned(), name.to_owned());
        self.state.objects.borrow_mut().insert(key, object.clone());
        self.record(kind, object, false);
        revision
    }

    /// requests to move the service `desk` to a version
    pub fn request_rollout(&self, to: &str, duration: Duration) -> Revision {
        let spec = json!({ "to": to, "duration_ms": duration.as_millis() as u64 });
        self.put("rollouts", "desk", spec)
    }

    /// the state of the roll-out of the service `desk`
    pub fn rollout_state(&self) -> Option<String> {
        let key = ("rollouts".to_owned(), "desk".to_owned());
        let objects = self.state.objects.borrow();
        let state = objects.get(&key)?.status.get("state")?.as_str()?;
        Some(state.to_owned())
    }

    /// delays the responses to reads of requests for roll-outs, or stops doing so
    pub fn delay_rollouts(&self, are_delayed: bool) {
        self.state.rollouts_delayed.set(are_delayed);
    }

    /// states that were written, in order
    pub fn written_states(&self) -> Vec<String> {
        self.state.written_states.borrow().clone()
    }

    /// makes the responses to writes of a status get lost, or arrive again
    pub fn set_status_responses_lost(&self, are_lost: bool) {
        self.state.status_responses_lost.set(are_lost);
    }

    /// deletes an object
    pub fn delete(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.state.objects.borrow_mut().remove(&key) {
            self.record(kind, object, true);
        }
    }

    /// makes all calls fail, or succeed again
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.unavailable.set(unavailable);
        self.state.changed.notify_waiters();
    }

    /// the same store over a connection of its own, which can be cut
    pub fn connect(&self) -> FakeStore {
        FakeStore {
            state: Rc::clone(&self.state),
            is_cut: Rc::default(),
            calls: Rc::default(),
        }
    }

    /// cuts this connection, or heals it
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.set(is_cut);
        self.state.changed.notify_waiters();
    }

    /// number of calls over this connection
    pub fn own_calls(&self) -> u64 {
        self.calls.get()
    }

    /// makes watches return no changes although there are some, or return them again
    pub fn set_watches_silent(&self, watches_silent: bool) {
        self.state.watches_silent.set(watches_silent);
    }

    /// drops the history, so that watches from earlier revisions fail
    pub fn drop_history(&self) {
        self.state.history.borrow_mut().clear();
        self.state.changed.notify_waiters();
    }

    /// revision of the last change
    pub fn revision(&self) -> Revision {
        Revision {
            generation: self.state.generation.get(),
            number: self.state.revision.get(),
        }
    }

    /// a copy from which the store can be restored
    pub fn copy(&self) -> Copy {
        Copy {
            number: self.state.revision.get(),
            objects: self.state.objects.borrow().clone(),
        }
    }

    /// restores the store from a copy, under the next generation and without history
    pub fn restore(&self, copy: &Copy) {
        let state = &self.state;
        state.generation.set(state.generation.get() + 1);
        state.revision.set(copy.number);
        *state.objects.borrow_mut() = copy.objects.clone();
        state.history.borrow_mut().clear();
        state.changed.notify_waiters();
    }

    /// delays the responses to writes of a kind
    pub fn set_slow_writes(&self, kind: &str, delay: Duration) {
        let slow_writes = (kind.to_owned(), delay);
        *self.state.slow_writes.borrow_mut() = Some(slow_writes);
    }

    /// number of calls received
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// content of an object
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let objects = self.state.objects.borrow();
        objects.get(&key).map(|object| object.spec.clone())
    }

    fn record(&self, kind: &str, object: Object, deleted: bool) {
        let revision = self.state.revision.get() + 1;
        self.state.revision.set(revision);
        let event = Event { object, deleted };
        let entry = (revision, kind.to_owned(), event);
        self.state.history.borrow_mut().push(entry);
        self.state.changed.notify_waiters();
    }

    fn events_after(&self, kind: &str, after: u64) -> Result<Vec<Event>, ObjectError> {
        let history = self.state.history.borrow();
        let is_expired = history.first().is_none_or(|(first, ..)| after + 1 < *first);
        if is_expired && after < self.state.revision.get() {
            return Err(ObjectError::Expired);
        }
        let new = history
            .iter()
            .filter(|(revision, of, _)| *revision > after && of == kind);
        let generation = self.state.generation.get();
        let events = new.map(|(_, _, event)| {
            let mut event = event.clone();
            event.object.revision.generation = generation;
            event
        });
        Ok(events.collect())
    }

    /// the object as it is read in the current generation
    fn current(&self, object: &Object) -> Object {
        let mut object = object.clone();
        object.revision.generation = self.state.generation.get();
        object
    }

    fn begin_call(&self) -> Result<(), ObjectError> {
        self.state.calls.set(self.state.calls.get() + 1);
        self.calls.set(self.calls.get() + 1);
        self.check_connection()
    }

    async fn wait_for_rollouts(&self, kind: &str) {
        while kind == "rollouts" && self.state.rollouts_delayed.get() {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn check_connection(&self) -> Result<(), ObjectError> {
        if self.state.unavailable.get() || self.is_cut.get() {
            return Err(ObjectError::Unknown("the store is unavailable".to_owned()));
        }
        Ok(())
    }
}

impl Objects for FakeStore {
    const CONFIG_KIND: &'static str = "config";
    const CONFIG_NAME: &'static str = "main";
    const VM_KIND: &'static str = "vms";
    const ROLLOUT_KIND: &'static str = "rollouts";

    fn generation(&self) -> Option<u64> {
        (self.state.calls.get() > 0).then(|| self.state.generation.get())
    }

    fn config(&self, spec: &Value) -> Result<Config, String> {
        let index = spec["index"].as_u64().ok_or("index is missing")?;
        let configs = self.state.configs.borrow();
        let make = configs
            .get(index as usize)
            .ok_or("index of an unknown configuration")?;
        Ok(make())
    }

    fn vm(&self, name: &str, spec: &Value) -> Result<Vm, String> {
        let address = spec["address"].as_str().ok_or("address is missing")?;
        Ok(Vm {
            id: name.to_owned(),
            started_at_ms: spec["started"].as_u64().unwrap_or_default(),
            service: spec["service"]
                .as_str()
                .ok_or("service is missing")?
                .to_owned(),
            version: spec["version"].as_str().unwrap_or_default().to_owned(),
            address: address.parse().map_err(|_| "address is invalid")?,
            zone: spec["zone"].as_str().unwrap_or("here").to_owned(),
            slots: 8,
            health: if spec["draining"] == true {
                Health::Draining
            } else {
                Health::Ready
            },
            reclaimable: false,
        })
    }

    fn rollout(&self, spec: &Value) -> Result<Rollout, String> {
        Ok(Rollout {
            service: spec["service"].as_str().unwrap_or("desk").to_owned(),
            to: spec["to"]
                .as_str()
                .ok_or("the version is missing")?
                .to_owned(),
            duration: Duration::from_millis(spec["duration_ms"].as_u64().unwrap_or_default()),
        })
    }

    fn rollout_status(&self, status: &Value) -> Option<RolloutStatus> {
        serde_json::from_value(status.clone()).ok()
    }

    fn encode_rollout_status(&self, status: &RolloutStatus) -> Value {
        json!(status)
    }

    async fn list(&self, kind: &str) -> Result<List, ObjectError> {
        self.begin_call()?;
        self.wait_for_rollouts(kind).await;
        let objects = self.state.objects.borrow();
        let of_kind = objects.iter().filter(|((of, _), _)| of == kind);
        Ok(List {
            objects: of_kind.map(|(_, object)| self.current(object)).collect(),
            revision: self.revision(),
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<Object, ObjectError> {
        self.begin_call()?;
        let key = (kind.to_owned(), name.to_owned());
        let objects = self.state.objects.borrow();
        let object = objects.get(&key).ok_or(ObjectError::Missing)?;
        Ok(self.current(object))
    }

    async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watch, ObjectError> {
        self.begin_call()?;
        let generation = after.generation;
        let waiting = async {
            loop {
                let changed = self.state.changed.notified();
                self.check_connection()?;
                if self.state.watches_silent.get() {
                    changed.await;
                    continue;
                }
                if generation != self.state.generation.get() {
                    return Err(ObjectError::Expired);
                }
                let events = self.events_after(kind, after.number)?;
                if !events.is_empty() {
                    return Ok(events);
                }
                changed.await;
            }
        };
        let events = match timeout(wait, waiting).await {
            Ok(events) => events?,
            Err(_) => Vec::new(),
        };
        self.wait_for_rollouts(kind).await;
        let watches_silent = self.state.watches_silent.get();
        let revision = if watches_silent {
            after
        } else {
            self.revision()
        };
        Ok(Watch { events, revision })
    }

    async fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &Value,
        how: Write,
    ) -> Result<Revision, ObjectError> {
        self.begin_call()?;
        let key = (kind.to_owned(), name.to_owned());
        let current = self
            .state
            .objects
            .borrow()
            .get(&key)
            .map(|object| object.revision);
        match (how, current) {
            (Write::Create, Some(_)) => return Err(ObjectError::Conflict),
            (Write::Replace(_) | Write::Overwrite, None) => return Err(ObjectError::Missing),
            // as the real store, which is not told the generation of the base
            (Write::Replace(base), Some(current)) if base.number != current.number => {
                return Err(ObjectError::Conflict);
            }
            _ => {}
        }
        let revision = self.put(kind, name, spec.clone());
        let slow_writes = self.state.slow_writes.borrow().clone();
        if let Some((_, delay)) = slow_writes.filter(|(slow, _)| slow == kind) {
            sleep(delay).await;
        }
        Ok(revision)
    }

    async fn write_status(
        &self,
        kind: &str,
        name: &str,
        status: &Value,
        base: Revision,
    ) -> Result<Revision, ObjectError> {
        self.begin_call()?;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.state.objects.borrow().get(&key).cloned();
        let mut object = object.ok_or(ObjectError::Missing)?;
        if object.revision.number != base.number {
            return Err(ObjectError::Conflict);
        }
        object.revision = Revision {
            number: self.state.revision.get() + 1,
            ..self.revision()
        };
        object.status = status.clone();
        let state = status["state"].as_str().unwrap_or_default();
        self.state
            .written_states
            .borrow_mut()
            .push(state.to_owned());
        let revision = object.revision;
        self.state.objects.borrow_mut().insert(key, object.clone());
        self.record(kind, object, false);
        if self.state.status_responses_lost.get() {
            return Err(ObjectError::Unknown("the response is lost".to_owned()));
        }
        Ok(revision)
    }
}

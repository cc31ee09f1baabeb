use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, Params};
use super::{CallError, MESSAGE_BYTES, Meter};

/// longest wait for a new connection
const CONNECT: Duration = Duration::from_millis(1000);
/// bytes left for the envelope of a call
const ENVELOPE_BYTES: usize = 1024;
/// a connection that was not used for so long is closed
const IDLE: Duration = Duration::from_secs(300);

/// connections to other daemons, one to each
pub struct Pool {
    key: String,
    meter: Arc<Meter>,
    slots: Mutex<HashMap<String, Arc<Slot>>>,
    broken: Sender<String>,
}

struct Slot {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
    used: Mutex<Instant>,
}

impl Pool {
    /// a pool that shows `key` and tells `broken` the address of a connection that breaks
    pub fn new(key: &str, meter: Arc<Meter>, broken: Sender<String>) -> Pool {
        Pool {
            key: key.to_owned(),
            meter,
            slots: Mutex::new(HashMap::new()),
            broken,
        }
    }

    /// calls a method at a control address; `params` is its only parameter
    ///
    /// # Errors
    /// The error's verdict says whether the method may have run.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        control: &str,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, CallError> {
        Meter::add(&self.meter.calls, 1);
        let deadline = Instant::now() + timeout;
        let result = self.attempt(control, method, params, deadline).await;
        if result.is_err() {
            Meter::add(&self.meter.failures, 1);
        }
        result
    }

    async fn attempt<P: Serialize, R: DeserializeOwned>(
        &self,
        control: &str,
        method: &str,
        params: &P,
        deadline: Instant,
    ) -> Result<R, CallError> {
        let params = encode(params)?;
        let slot = self.slot(control);
        let opened = deadline.min(Instant::now() + CONNECT);
        let connection = match timeout_at(opened, self.connect(&slot, control)).await {
            Ok(connection) => connection?,
            Err(_) => return Err(CallError::Unreachable("no connection in time".to_owned())),
        };
        let answers = connection.answers();
        match timeout_at(deadline, connection.call(method, Params(params))).await {
            Ok(result) => result,
            Err(_) => {
                if connection.answers() == answers {
                    slot.give_up(&connection).await;
                }
                Err(CallError::Timeout)
            }
        }
    }

    fn slot(&self, control: &str) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = slots.entry(control.to_owned()).or_insert_with(|| {
            Arc::new(Slot {
                connection: tokio::sync::Mutex::new(None),
                used: Mutex::new(Instant::now()),
            })
        });
        *slot.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        slot.clone()
    }

    async fn connect(&self, slot: &Slot, control: &str) -> Result<Arc<Connection>, CallError> {
        let mut held = slot.connection.lock().await;
        if let Some(connection) = &*held
            && connection.is_open()
        {
            return Ok(connection.clone());
        }
        let opened = Connection::open(control, &self.key, self.meter.clone()).await?;
        let connection = Arc::new(opened);
        *held = Some(connection.clone());
        let broken = self.broken.clone();
        let (watched, control) = (connection.clone(), control.to_owned());
        tokio::spawn(async move {
            if watched.broke().await {
                // a full or closed channel only loses a hint
                let _ = broken.try_send(control);
            }
        });
        Ok(connection)
    }

    /// closes connections that were not used for long
    pub async fn prune(&self) {
        let now = Instant::now();
        self.close(|slot| {
            let used = *slot.used.lock().unwrap_or_else(PoisonError::into_inner);
            now.saturating_duration_since(used) >= IDLE
        })
        .await;
    }

    /// closes all connections
    pub async fn clear(&self) {
        self.close(|_| true).await;
    }

    async fn close(&self, which: impl Fn(&Slot) -> bool) {
        let mut closed = Vec::new();
        self.slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|_, slot| {
                let close = which(slot);
                if close {
                    closed.push(slot.clone());
                }
                !close
            });
        for slot in closed {
            if let Some(connection) = slot.connection.lock().await.take() {
                connection.retire();
            }
        }
    }
}

impl Slot {
    /// takes the connection out, if it is still the one in use
    async fn give_up(&self, connection: &Arc<Connection>) {
        let mut held = self.connection.lock().await;
        if let Some(current) = &*held
            && Arc::ptr_eq(current, connection)
        {
            *held = None;
            connection.retire();
        }
    }
}

fn encode(params: &impl Serialize) -> Result<Box<RawValue>, CallError> {
    let text = to_raw_value(&[params]).map_err(|error| CallError::Encode(error.to_string()))?;
    if text.get().len() + ENVELOPE_BYTES > MESSAGE_BYTES as usize {
        return Err(CallError::Encode("the parameters are too large".to_owned()));
    }
    Ok(text)
}

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crossbeam::channel::Sender;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, Params};
use super::{CallError, MAX_MESSAGE_BYTES, Meter};

/// time limit for opening a connection
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// bytes of a message that are reserved for the JSON-RPC envelope
const ENVELOPE_BYTES: usize = 1024;
/// time without a call after which a connection is closed
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// connections to other daemons, one to each control address
pub struct Pool {
    key: String,
    meter: Arc<Meter>,
    slots: Mutex<HashMap<String, Arc<Slot>>>,
    broken: Sender<String>,
}

struct Slot {
    connection: tokio::sync::Mutex<Option<Arc<Connection>>>,
    last_used: Mutex<Instant>,
}

impl Pool {
    /// a pool that authenticates with `key` and sends the address of each broken connection to
    /// `broken`
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
    /// If the call fails; [`CallError::verdict`] says whether the method may have run.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        control: &str,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, CallError> {
        Meter::add(&self.meter.calls, 1);
        let deadline = Instant::now() + timeout;
        let result = self.try_call(control, method, params, deadline).await;
        if result.is_err() {
            Meter::add(&self.meter.failures, 1);
        }
        result
    }

    async fn try_call<P: Serialize, R: DeserializeOwned>(
        &self,
        control: &str,
        method: &str,
        params: &P,
        deadline: Instant,
    ) -> Result<R, CallError> {
        let params = encode(params)?;
        let slot = self.slot(control);
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connection = match timeout_at(connect_deadline, self.connect(&slot, control)).await {
            Ok(connection) => connection?,
            Err(_) => return Err(CallError::Unreachable("no connection in time".to_owned())),
        };
        let responses = connection.responses();
        match timeout_at(deadline, connection.call(method, Params(params))).await {
            Ok(result) => result,
            Err(_) => {
                if connection.responses() == responses {
                    slot.discard(&connection).await;
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
                last_used: Mutex::new(Instant::now()),
            })
        });
        *slot
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
        slot.clone()
    }

    async fn connect(&self, slot: &Slot, control: &str) -> Result<Arc<Connection>, CallError> {
        let mut current = slot.connection.lock().await;
        if let Some(connection) = &*current
            && connection.is_open()
        {
            return Ok(connection.clone());
        }
        let opened = Connection::open(control, &self.key, self.meter.clone()).await?;
        let connection = Arc::new(opened);
        *current = Some(connection.clone());
        let broken = self.broken.clone();
        let (watched, control) = (connection.clone(), control.to_owned());
        tokio::spawn(async move {
            if watched.wait_broken().await {
                // a full or closed channel loses only a hint to the failure detector
                let _ = broken.try_send(control);
            }
        });
        Ok(connection)
    }

    /// closes connections that were not used for [`IDLE_TIMEOUT`]
    pub async fn prune(&self) {
        let now = Instant::now();
        self.close(|slot| {
            let last_used = *slot
                .last_used
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            now.saturating_duration_since(last_used) >= IDLE_TIMEOUT
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
    /// drops the connection, if it is still the slot's current one
    async fn discard(&self, connection: &Arc<Connection>) {
        let mut slot = self.connection.lock().await;
        if let Some(current) = &*slot
            && Arc::ptr_eq(current, connection)
        {
            *slot = None;
            connection.retire();
        }
    }
}

fn encode(params: &impl Serialize) -> Result<Box<RawValue>, CallError> {
    let text = to_raw_value(&[params]).map_err(|error| CallError::Encode(error.to_string()))?;
    if text.get().len() + ENVELOPE_BYTES > MAX_MESSAGE_BYTES as usize {
        return Err(CallError::Encode("the parameters are too large".to_owned()));
    }
    Ok(text)
}

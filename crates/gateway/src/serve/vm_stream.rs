use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::events::EventBuffer;
use super::in_flight::InFlight;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::pool::Connection;

/// event stream from a VM
pub(super) struct VmStream<D: Dialect> {
    pub vm: Rc<Vm>,
    pub body: Incoming,
    pub connection: Connection,
    pub in_flight: InFlight<D>,
}

/// next part of a stream
pub(super) enum Next {
    /// complete events, and whether one of them has data
    Events(Bytes, bool),
    /// end of the stream, with the bytes after the last complete event
    End(Bytes),
}

impl<D: Dialect> VmStream<D> {
    /// waits for complete events or the end of the stream
    pub async fn next(&mut self, events: &mut EventBuffer) -> Result<Next, String> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| crate::pool::describe(&error))?;
            self.in_flight.record_activity();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let batch = events
                .push(&data)
                .map_err(|_| "event exceeds 1 MiB".to_owned())?;
            if let Some(batch) = batch {
                return Ok(Next::Events(batch.bytes, batch.has_data));
            }
        }
        Ok(Next::End(events.take_rest()))
    }
}

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::events::EventBuffer;
use super::in_flight::InFlight;
use super::request::Request;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::pool::{Connection, Framing};
use crate::shared::Shared;

/// event stream from a VM
pub(super) struct VmStream<D: Dialect> {
    pub vm: Rc<Vm>,
    pub framing: Framing,
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

    /// logs the end of the stream, as its VM marked it
    pub fn log_end(&self, shared: &Shared<D>, request: &Request, rest: &Bytes) {
        let Some(left_out) = shared.permit_log("stream_ended") else {
            return;
        };
        tracing::info!(
            event = "stream_ended",
            request = request.call.id,
            vm = self.vm.id,
            framing = %self.framing,
            rest_bytes = rest.len(),
            after_ms = request.arrived.elapsed().as_millis() as u64,
            left_out,
        );
    }
}

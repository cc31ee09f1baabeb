use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::events::Events;
use super::flight::Flight;
use crate::model::Vm;
use crate::pool::Lease;
use crate::seam::Dialect;

/// a stream at a VM
pub(super) struct Source<D: Dialect> {
    pub vm: Rc<Vm>,
    pub body: Incoming,
    pub lease: Lease,
    pub flight: Flight<D>,
}

/// what comes next of a stream
pub(super) enum Next {
    /// whole events
    Events(Bytes),
    /// the end
    End(Bytes),
}

impl<D: Dialect> Source<D> {
    /// waits for whole events or the end
    pub async fn next(&mut self, events: &mut Events) -> Result<Next, String> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| crate::pool::describe(&error))?;
            self.flight.heard();
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let batch = events
                .push(&data)
                .map_err(|_| "an event is too long".to_owned())?;
            if let Some(batch) = batch {
                return Ok(Next::Events(batch.bytes));
            }
        }
        Ok(Next::End(events.rest()))
    }
}

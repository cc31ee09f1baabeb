use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use http_body_util::BodyExt;
use route::quarantine::BEGIN_TIME;
use tokio::time::Instant;

use super::attempt::VmResponse;
use super::events::EventBuffer;
use super::in_flight::InFlight;
use super::request::Request;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::pool::{Body, Connection, Framing};
use crate::quarantine;
use crate::shared::Shared;

/// event stream from a VM
pub(super) struct VmStream<D: Dialect> {
    pub vm: Rc<Vm>,
    pub framing: Framing,
    /// time of the first event with data
    pub first_event: Option<Instant>,
    /// whether some of it was passed on to the caller
    pub is_passed_on: bool,
    is_success_recorded: bool,
    /// whether the body consists of events, as far as its head says
    is_event_stream: bool,
    pub body: Body,
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
    /// creates a stream from a VM's response; also returns the head of the response
    pub fn new(vm: &Rc<Vm>, response: VmResponse<D>) -> (Parts, VmStream<D>) {
        let stream = VmStream {
            vm: Rc::clone(vm),
            framing: Framing::of(&response.head.headers),
            first_event: None,
            is_passed_on: false,
            is_success_recorded: false,
            is_event_stream: is_event_stream(&response.head.headers),
            body: response.body,
            connection: response.connection,
            in_flight: response.in_flight,
        };
        (response.head, stream)
    }

    /// when the connection to the VM was opened
    pub fn opened_at(&self) -> Instant {
        self.connection.opened_at()
    }

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
                if batch.has_data && self.first_event.is_none() {
                    self.first_event = Some(Instant::now());
                    self.in_flight.record_response(false);
                    self.in_flight.bind();
                }
                return Ok(Next::Events(batch.bytes, batch.has_data));
            }
        }
        if self.is_event_stream {
            self.check_end(events)?;
        }
        Ok(Next::End(events.take_rest()))
    }

    /// returns an error if the VM broke the stream off
    fn check_end(&self, events: &EventBuffer) -> Result<(), String> {
        if events.ends_inside_event() {
            return Err("the stream ended inside an event".to_owned());
        }
        if self.framing == Framing::Close && self.first_event.is_none() {
            return Err("the connection ended before the first event".to_owned());
        }
        Ok(())
    }

    /// whether the VM has written for so long that its end would have another cause
    pub fn is_past_begin(&self) -> bool {
        self.first_event.is_some_and(|at| at.elapsed() > BEGIN_TIME)
    }

    /// records once that the VM writes the response without a failure
    pub fn record_success(&mut self, shared: &Shared<D>, request: &Request) {
        if let Some(first_event) = self.first_event
            && !std::mem::replace(&mut self.is_success_recorded, true)
        {
            quarantine::record_success(shared, request, first_event);
        }
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

/// whether a response is an event stream; one without a content type is taken for one
fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(value) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let media_type = value.to_str().unwrap_or_default().split(';').next();
    media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case("text/event-stream"))
}

use std::rc::Rc;
use std::time::Duration;

use route::placement::{Completion, Outcome, Pick, Sample, TimeLimit, Work};
use tokio::time::Instant;

use super::request::Request;
use crate::adapter::Dialect;
use crate::model::Vm;
use crate::rollout::Attempt;
use crate::shared::Shared;

/// pauses between frames of a stream of which the mean is one sample: this process may read several
/// frames together
const PAUSES: u32 = 16;

/// a request in flight at a VM; removed from the balancer's load when dropped
pub(super) struct InFlight<D: Dialect> {
    shared: Rc<Shared<D>>,
    service: String,
    id: String,
    work: Work,
    is_prefilling: bool,
    sent_at: Instant,
    /// what the time to the first event is compared with; none if it can't be compared
    expectation: Option<Sample>,
    /// whether the time to the first event was measured
    is_measured: bool,
    /// start and number of the events of which the mean pause is measured
    pauses: Option<(Instant, u32)>,
    outcome: Outcome,
    latency: Option<Duration>,
    /// the same attempt, if the deployment uses roll-outs
    attempt: Option<Attempt<D>>,
}

impl<D: Dialect> InFlight<D> {
    /// adds a request to the balancer's load
    pub fn begin(
        shared: &Rc<Shared<D>>,
        request: &Request,
        vm: &Vm,
        pick: &Pick,
        is_resumed: bool,
    ) -> InFlight<D> {
        let now = Instant::now();
        let work = Work {
            prefill_tokens: pick.uncached,
            held: pick.uncached.saturating_add(request.call.output_tokens()),
        };
        let placement_request = request.placement_request(&[], TimeLimit::total(Duration::ZERO));
        let mut balancer = shared.placement.borrow_mut();
        balancer.begin(&placement_request, &vm.id, &work, now);
        if let Some(fetch) = &pick.fetch {
            balancer.begin_fetch(&request.service, &vm.id, fetch, now);
        }
        drop(balancer);
        InFlight {
            shared: Rc::clone(shared),
            service: request.service.clone(),
            id: vm.id.clone(),
            work,
            is_prefilling: true,
            sent_at: now,
            // a resumed stream also recomputes its output, and a transfer is no prefill
            expectation: (!is_resumed && pick.fetch.is_none()).then(|| Sample {
                prefill_tokens: pick.uncached,
                running: pick.running,
                wait: pick.expected.saturating_sub(pick.unloaded + pick.excess),
                expected: pick.expected,
                excess: pick.excess,
                took: Duration::ZERO,
            }),
            is_measured: false,
            pauses: None,
            outcome: Outcome::Cancelled,
            latency: None,
            attempt: Attempt::begin(
                shared,
                vm,
                &request.route.name,
                request.route.kind,
                pick.usual,
            ),
        }
    }

    /// records that the VM sent something
    pub fn record_activity(&mut self) {
        let now = Instant::now();
        let mut balancer = self.shared.placement.borrow_mut();
        balancer.record_activity(&self.service, &self.id, now);
        if !self.is_measured {
            return;
        }
        let (since, frames) = self.pauses.unwrap_or((now, 0));
        if frames < PAUSES {
            self.pauses = Some((since, frames + 1));
            return;
        }
        let pause = now.saturating_duration_since(since) / PAUSES;
        balancer.record_pause(&self.service, &self.id, pause, now);
        self.pauses = Some((now, 1));
    }

    /// records that the first token was received
    pub fn record_first_token(&mut self) {
        if let Some(expectation) = self.expectation.take() {
            self.is_measured = true;
            let now = Instant::now();
            let sample = Sample {
                took: now.saturating_duration_since(self.sent_at),
                ..expectation
            };
            let mut balancer = self.shared.placement.borrow_mut();
            balancer.record_sample(&self.service, &self.id, &sample, now);
        }
        self.finish_prefill();
    }

    fn finish_prefill(&mut self) {
        if !self.is_prefilling {
            return;
        }
        self.is_prefilling = false;
        let mut balancer = self.shared.placement.borrow_mut();
        balancer.record_first_token(&self.service, &self.id, &self.work);
    }

    /// records the first event of a stream, or that a response is complete, as a sample of the VM's
    /// version
    pub fn record_response(&self, is_failed: bool) {
        if let Some(attempt) = &self.attempt {
            attempt.record_response(is_failed);
        }
    }

    /// records that a stream has begun, which goes on at the version of this VM only
    pub fn bind(&self) {
        if let Some(attempt) = &self.attempt {
            attempt.bind();
        }
    }

    /// sets how the request ended; without it the request counts as cancelled
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// sets the time until a plain response was complete
    pub fn set_latency(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }
}

impl<D: Dialect> Drop for InFlight<D> {
    fn drop(&mut self) {
        self.finish_prefill();
        let now = Instant::now();
        if self.is_measured && self.outcome == Outcome::Answered {
            let took = now.saturating_duration_since(self.sent_at);
            let mut balancer = self.shared.placement.borrow_mut();
            balancer.record_stream(&self.service, took, now);
        }
        let completion = Completion {
            service: &self.service,
            id: &self.id,
            work: &self.work,
            outcome: self.outcome,
            took: self.latency,
        };
        self.shared.placement.borrow_mut().end(&completion, now);
    }
}

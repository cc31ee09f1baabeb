//! Executes the actions of a plan.

use std::thread;

use schema::cloud::{Start as StartRequest, State as VmState, Vm};
use tokio::time::Instant;

use super::permit::Permit;
use super::report::{Failure, Report};
use crate::cloud::{Cloud, Error};
use crate::plan::{Action, Start};
use crate::state::State;

/// maximum number of concurrent starts
const MAX_CONCURRENT_STARTS: usize = 8;

/// executes the actions of a plan
#[derive(Debug)]
pub(super) struct Executor<'a, C, P> {
    pub(super) cloud: &'a C,
    pub(super) permit: &'a P,
    pub(super) now: Instant,
}

/// outcome of one start
enum Outcome {
    /// the cloud responded or the call failed
    Completed(Result<Vm, Error>),
    /// no call was made, as the permit was no longer valid
    NotPermitted,
}

impl<C: Cloud + Sync, P: Permit + Sync> Executor<'_, C, P> {
    /// executes actions and records their results
    pub(super) fn execute(&self, actions: &[Action], state: &mut State, report: &mut Report) {
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Drain(vm) => {
                    state.record_drain(vm, self.now);
                    report.drained.push(vm.clone());
                }
                Action::Remove(vm) => self.remove(vm, state, report),
            }
        }
        for batch in starts.chunks(MAX_CONCURRENT_STARTS) {
            if !self.start_batch(batch, state, report) {
                return;
            }
        }
    }

    fn remove(&self, vm: &str, state: &mut State, report: &mut Report) {
        if !self.permit.is_valid() {
            report.is_stopped = true;
            return;
        }
        match self.cloud.remove(vm) {
            Ok(()) => {
                state.record_removal(vm, self.now);
                report.removed.push(vm.to_owned());
            }
            // the VM stays marked as draining, so the next plan repeats the removal
            Err(error) => report.failed.push(Failure {
                vm: vm.to_owned(),
                error,
            }),
        }
    }

    /// starts VMs concurrently; false if no more VMs should be started in this step
    fn start_batch(&self, batch: &[&Start], state: &mut State, report: &mut Report) -> bool {
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let calls: Vec<_> = batch
                .iter()
                .map(|start| scope.spawn(|| self.start(start)))
                .collect();
            calls
                .into_iter()
                .map(|call| call.join().unwrap_or(Outcome::NotPermitted))
                .collect()
        });
        let mut may_continue = true;
        for (start, outcome) in batch.iter().zip(outcomes) {
            match outcome {
                Outcome::NotPermitted => {
                    report.is_stopped = true;
                    may_continue = false;
                }
                Outcome::Completed(result) => {
                    may_continue &= self.record_result(start, result, state, report);
                }
            }
        }
        may_continue
    }

    fn start(&self, start: &Start) -> Outcome {
        if !self.permit.is_valid() {
            return Outcome::NotPermitted;
        }
        let request = StartRequest {
            upstream: start.pool.upstream.clone(),
            zone: start.pool.zone.clone(),
            class: start.pool.class.clone(),
            market: start.pool.market,
        };
        Outcome::Completed(self.cloud.start(&start.name, &request))
    }

    /// records the result of a start; false if the cloud seems to be unavailable
    fn record_result(
        &self,
        start: &Start,
        result: Result<Vm, Error>,
        state: &mut State,
        report: &mut Report,
    ) -> bool {
        match result {
            // an older VM of this name has its preemption notice; the name can be reused once that
            // VM no longer exists
            Ok(vm) if vm.state == VmState::Leaving => true,
            Ok(_) => {
                state.record_start(&start.name, &start.pool, self.now);
                report.started.push(start.name.clone());
                true
            }
            Err(Error::NoCapacity) => {
                state.record_refusal(&start.pool, self.now);
                report.refused.push(start.name.clone());
                true
            }
            Err(error) => {
                // a VM of this name exists that is not in the list yet
                if error == Error::NameTaken {
                    state.record_start(&start.name, &start.pool, self.now);
                }
                let may_continue = !error.is_outage();
                report.failed.push(Failure {
                    vm: start.name.clone(),
                    error,
                });
                may_continue
            }
        }
    }
}

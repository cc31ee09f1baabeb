//! Carries out the actions of one plan.

use std::thread;

use schema::cloud::{Start as Body, State as Life, Vm};
use tokio::time::Instant;

use super::permit::Permit;
use super::report::{Failure, Report};
use crate::cloud::{Cloud, Error};
use crate::plan::{Action, Start};
use crate::state::State;

/// starts under way at the same time
const PARALLEL: usize = 8;

/// the means to act, at one moment
#[derive(Debug)]
pub(super) struct Act<'a, C, P> {
    pub(super) cloud: &'a C,
    pub(super) permit: &'a P,
    pub(super) now: Instant,
}

/// what became of one start
enum Outcome {
    /// the cloud answered or the call failed
    Answered(Result<Vm, Error>),
    /// the permit lapsed before
    Stopped,
}

impl<C: Cloud + Sync, P: Permit + Sync> Act<'_, C, P> {
    /// carries out actions and notes what became of them
    pub(super) fn carry_out(&self, actions: &[Action], state: &mut State, report: &mut Report) {
        let mut starts = Vec::new();
        for action in actions {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Drain(vm) => {
                    state.drained(vm, self.now);
                    report.drained.push(vm.clone());
                }
                Action::Remove(vm) => self.remove(vm, state, report),
            }
        }
        for batch in starts.chunks(PARALLEL) {
            if !self.start_batch(batch, state, report) {
                return;
            }
        }
    }

    fn remove(&self, vm: &str, state: &mut State, report: &mut Report) {
        if !self.permit.holds() {
            report.is_stopped = true;
            return;
        }
        match self.cloud.remove(vm) {
            Ok(()) => {
                state.removed(vm, self.now);
                report.removed.push(vm.to_owned());
            }
            // the drain stays, so the next plan removes it again
            Err(error) => report.failed.push(Failure {
                vm: vm.to_owned(),
                error,
            }),
        }
    }

    /// starts some VMs at once; false if the rest has to wait
    fn start_batch(&self, batch: &[&Start], state: &mut State, report: &mut Report) -> bool {
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let calls: Vec<_> = batch
                .iter()
                .map(|start| scope.spawn(|| self.start(start)))
                .collect();
            calls
                .into_iter()
                .map(|call| call.join().unwrap_or(Outcome::Stopped))
                .collect()
        });
        let mut goes_on = true;
        for (start, outcome) in batch.iter().zip(outcomes) {
            match outcome {
                Outcome::Stopped => {
                    report.is_stopped = true;
                    goes_on = false;
                }
                Outcome::Answered(answer) => {
                    goes_on &= self.note(start, answer, state, report);
                }
            }
        }
        goes_on
    }

    fn start(&self, start: &Start) -> Outcome {
        if !self.permit.holds() {
            return Outcome::Stopped;
        }
        let body = Body {
            upstream: start.place.upstream.clone(),
            zone: start.place.zone.clone(),
            class: start.place.class.clone(),
            market: start.place.market,
        };
        Outcome::Answered(self.cloud.start(&start.name, &body))
    }

    /// notes the answer to a start; false if the cloud is out
    fn note(
        &self,
        start: &Start,
        answer: Result<Vm, Error>,
        state: &mut State,
        report: &mut Report,
    ) -> bool {
        match answer {
            // a former VM of this name has its notice; the name is free when it is gone
            Ok(vm) if vm.state == Life::Leaving => true,
            Ok(_) => {
                state.started(&start.name, &start.place, self.now);
                report.started.push(start.name.clone());
                true
            }
            Err(Error::Capacity) => {
                state.refused(&start.place, self.now);
                report.refused.push(start.name.clone());
                true
            }
            Err(error) => {
                // the VM of this name is one that the list does not show yet
                if error == Error::Taken {
                    state.started(&start.name, &start.place, self.now);
                }
                let goes_on = !error.is_outage();
                report.failed.push(Failure {
                    vm: start.name.clone(),
                    error,
                });
                goes_on
            }
        }
    }
}

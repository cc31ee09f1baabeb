//! Migration of a stream off a draining upstream VM.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use route::resume::{self, Plan, Successor};
use route::retry;
use route::table::{Outcome, Pick};
use schema::engine::Import;
use tokio::time::Instant;

use super::attempt::{Assignment, Attempt, OnDrain, Stop};
use super::run::Run;

impl Run<'_> {
    /// finishes the stream on its draining VM, or migrates it with or without its KV cache
    pub(super) fn migrate(
        &mut self,
        assignment: Assignment,
        mut attempt: Attempt<'_>,
    ) -> Option<Assignment> {
        self.avoid.push(assignment.stream.vm.clone());
        let Some(pick) = self.select_vm() else {
            let stop = attempt.read(&assignment, OnDrain::Continue, || false);
            return self.after_read(assignment, stop);
        };
        let plan = self.plan(&assignment, &attempt, &pick);
        tracing::info!(
            event = "stream_leaves",
            request = self.journal().origin.id,
            ?plan
        );
        match plan {
            Plan::Finish => {
                self.release_pick(pick);
                let stop = attempt.read(&assignment, OnDrain::Continue, || false);
                self.after_read(assignment, stop)
            }
            Plan::Export => self.export(assignment, attempt, pick),
            Plan::Resume => self.resume(assignment, &attempt, pick),
        }
    }

    fn plan(&self, assignment: &Assignment, attempt: &Attempt<'_>, pick: &Pick) -> Plan {
        let origin = &self.journal().origin;
        let generated_tokens = self.journal().token_count();
        let tokens = route::prefix::tokens(&origin.prompt) + generated_tokens;
        let step = attempt
            .mean_step()
            .unwrap_or(self.context.between_tokens_target(&origin.service));
        let stream = resume::Stream {
            generated_tokens,
            remaining_tokens: origin.max_tokens.saturating_sub(generated_tokens),
            step,
        };
        let successor = Successor {
            queue: Duration::ZERO,
            prefill: pick.estimate / tokens.max(1),
            step,
            slots: 1,
            streams: 0,
            crosses_link: pick.crosses_link,
        };
        let migration = &self.context.migration;
        let time_left = migration.time_left(&assignment.stream.vm, Instant::now());
        resume::plan(
            &stream,
            time_left,
            &migration.estimate_kv(tokens),
            &successor,
        )
    }

    /// handles the end of the old stream when it was not migrated
    fn after_read(&mut self, assignment: Assignment, stop: Stop) -> Option<Assignment> {
        match stop {
            Stop::Finished(finish) => self.finish(assignment, finish),
            Stop::RequestEnded => self.abandon(assignment),
            Stop::DeadlinePassed => self.time_out(assignment),
            Stop::Failed(_) if !self.is_driven() => self.abandon(assignment),
            Stop::Draining | Stop::Failed(_) => return self.reassign(assignment),
        }
        None
    }

    /// transfers the KV cache to the successor while the old stream continues, then resumes there
    fn export(
        &mut self,
        assignment: Assignment,
        mut attempt: Attempt<'_>,
        pick: Pick,
    ) -> Option<Assignment> {
        let start = Instant::now();
        let transferred = AtomicBool::new(false);
        let stop = thread::scope(|scope| {
            scope.spawn(|| {
                self.import(&assignment, &pick);
                transferred.store(true, Ordering::Release);
            });
            attempt.read(&assignment, OnDrain::Continue, || {
                transferred.load(Ordering::Acquire)
            })
        });
        let note = format!("from={} to={}", assignment.stream.vm, pick.vm);
        let origin = &self.journal().origin;
        self.context
            .spans
            .add(origin.span_ids(), "move", start, &note);
        match stop {
            Stop::Draining | Stop::Failed(_) if self.is_driven() => {
                self.resume(assignment, &attempt, pick)
            }
            stop => {
                self.release_pick(pick);
                self.after_read(assignment, stop)
            }
        }
    }

    fn import(&self, assignment: &Assignment, pick: &Pick) {
        let start = Instant::now();
        let import = Import {
            source: format!("http://{}", assignment.stream.address),
            request_id: assignment.stream.name.clone(),
        };
        match self.context.engines.import_kv_cache(&pick.address, &import) {
            Ok(imported) => {
                let (tokens, bytes) = (imported.tokens, imported.bytes);
                self.context
                    .migration
                    .record_transfer(tokens, bytes, start.elapsed());
                self.context.metrics.moved_kv_bytes.inc_by(bytes);
            }
            Err(error) => tracing::info!(event = "kv_move_failed", vm = pick.vm, %error),
        }
    }

    /// cancels the stream on the old VM and continues on the successor
    fn resume(
        &mut self,
        assignment: Assignment,
        attempt: &Attempt<'_>,
        pick: Pick,
    ) -> Option<Assignment> {
        let number = attempt.number() + 1;
        self.cancel(&assignment);
        self.release(assignment, Outcome::Failed(retry::Kind::Draining));
        Some(Assignment::new(self.journal(), pick, number))
    }

    /// releases the draining VM and selects another one
    pub(super) fn reassign(&mut self, assignment: Assignment) -> Option<Assignment> {
        self.avoid.push(assignment.stream.vm.clone());
        self.release(assignment, Outcome::Failed(retry::Kind::Draining));
        self.wait_for_vm()
    }

    fn release_pick(&self, pick: Pick) {
        let now = Instant::now();
        self.context
            .vms
            .finish(pick.permit, Outcome::Cancelled, now);
    }
}

//! Callers of all daemons who keep asking.

use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use bench::client::Ask;

use super::proof::Call;
use super::{DESK, MODEL, Stage};

/// pause of a caller between two requests
const PAUSE: Duration = Duration::from_millis(30);

/// callers of each kind at each daemon; several at once, so that every VM is used
const CALLERS: usize = 4;

/// tokens of a completion
const TOKENS: u32 = 4;

/// what the callers saw
#[derive(Debug, Default)]
pub struct Load {
    stop: AtomicBool,
    served: AtomicU32,
    failed: AtomicU32,
    first_failure: Mutex<String>,
}

impl Load {
    /// keeps callers of these daemons going while `run` runs; fails if one was not served
    pub fn during(stage: &Stage, daemons: &[usize], run: impl FnOnce()) {
        let load = Load::default();
        thread::scope(|scope| {
            for daemon in daemons.iter().copied() {
                for caller in 0..CALLERS {
                    let load = &load;
                    scope.spawn(move || load.complete(stage, daemon, caller));
                    scope.spawn(move || load.book(stage, daemon));
                }
            }
            let stopped = Stop(&load);
            run();
            drop(stopped);
        });
        let served = load.served.load(Ordering::Relaxed);
        let failed = load.failed.load(Ordering::Relaxed);
        let first = load.first_failure.lock().expect("a lock").clone();
        assert!(
            served > 0 && failed == 0,
            "{served} served, {failed} failed; the first: {first}"
        );
    }

    fn complete(&self, stage: &Stage, daemon: usize, caller: usize) {
        let client = stage.world.client();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let prompt = format!("outline {daemon} {caller} {number}");
            let ask = Ask::new(MODEL, &prompt, TOKENS);
            let answer = client.complete(daemon, &ask);
            let whole = ask.expected(&prompt);
            let served = matches!(&answer, Ok(answer) if answer.text == whole);
            self.count(served, &answer);
        }
    }

    fn book(&self, stage: &Stage, daemon: usize) {
        let to = stage.world.daemons()[daemon].callers;
        while !self.stop.load(Ordering::Relaxed) {
            let call = Call::new("POST", &format!("/services/{DESK}/lanterns"));
            let reply = call.bearer(&stage.key).body("one").send(to);
            let served = matches!(&reply, Ok(reply) if reply.status == 200);
            self.count(served, &reply);
        }
    }

    fn count(&self, served: bool, seen: &impl Debug) {
        let counter = if served { &self.served } else { &self.failed };
        let mut first = self.first_failure.lock().expect("a lock");
        if !served && first.is_empty() {
            *first = format!("{seen:?}");
        }
        drop(first);
        counter.fetch_add(1, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
}

/// ends the callers, also when the scene fails
struct Stop<'a>(&'a Load);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

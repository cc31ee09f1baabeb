//! Callers that keep sending requests to all daemons.

use std::fmt::Debug;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use bench::client::Request;

use super::harness::Call;
use super::{DESK, Fixture, MODEL};

/// pause of a caller between two requests
const PAUSE: Duration = Duration::from_millis(30);

/// callers of each service at each daemon; several, so that every VM is used
const CALLERS: usize = 4;

/// tokens of a completion
const TOKENS: u32 = 4;

/// results of all callers
#[derive(Debug, Default)]
pub struct Load {
    stop: AtomicBool,
    served: AtomicU32,
    failed: AtomicU32,
    first_failure: Mutex<String>,
}

impl Load {
    /// calls these daemons while `scenario` runs; fails if a request failed
    pub fn during(fixture: &Fixture, daemons: &[usize], scenario: impl FnOnce()) {
        let load = Load::default();
        thread::scope(|scope| {
            for daemon in daemons.iter().copied() {
                for caller in 0..CALLERS {
                    let load = &load;
                    scope.spawn(move || load.complete(fixture, daemon, caller));
                    scope.spawn(move || load.book(fixture, daemon));
                }
            }
            let stopped = Stop(&load);
            scenario();
            drop(stopped);
        });
        let served = load.served.load(Ordering::Relaxed);
        let failed = load.failed.load(Ordering::Relaxed);
        let first = load.first_failure.lock().expect("lock is poisoned").clone();
        assert!(
            served > 0 && failed == 0,
            "{served} requests served, {failed} failed; first failure: {first}"
        );
    }

    fn complete(&self, fixture: &Fixture, daemon: usize, caller: usize) {
        let client = fixture.world.client();
        let mut number = 0;
        while !self.stop.load(Ordering::Relaxed) {
            number += 1;
            let prompt = format!("outline {daemon} {caller} {number}");
            let request = Request::new(MODEL, &prompt, TOKENS);
            let completion = client.complete(daemon, &request);
            let expected = request.expected(&prompt);
            let served = matches!(&completion, Ok(completion) if completion.text == expected);
            self.record(served, &completion);
        }
    }

    fn book(&self, fixture: &Fixture, daemon: usize) {
        let to = fixture.world.daemons()[daemon].callers;
        while !self.stop.load(Ordering::Relaxed) {
            let call = Call::new("POST", &format!("/services/{DESK}/lanterns"));
            let reply = call.bearer(&fixture.key).body("one").send(to);
            let served = matches!(&reply, Ok(reply) if reply.status == 200);
            self.record(served, &reply);
        }
    }

    fn record(&self, served: bool, result: &impl Debug) {
        let counter = if served { &self.served } else { &self.failed };
        let mut first = self.first_failure.lock().expect("lock is poisoned");
        if !served && first.is_empty() {
            *first = format!("{result:?}");
        }
        drop(first);
        counter.fetch_add(1, Ordering::Relaxed);
        thread::sleep(PAUSE);
    }
}

/// stops the callers when dropped, also if the scenario panics
struct Stop<'a>(&'a Load);

impl Drop for Stop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

//! Keeps quarantined requests and parts of prompts in the object API.
//!
//! The daemons keep them in memory, which suffices while one of them survives. Against the loss of
//! all at once, one daemon of each data centre writes changes to one object, and every daemon
//! reads it at its start. Writers merge what they read, so their order does not matter.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use entry::Context;
use macro_rules_attribute::apply;
use route::quarantine::Mark;
use schema::message;
use store::{Client, Error, Object, Spec};

/// duty of writing the checkpoint
const DUTY: &str = "checkpoint";

/// name of the object
const NAME: &str = "latest";

/// interval at which changes are looked for
const INTERVAL: Duration = Duration::from_millis(500);

/// delay after a failed call
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// content of the object
#[apply(message!)]
#[derive(Default)]
struct Checkpoint {
    /// quarantined requests and parts, and those that were released, by id
    marks: Vec<Mark>,
}

/// reads the checkpoint and writes changes
struct Keeper {
    context: Arc<Context>,
    client: Client,
    /// marks in the object when it was last read or written
    recorded: Vec<Mark>,
}

impl Spec for Checkpoint {
    const KIND: &'static str = "Checkpoint";
    const PLURAL: &'static str = "checkpoints";
}

/// starts the thread that reads and writes the checkpoint
///
/// # Errors
/// When the thread can't be started.
pub fn start(context: Arc<Context>, client: Client) -> io::Result<()> {
    let mut keeper = Keeper {
        context,
        client,
        recorded: Vec::new(),
    };
    let builder = thread::Builder::new().name("checkpoint".to_owned());
    builder.spawn(move || keeper.run()).map(drop)
}

impl Keeper {
    fn run(&mut self) {
        while let Err(error) = self.read() {
            tracing::warn!(event = "checkpoint_unread", cause = %error);
            thread::sleep(RETRY_DELAY);
        }
        tracing::info!(event = "checkpoint_read", quarantined = self.recorded.len());
        loop {
            thread::sleep(INTERVAL);
            let is_changed = self.recorded != self.marks();
            if !is_changed || !self.context.node.holds_duty(DUTY, 1) {
                continue;
            }
            match self.write() {
                Ok(()) => {}
                // another writer came first, whose marks are read in the next round
                Err(error @ (Error::Conflict | Error::AlreadyExists)) => {
                    tracing::debug!(event = "checkpoint_failed", cause = %error);
                }
                Err(error) => {
                    tracing::warn!(event = "checkpoint_failed", cause = %error);
                    thread::sleep(RETRY_DELAY);
                }
            }
        }
    }

    /// reads the object and applies its marks
    fn read(&mut self) -> Result<Object<Checkpoint>, Error> {
        let read = self.client.get::<Checkpoint>(NAME)?;
        let object = read.unwrap_or_else(|| Object::new(NAME, Checkpoint::default()));
        self.context.quarantine.restore(&object.spec.marks);
        self.recorded.clone_from(&object.spec.marks);
        Ok(object)
    }

    /// adds the marks of this daemon to the object
    fn write(&mut self) -> Result<(), Error> {
        let mut object = self.read()?;
        let marks = self.marks();
        if object.spec.marks == marks {
            return Ok(());
        }
        object.spec.marks.clone_from(&marks);
        if object.version == 0 {
            self.client.create(&object)?;
        } else {
            self.client.update(&object)?;
        }
        self.recorded = marks;
        Ok(())
    }

    /// marks known to this daemon, by id
    fn marks(&self) -> Vec<Mark> {
        let mut marks = self.context.quarantine.marks();
        marks.sort_unstable_by_key(|mark| mark.id);
        marks
    }
}

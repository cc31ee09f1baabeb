//! Pool of threads that run the attempts of completions.

use std::io;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use route::limit;
use route::table::Pick;

use super::run::Run;
use crate::context::Context;
use crate::journal::Journal;

/// stack of a driver thread, bytes
const STACK_BYTES: usize = 512 * 1024;

/// a completion to run
pub struct Job {
    /// the request
    pub journal: Arc<Journal>,
    /// upstream VM selected at admission; none for a request of another daemon
    pub pick: Option<Pick>,
    /// its reservation under the limits of the workspace; none for a request of another daemon
    pub permit: Option<limit::Permit>,
}

/// pool of threads that run the attempts of completions
pub struct DriverPool;

impl DriverPool {
    /// starts the threads; they end when all senders of `jobs` are dropped
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(context: &Arc<Context>, jobs: &Receiver<Job>, threads: u32) -> io::Result<()> {
        for number in 0..threads {
            let context = Arc::clone(context);
            let jobs = jobs.clone();
            let builder = thread::Builder::new().name(format!("drive-{number}"));
            builder.stack_size(STACK_BYTES).spawn(move || {
                let _runtime = context.runtime.enter();
                for job in &jobs {
                    Run::new(&context, job).run();
                }
            })?;
        }
        Ok(())
    }
}

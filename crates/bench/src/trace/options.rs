//! The command line of the generator.

use std::io;
use std::path::PathBuf;

use bpaf::Bpaf;
use schema::trace::Shape;

use super::make;

/// what to do with traces
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub enum Options {
    /// Generate a seeded trace
    #[bpaf(command)]
    Make {
        /// seed of all draws
        #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
        /// time in which calls arrive, seconds
        #[bpaf(long, argument("SECONDS"), fallback(35), display_fallback)]
        seconds: u32,
        /// mean number of calls a second
        #[bpaf(long, argument("RATE"), fallback(14.0), display_fallback)]
        rate: f64,
        /// file to write; printed without one
        #[bpaf(long, argument("FILE"), optional)]
        file: Option<PathBuf>,
        /// `archive` or `thistlewood`
        #[bpaf(positional("SHAPE"))]
        shape: Shape,
    },
}

impl Options {
    /// does it
    pub fn run(&self) -> io::Result<bool> {
        let Options::Make {
            seed,
            seconds,
            rate,
            file,
            shape,
        } = self;
        let trace = make(*shape, *seed, *seconds, *rate);
        match file {
            Some(file) => trace.write(file)?,
            None => print!("{}", trace.text()?),
        }
        Ok(true)
    }
}

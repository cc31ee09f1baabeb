//! Command line of the trace generator.

use std::io;
use std::path::PathBuf;

use bpaf::Bpaf;
use schema::trace::Shape;

use super::generate;

/// operations on traces
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub enum Options {
    /// Generate a seeded trace
    #[bpaf(command)]
    Make {
        /// seed of the random generator
        #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
        seed: u64,
        /// duration of the trace, seconds
        #[bpaf(long, argument("SECONDS"), fallback(35), display_fallback)]
        seconds: u32,
        /// mean number of calls per second
        #[bpaf(long, argument("RATE"), fallback(14.0), display_fallback)]
        rate: f64,
        /// file to write; standard output if left out
        #[bpaf(long, argument("FILE"), optional)]
        file: Option<PathBuf>,
        /// `archive` or `thistlewood`
        #[bpaf(positional("SHAPE"))]
        shape: Shape,
    },
}

impl Options {
    /// runs the operation
    pub fn run(&self) -> io::Result<bool> {
        let Options::Make {
            seed,
            seconds,
            rate,
            file,
            shape,
        } = self;
        let trace = generate(*shape, *seed, *seconds, *rate);
        match file {
            Some(file) => trace.write(file)?,
            None => print!("{}", trace.text()?),
        }
        Ok(true)
    }
}

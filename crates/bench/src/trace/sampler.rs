//! Weighted random choice of classes, workspaces and groups.

use std::ops::Range;

use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use schema::trace::Class;

/// a class and the distribution of its calls
#[derive(Clone, Debug)]
pub struct Kind {
    /// the class
    pub class: Class,
    /// frequency relative to the other kinds
    pub weight: f64,
    /// words of a prompt that no other call has
    pub private: Range<u32>,
    /// tokens to generate; an empty range for a plain service
    pub output: Range<u32>,
    /// fraction of the calls that are sent twice under one idempotency key
    pub repeated: f64,
}

/// weighted distribution over indexes
#[derive(Debug)]
pub struct Sampler {
    indexes: WeightedIndex<f64>,
}

impl Sampler {
    /// distribution over the indexes of `weights`
    ///
    /// # Panics
    /// If no weight is above zero.
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Self {
        let indexes = WeightedIndex::new(weights).expect("at least one weight must be above zero");
        Self { indexes }
    }

    /// Zipf distribution over `count` indexes: the n-th has weight 1/n
    pub fn zipf(count: u32) -> Self {
        Self::new((1..=count).map(|rank| 1.0 / f64::from(rank)))
    }

    /// draws an index
    pub fn draw(&self, rng: &mut impl Rng) -> u32 {
        self.indexes.sample(rng) as u32
    }
}

/// draws a number from a range; 0 if it is empty
pub fn draw_from(range: &Range<u32>, rng: &mut impl Rng) -> u32 {
    if range.is_empty() {
        return 0;
    }
    rng.random_range(range.clone())
}

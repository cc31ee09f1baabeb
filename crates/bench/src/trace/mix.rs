//! Draws from classes, workspaces and groups of unequal weight.

use std::ops::Range;

use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use schema::trace::Class;

/// a class and what its calls look like
#[derive(Clone, Debug)]
pub struct Kind {
    /// the class
    pub class: Class,
    /// its part of all calls against the others'
    pub weight: f64,
    /// words of a prompt that are its own
    pub private: Range<u32>,
    /// tokens to generate; empty for a plain service
    pub output: Range<u32>,
    /// part of the calls that are sent again
    pub repeated: f64,
}

/// places drawn by weight
#[derive(Debug)]
pub struct Mix {
    places: WeightedIndex<f64>,
}

impl Mix {
    /// draws a place by its weight
    ///
    /// # Panics
    /// When no weight is above zero.
    pub fn new(weights: impl IntoIterator<Item = f64>) -> Self {
        let places = WeightedIndex::new(weights).expect("a weight above zero");
        Self { places }
    }

    /// draws one of `count` places, the n-th with weight 1/n
    pub fn zipf(count: u32) -> Self {
        Self::new((1..=count).map(|rank| 1.0 / f64::from(rank)))
    }

    /// a place, from 0
    pub fn draw(&self, rng: &mut impl Rng) -> u32 {
        self.places.sample(rng) as u32
    }
}

/// a number of a range; 0 if it is empty
pub fn within(range: &Range<u32>, rng: &mut impl Rng) -> u32 {
    if range.is_empty() {
        return 0;
    }
    rng.random_range(range.clone())
}

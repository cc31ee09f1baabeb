//! Options of a soak test.

use bpaf::Bpaf;

use super::shape::Shape;

/// options of a soak test
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// seed of load and faults
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// duration of load and faults, minutes
    #[bpaf(long, argument("MINUTES"), fallback(1.0), display_fallback)]
    pub minutes: f64,
    /// data centres and services to simulate: koe or thistlewood
    #[bpaf(long, argument("SHAPE"), fallback(Shape::Koe), display_fallback)]
    pub shape: Shape,
}

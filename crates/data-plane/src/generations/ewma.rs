//! Exponentially weighted moving averages of time intervals.

/// The weight of a new observation in the average.
const WEIGHT: f64 = 0.2;

/// An exponentially weighted moving average of positive observations; 0 before the first one.
#[derive(Clone, Copy, Default, Debug)]
pub struct Ewma(f64);

impl Ewma {
    /// Adds an observation.
    pub fn observe(&mut self, observed: f64) {
        self.0 = if self.0 == 0.0 { observed } else { self.0 + WEIGHT * (observed - self.0) };
    }

    /// Returns the average; 0 before the first observation.
    pub fn value(self) -> f64 {
        self.0
    }
}

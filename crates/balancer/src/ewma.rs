//! Exponentially weighted moving average.

/// Mean of samples in which recent samples have more weight.
#[derive(Clone, Copy)]
pub(crate) struct Ewma {
    /// Current mean.
    pub mean: f64,
    /// Number of samples in the mean, limited by the span of the average.
    pub weight: f64,
}

impl Ewma {
    /// Creates a mean with the weight of `weight` samples.
    pub const fn new(mean: f64, weight: f64) -> Self {
        Ewma { mean, weight }
    }

    /// Adds a sample; the mean covers about the last `span` samples.
    pub fn add(&mut self, sample: f64, span: f64) {
        self.weight = (self.weight + 1.0).min(span);
        self.mean += (sample - self.mean) / self.weight;
    }
}

//! Exponentially weighted moving average.

/// Mean of samples that gives recent ones more weight.
#[derive(Clone, Copy)]
pub(crate) struct Ewma {
    /// Current mean.
    pub mean: f64,
    /// Number of samples behind the mean, up to the span of the average.
    pub weight: f64,
}

impl Ewma {
    /// Creates a mean that counts as `weight` samples.
    pub const fn new(mean: f64, weight: f64) -> Self {
        Ewma { mean, weight }
    }

    /// Adds a sample; the mean spans about `span` samples.
    pub fn add(&mut self, sample: f64, span: f64) {
        self.weight = (self.weight + 1.0).min(span);
        self.mean += (sample - self.mean) / self.weight;
    }
}

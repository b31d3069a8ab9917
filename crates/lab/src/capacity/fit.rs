//! Least-squares lines through measured points: slope and intercept, the residual, and the extrapolation to a target.

use serde::Serialize;

/// Least-squares line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fit {
    /// Cost of each additional unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub base: f64,
    /// Maximum distance of a point from the line, as a fraction of the largest measured value.
    pub residual: f64,
    /// Smallest and largest measured size.
    pub range: [f64; 2],
    /// Number of points.
    pub points: usize,
}

/// Value of a fit at a target size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AtTarget {
    /// Target size.
    pub size: f64,
    /// Value of the line at that size.
    pub value: f64,
    /// Target size divided by the largest measured size. A value above 10 is stated wherever the figure is used.
    pub times: f64,
}

impl Fit {
    /// Fits a line through points of size and value; `None` with fewer than two distinct sizes, or if a number is not finite.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let n = points.len() as f64;
        if points.iter().any(|(x, y)| !x.is_finite() || !y.is_finite()) {
            return None;
        }
        let (mean_x, mean_y) = (
            points.iter().map(|p| p.0).sum::<f64>() / n,
            points.iter().map(|p| p.1).sum::<f64>() / n,
        );
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>()
            / spread;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(0.0, f64::max);
        let max_distance = points
            .iter()
            .map(|(x, y)| (base + slope * x - y).abs())
            .fold(0.0, f64::max);
        let residual = if largest > 0.0 {
            max_distance / largest
        } else {
            0.0
        };
        let range = [
            points.iter().map(|p| p.0).fold(f64::INFINITY, f64::min),
            points.iter().map(|p| p.0).fold(f64::NEG_INFINITY, f64::max),
        ];
        Some(Fit {
            slope,
            base,
            residual,
            range,
            points: points.len(),
        })
    }

    /// Evaluates the line at a size.
    pub fn at(&self, size: f64) -> AtTarget {
        AtTarget {
            size,
            value: self.base + self.slope * size,
            times: size / self.range[1],
        }
    }
}

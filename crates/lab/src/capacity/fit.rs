//! Lines through what was measured: a slope and a base, how far the points lie from them, and how far a target lies outside.

use serde::Serialize;

/// A line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fit {
    /// What one more costs.
    pub slope: f64,
    /// What there is with none.
    pub base: f64,
    /// The farthest that a point lies from the line, as a part of the largest value measured.
    pub residual: f64,
    /// The smallest and the largest size that was measured.
    pub range: [f64; 2],
    /// How many points there are.
    pub points: usize,
}

/// What a fit gives at a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AtTarget {
    /// The size.
    pub size: f64,
    /// The value there.
    pub value: f64,
    /// How many times the largest size measured the target is; over 10 it is said beside each use.
    pub times: f64,
}

impl Fit {
    /// The line through points of size and value; none with fewer than two sizes, or where one is not finite.
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
        let off = points
            .iter()
            .map(|(x, y)| (base + slope * x - y).abs())
            .fold(0.0, f64::max);
        let residual = if largest > 0.0 { off / largest } else { 0.0 };
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

    /// What it gives at a size.
    pub fn at(&self, size: f64) -> AtTarget {
        AtTarget {
            size,
            value: self.base + self.slope * size,
            times: size / self.range[1],
        }
    }
}

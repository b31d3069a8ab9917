//! What each part costs as it grows: sweeps over sizes, with the line through what was measured and what it gives at the target.

pub mod fit;
pub mod hollow;
pub mod members;
pub mod restarts;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

pub use fit::{AtTarget, Fit};

/// The operators' target, in two years.
pub mod target {
    /// Proxies.
    pub const PROXIES: f64 = 900.0;
    /// Servers behind them.
    pub const SERVERS: f64 = 12_000.0;
    /// Services that the servers are of.
    pub const SERVICES: f64 = 680.0;
    /// Requests a second at the peak, over all proxies.
    pub const REQUESTS: f64 = 130_000.0;
    /// Routes.
    pub const ROUTES: f64 = 5_300.0;
    /// Tenants.
    pub const TENANTS: f64 = 33_000.0;
    /// Changes of configuration a day.
    pub const CHANGES: f64 = 2_900.0;
    /// Restarts and replacements a day.
    pub const RESTARTS: f64 = 870.0;
}

/// What was measured at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Point {
    /// Sizes by name, such as `tenants`.
    pub sizes: BTreeMap<String, f64>,
    /// Figures by name with their unit, such as `memory MiB`.
    pub figures: BTreeMap<String, f64>,
    /// Why it does not count, if so; it has no part in any fit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

/// A line that is wanted of a sweep: a figure by a size, and the target's size.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Line {
    /// The figure.
    pub figure: String,
    /// By which size.
    pub by: String,
    /// The size at the target.
    pub target: f64,
    /// The line; none where too few points count.
    pub fit: Option<Fit>,
    /// What it gives at the target.
    pub at_target: Option<AtTarget>,
}

/// A sweep and what came of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Sweep {
    /// Its name.
    pub name: String,
    /// The command that plays it again.
    pub command: String,
    /// What was measured, in order.
    pub points: Vec<Point>,
    /// The lines through it.
    pub lines: Vec<Line>,
    /// It was interrupted: what is there is not all.
    pub partial: bool,
}

impl Sweep {
    /// The line of a figure by a size, through the points that count.
    pub fn line(&mut self, figure: &str, by: &str, target: f64) -> Option<Fit> {
        let of = |p: &Point| Some((*p.sizes.get(by)?, *p.figures.get(figure)?));
        let points: Vec<(f64, f64)> =
            self.points.iter().filter(|p| p.void.is_none()).filter_map(of).collect();
        let fit = Fit::of(&points);
        let at_target = fit.map(|f| f.at(target));
        self.lines.push(Line { figure: figure.into(), by: by.into(), target, fit, at_target });
        fit
    }

    /// It as a table: a row a point, then a row a line.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let names = |of: fn(&Point) -> &BTreeMap<String, f64>| {
            let mut all: Vec<&str> =
                self.points.iter().flat_map(|p| of(p).keys()).map(String::as_str).collect();
            all.sort_unstable();
            all.dedup();
            all
        };
        let (sizes, figures) = (names(|p| &p.sizes), names(|p| &p.figures));
        let partial = if self.partial { " (partial: it was interrupted)" } else { "" };
        // Into a string, which takes all.
        let _ = writeln!(text, "{}{partial}: {}", self.name, self.command);
        let head: Vec<&str> = sizes.iter().chain(&figures).copied().collect();
        let _ = writeln!(text, "| {} |\n|{}", head.join(" | "), " --- |".repeat(head.len()));
        for point in &self.points {
            let cell = |value: Option<&f64>| value.map_or("-".into(), |v| number(*v));
            let of_sizes = sizes.iter().map(|n| cell(point.sizes.get(*n)));
            let of_figures = figures.iter().map(|n| cell(point.figures.get(*n)));
            let cells: Vec<String> = of_sizes.chain(of_figures).collect();
            let void = point.void.as_ref().map_or(String::new(), |why| format!(" void: {why}"));
            let _ = writeln!(text, "| {} |{void}", cells.join(" | "));
        }
        for line in &self.lines {
            let (Some(fit), Some(at)) = (line.fit, line.at_target) else {
                let _ = writeln!(text, "{} by {}: too few points for a line", line.figure, line.by);
                continue;
            };
            let far = if at.times > 10.0 { ", over ten times of what was measured" } else { "" };
            let _ = writeln!(
                text,
                "{} = {} + {} x {} (of {} to {}, residual {:.1} %); at {}: {}{far}",
                line.figure,
                number(fit.base),
                number(fit.slope),
                line.by,
                number(fit.range[0]),
                number(fit.range[1]),
                100.0 * fit.residual,
                number(at.size),
                number(at.value),
            );
        }
        text
    }
}

/// A figure with as many digits as it is worth.
fn number(value: f64) -> String {
    match value.abs() {
        v if v >= 1000.0 || v == v.round() => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.3e}"),
    }
}

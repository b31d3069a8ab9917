//! Capacity sweeps: measure the cost of each part at several sizes, fit a line through the measurements, and extrapolate it
//! to the target size.

pub mod fit;
pub mod hollow;
pub mod members;
pub mod module;
pub mod needs;
pub mod process;
pub mod restarts;
pub mod servers;
pub mod stop;
pub mod tenants;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::PathBuf;

use serde::Serialize;

pub use fit::{AtTarget, Fit};
pub use needs::{Machine, Needs};
pub use stop::Stop;

/// Target sizes of the platform in two years.
pub mod target {
    /// Number of proxies.
    pub const PROXIES: f64 = 900.0;
    /// Servers behind the proxies.
    pub const SERVERS: f64 = 12_000.0;
    /// Services that the servers belong to.
    pub const SERVICES: f64 = 680.0;
    /// Requests per second at the peak, over all proxies.
    pub const REQUESTS: f64 = 130_000.0;
    /// Number of routes.
    pub const ROUTES: f64 = 5_300.0;
    /// Number of tenants.
    pub const TENANTS: f64 = 33_000.0;
    /// Configuration changes per day.
    pub const CHANGES: f64 = 2_900.0;
    /// Restarts and replacements per day.
    pub const RESTARTS: f64 = 870.0;
}

/// Measurement at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Point {
    /// Sizes by name, such as `tenants`.
    pub sizes: BTreeMap<String, f64>,
    /// Figures by name with their unit, such as `memory MiB`.
    pub figures: BTreeMap<String, f64>,
    /// Reason why the point is void, if it is; a void point is excluded from all fits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
}

/// Line of a sweep: a figure as a function of a size, and the size at the target.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Line {
    /// Name of the figure.
    pub figure: String,
    /// Name of the size.
    pub by: String,
    /// Size at the target.
    pub target: f64,
    /// Fit; `None` if there are too few valid points.
    pub fit: Option<Fit>,
    /// Value of the fit at the target.
    pub at_target: Option<AtTarget>,
}

/// Measurements of a second build, taken alternately with those of the first, size by size.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Beside {
    /// Command that starts the second build.
    pub command: String,
    /// Measured points, in the order of measurement.
    pub points: Vec<Point>,
    /// Lines fitted through the points.
    pub lines: Vec<Line>,
}

/// Sweep and its results.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Sweep {
    /// Name of the sweep.
    pub name: String,
    /// Command that repeats the sweep.
    pub command: String,
    /// Measured points, in the order of measurement.
    pub points: Vec<Point>,
    /// Lines fitted through the points.
    pub lines: Vec<Line>,
    /// Results of a second build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beside: Option<Beside>,
    /// True if the sweep was interrupted, so that points are missing.
    pub partial: bool,
}

/// Fits a line through the valid points.
fn fit_line(points: &[Point], figure: &str, by: &str, target: f64) -> Line {
    let coordinates = |p: &Point| Some((*p.sizes.get(by)?, *p.figures.get(figure)?));
    let points: Vec<(f64, f64)> = points
        .iter()
        .filter(|p| p.void.is_none())
        .filter_map(coordinates)
        .collect();
    let fit = Fit::of(&points);
    Line {
        figure: figure.into(),
        by: by.into(),
        target,
        fit,
        at_target: fit.map(|f| f.at(target)),
    }
}

impl Sweep {
    /// Adds the line of a figure as a function of a size and returns its fit; adds the line of the second build as well.
    pub fn line(&mut self, figure: &str, by: &str, target: f64) -> Option<Fit> {
        if let Some(beside) = &mut self.beside {
            beside
                .lines
                .push(fit_line(&beside.points, figure, by, target));
        }
        let line = fit_line(&self.points, figure, by, target);
        let fit = line.fit;
        self.lines.push(line);
        fit
    }

    /// Returns true if the sweep was not interrupted and has no void points.
    pub fn is_complete(&self) -> bool {
        let beside = self.beside.iter().flat_map(|b| &b.points);
        !self.partial && self.points.iter().chain(beside).all(|p| p.void.is_none())
    }

    /// Formats the sweep as a table with one row per size and figure and one column per point, the builds side by side,
    /// followed by the void points and the lines.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let partial = if self.partial {
            " (partial: it was interrupted)"
        } else {
            ""
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}{partial}: {}", self.name, self.command);
        let mut columns: Vec<(&str, &Point)> = Vec::new();
        let beside_points = self.beside.as_ref().map_or(&[][..], |b| &b.points);
        for n in 0..self.points.len().max(beside_points.len()) {
            columns.extend(self.points.get(n).map(|p| ("", p)));
            columns.extend(beside_points.get(n).map(|p| ("beside", p)));
        }
        if let Some(beside) = &self.beside {
            let _ = writeln!(text, "beside: {}", beside.command);
        }
        let names = |of: fn(&Point) -> &BTreeMap<String, f64>| {
            let mut all: Vec<&str> = columns
                .iter()
                .flat_map(|(_, p)| of(p).keys())
                .map(String::as_str)
                .collect();
            all.sort_unstable();
            all.dedup();
            all
        };
        let (sizes, figures) = (names(|p| &p.sizes), names(|p| &p.figures));
        let builds: Vec<&str> = columns.iter().map(|(build, _)| *build).collect();
        let _ = writeln!(
            text,
            "| | {} |\n| ---{}",
            builds.join(" | "),
            " | ---:".repeat(columns.len()) + " |"
        );
        let rows = sizes
            .iter()
            .map(|n| (*n, true))
            .chain(figures.iter().map(|n| (*n, false)));
        for (name, is_size) in rows {
            let of = |p: &Point| {
                if is_size {
                    p.sizes.get(name).copied()
                } else {
                    p.figures.get(name).copied()
                }
            };
            let cells: Vec<String> = columns
                .iter()
                .map(|(_, p)| of(p).map_or("-".into(), format_number))
                .collect();
            let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
        }
        for (build, point) in &columns {
            let Some(why) = &point.void else { continue };
            let at: Vec<String> = point
                .sizes
                .iter()
                .map(|(n, v)| format!("{n} {}", format_number(*v)))
                .collect();
            let _ = writeln!(
                text,
                "void: {why} ({}{}{})",
                at.join(", "),
                if build.is_empty() { "" } else { ", " },
                build
            );
        }
        let lines = self.lines.iter().map(|l| ("", l));
        let beside = self
            .beside
            .iter()
            .flat_map(|b| &b.lines)
            .map(|l| ("beside: ", l));
        lines.chain(beside).for_each(|(build, line)| {
            let _ = writeln!(text, "{build}{}", line.describe());
        });
        text
    }
}

impl Line {
    /// Describes the line in words.
    pub fn describe(&self) -> String {
        let (Some(fit), Some(at)) = (self.fit, self.at_target) else {
            return format!("{} by {}: too few points for a line", self.figure, self.by);
        };
        let extrapolation = if at.times > 10.0 {
            ", over ten times of what was measured"
        } else {
            ""
        };
        format!(
            "{} = {} + {} x {} (of {} to {}, residual {:.1} %); at {}: {}{extrapolation}",
            self.figure,
            format_number(fit.base),
            format_number(fit.slope),
            self.by,
            format_number(fit.range[0]),
            format_number(fit.range[1]),
            100.0 * fit.residual,
            format_number(at.size),
            format_number(at.value),
        )
    }
}

/// Environment of a sweep: the commands of both builds, the working directory and the stop signal.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Path of this program, which also runs the emulated servers (`lab peer`).
    pub own: PathBuf,
    /// Command that starts the service.
    pub service: Vec<String>,
    /// Command that starts the second build, if there is one.
    pub beside: Option<Vec<String>>,
    /// Working directory, which the sweep creates and clears.
    pub dir: PathBuf,
    /// Stop signal of the sweep.
    pub stop: Stop,
}

/// Measures the sizes one after another, each with the first build and then with the second, until all are measured or the
/// sweep is stopped.
pub fn measure_in_turn<S>(
    sweep: &mut Sweep,
    setting: &Setting,
    sizes: &[S],
    name_sizes: impl Fn(&S) -> BTreeMap<String, f64>,
    mut measure: impl FnMut(&[String], &S, &mut BTreeMap<String, f64>) -> io::Result<()>,
) {
    sweep.beside = setting.beside.as_ref().map(|b| Beside {
        command: b.join(" "),
        ..Beside::default()
    });
    for size in sizes {
        for command in [Some(&setting.service), setting.beside.as_ref()]
            .into_iter()
            .flatten()
            .enumerate()
        {
            let (n, command) = command;
            let mut point = Point {
                sizes: name_sizes(size),
                ..Point::default()
            };
            point.figures.insert("load average".into(), needs::load());
            let result = measure(command, size, &mut point.figures);
            if setting.stop.is_set() {
                sweep.partial = true;
                return; // discards the incomplete measurement of this size
            }
            if let Err(e) = result {
                let why = first_line(&e.to_string());
                tracing::warn!(sizes = ?point.sizes, why, "a row is void");
                point.void = Some(why);
            }
            match (n, &mut sweep.beside) {
                (1, Some(beside)) => beside.points.push(point),
                _ => sweep.points.push(point),
            }
        }
    }
}

/// Shortens a reason to its first line, of limited length.
fn first_line(why: &str) -> String {
    const MAX_CHARS: usize = 300;
    let line = why.lines().next().unwrap_or_default();
    let cut: String = line.chars().take(MAX_CHARS).collect();
    if cut.len() < line.len() {
        cut + "..."
    } else {
        cut
    }
}

/// Formats a figure with a number of digits that depends on its magnitude.
fn format_number(value: f64) -> String {
    match value.abs() {
        v if v >= 1000.0 || v == v.round() => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.3e}"),
    }
}

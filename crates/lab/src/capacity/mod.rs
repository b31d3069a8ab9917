//! What each part costs as it grows: sweeps over sizes, with the line through what was measured and what it gives at the target.

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

/// What a second build came to, size by size in turn with the first.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Beside {
    /// What starts it.
    pub command: String,
    /// What was measured, in order.
    pub points: Vec<Point>,
    /// The lines through it.
    pub lines: Vec<Line>,
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
    /// The same of a second build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beside: Option<Beside>,
    /// It was interrupted: what is there is not all.
    pub partial: bool,
}

/// A line through the points that count.
fn through(points: &[Point], figure: &str, by: &str, target: f64) -> Line {
    let of = |p: &Point| Some((*p.sizes.get(by)?, *p.figures.get(figure)?));
    let points: Vec<(f64, f64)> = points
        .iter()
        .filter(|p| p.void.is_none())
        .filter_map(of)
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
    /// The line of a figure by a size, through the points that count; the second build's is kept beside it.
    pub fn line(&mut self, figure: &str, by: &str, target: f64) -> Option<Fit> {
        if let Some(beside) = &mut self.beside {
            beside
                .lines
                .push(through(&beside.points, figure, by, target));
        }
        let line = through(&self.points, figure, by, target);
        let fit = line.fit;
        self.lines.push(line);
        fit
    }

    /// Whether something of it does not count or is not there.
    pub fn is_whole(&self) -> bool {
        let beside = self.beside.iter().flat_map(|b| &b.points);
        !self.partial && self.points.iter().chain(beside).all(|p| p.void.is_none())
    }

    /// It as a table: a row a size and figure, a column a point, of both builds side by side; then a row a line.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let partial = if self.partial {
            " (partial: it was interrupted)"
        } else {
            ""
        };
        // Into a string, which takes all.
        let _ = writeln!(text, "{}{partial}: {}", self.name, self.command);
        let mut columns: Vec<(&str, &Point)> = Vec::new();
        let seconds = self.beside.as_ref().map_or(&[][..], |b| &b.points);
        for n in 0..self.points.len().max(seconds.len()) {
            columns.extend(self.points.get(n).map(|p| ("", p)));
            columns.extend(seconds.get(n).map(|p| ("beside", p)));
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
                .map(|(_, p)| of(p).map_or("-".into(), number))
                .collect();
            let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
        }
        for (build, point) in &columns {
            let Some(why) = &point.void else { continue };
            let at: Vec<String> = point
                .sizes
                .iter()
                .map(|(n, v)| format!("{n} {}", number(*v)))
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
            let _ = writeln!(text, "{build}{}", line.told());
        });
        text
    }
}

impl Line {
    /// It in words.
    pub fn told(&self) -> String {
        let (Some(fit), Some(at)) = (self.fit, self.at_target) else {
            return format!("{} by {}: too few points for a line", self.figure, self.by);
        };
        let far = if at.times > 10.0 {
            ", over ten times of what was measured"
        } else {
            ""
        };
        format!(
            "{} = {} + {} x {} (of {} to {}, residual {:.1} %); at {}: {}{far}",
            self.figure,
            number(fit.base),
            number(fit.slope),
            self.by,
            number(fit.range[0]),
            number(fit.range[1]),
            100.0 * fit.residual,
            number(at.size),
            number(at.value),
        )
    }
}

/// How both builds are measured: the sizes, what starts a build, and where files go.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The program that has the emulated servers (`lab peer`).
    pub own: PathBuf,
    /// What starts the service.
    pub service: Vec<String>,
    /// What starts the second build, if one is measured beside the first.
    pub beside: Option<Vec<String>>,
    /// A directory of its own, which is made and emptied.
    pub dir: PathBuf,
    /// Told when the sweep is to end.
    pub stop: Stop,
}

/// Plays one size after the other, each with the first build and then with the second, until all are played or it is stopped.
pub fn in_turn<S>(
    sweep: &mut Sweep,
    setting: &Setting,
    sizes: &[S],
    named: impl Fn(&S) -> BTreeMap<String, f64>,
    mut play: impl FnMut(&[String], &S, &mut BTreeMap<String, f64>) -> io::Result<()>,
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
                sizes: named(size),
                ..Point::default()
            };
            point.figures.insert("load average".into(), needs::load());
            let played = play(command, size, &mut point.figures);
            if setting.stop.is_set() {
                sweep.partial = true;
                return; // what was measured of this size so far is of no use
            }
            if let Err(e) = played {
                let why = short(&e.to_string());
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

/// A reason in a line.
fn short(why: &str) -> String {
    const LONGEST: usize = 300;
    let line = why.lines().next().unwrap_or_default();
    let cut: String = line.chars().take(LONGEST).collect();
    if cut.len() < line.len() {
        cut + "..."
    } else {
        cut
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
